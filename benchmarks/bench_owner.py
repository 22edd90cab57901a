"""Measures the processor time of an owner's decisions by size of the fleet.

Run: `python -m benchmarks.bench_owner` with `PYTHONPATH=src`. Side processes,
runners and callers are simulated under virtual time; only the owner's calls
are timed.
"""

from __future__ import annotations

import collections.abc
import time
import typing as t

import typer

from skylarkcleat.scheduling import owner as owner_lib
from tests import scheduling_world

TIMED_CALLS = (
    "submit",
    "register",
    "renew",
    "handle_side_report",
    "tick",
    "place",
)
RUNNERS_OF_THE_RATES = 11
_US_PER_S = 1_000_000


class Stopwatch:
    """Adds up the time that an owner's calls take."""

    def __init__(self) -> None:
        self.spent_s = 0.0

    def attach(self, owner: owner_lib.Owner) -> None:
        """Times all calls of an owner from now on."""
        for name in TIMED_CALLS:
            setattr(owner, name, self._time(getattr(owner, name)))

    def _time(
        self, call: collections.abc.Callable[..., t.Any]
    ) -> collections.abc.Callable[..., t.Any]:
        def timed(*arguments: object) -> t.Any:
            begun = time.process_time()
            result = call(*arguments)
            self.spent_s += time.process_time() - begun
            return result

        return timed


def main(
    runners: list[int] = [11, 40, 160, 1000],  # noqa: B006
    load: float = 0.9,
    length_s: float = 4.0,
) -> None:
    """Prints the processor time a second and a task, for each size."""
    for size in runners:
        rate = size / RUNNERS_OF_THE_RATES * load
        world = scheduling_world.Simulation(
            scheduling_world.Load(rate=rate, length_s=length_s, runners=size)
        )
        stopwatch = Stopwatch()
        stopwatch.attach(world.owner)
        world.play()
        tasks = len(world.runs)
        typer.echo(
            f"{size} runners: {len(world.outcomes) / length_s:.0f} jobs/s, "
            f"{tasks / length_s:.0f} tasks/s, "
            f"{stopwatch.spent_s / length_s:.3f} cores, "
            f"{stopwatch.spent_s / tasks * _US_PER_S:.0f} us a task"
        )


if __name__ == "__main__":
    typer.run(main)
