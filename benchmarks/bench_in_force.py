"""Measures the time from an accepted change to its effect everywhere.

The effect is measured at every entry and agent.

Run: `python -m benchmarks.bench_in_force` with `PYTHONPATH=src`. The fleet's
processes are real, with the control replicas' logs on disk.
"""

from __future__ import annotations

import pathlib
import tempfile
import time
import typing as t
from concurrent import futures

import typer
from hdrh import histogram

from tests import fleet as fleet_lib

REVISION_GAUGE = "skylarkcleat_configuration_revision"
_MAX_US = 60_000_000
_DIGITS = 3
_US_PER_S = 1_000_000
_US_PER_MS = 1_000


def apply(fleet: fleet_lib.Fleet, name: str, control: str) -> None:
    """Creates a profile."""
    response = fleet.call_admin(
        control,
        f"profiles/{name}",
        "PUT",
        {"upstreams": [fleet_lib.UPSTREAM]},
        If_Match='"0"',
    )
    if response.status != 200:
        raise RuntimeError(f"{control} answered {response}")


def find_revision(fleet: fleet_lib.Fleet, name: str, control: str) -> int:
    """Returns the directory's revision that created a profile."""
    history = fleet.call_admin(control, f"history?profile={name}")
    return history.body["entries"][0]["revision"]


def time_effect(fleet: fleet_lib.Fleet, name: str, control: str) -> list[float]:
    """Returns the seconds from an answer until each process shows it.

    An entry shows it by the answer to a job under the new profile, an agent
    by the revision in its metrics.
    """
    apply(fleet, name, control)
    begin = time.perf_counter()

    def wait(check: t.Callable[[], bool]) -> float:
        while not check():
            pass
        return time.perf_counter() - begin

    entries = [
        fleet.run_later(
            wait,
            lambda e=entry: fleet.submit([{}], name, e).status == 200,
        )
        for entry in fleet.entry_names
    ]
    revision = find_revision(fleet, name, control)
    agents = [
        fleet.run_later(
            wait,
            lambda a=agent: fleet.read_gauge(a, REVISION_GAUGE) >= revision,
        )
        for agent in fleet.runners
    ]
    futures.wait([*entries, *agents])
    return [each.result() for each in (*entries, *agents)]


def main(changes: int = 30) -> None:
    """Prints the time from the operator's answer to the effect everywhere."""
    each = histogram.HdrHistogram(1, _MAX_US, _DIGITS)
    last = histogram.HdrHistogram(1, _MAX_US, _DIGITS)
    with (
        tempfile.TemporaryDirectory() as folder,
        fleet_lib.Fleet(
            pathlib.Path(folder), controls=3, entries=2, agents=3
        ) as fleet,
    ):
        fleet.wait_ready()
        fleet.wait_agents()
        for number in range(changes):
            control = fleet.control_names[number % 3]
            times_s = time_effect(fleet, f"profile-{number}", control)
            for time_s in times_s:
                each.record_value(int(time_s * _US_PER_S))
            last.record_value(int(max(times_s) * _US_PER_S))
    for label, series in (("each process", each), ("everywhere", last)):
        p50, p99, most = (
            series.get_value_at_percentile(share) / _US_PER_MS
            for share in (50, 99, 100)
        )
        typer.echo(
            f"{label}: p50 {p50:.2f} ms, p99 {p99:.2f} ms, max {most:.2f} ms"
        )


if __name__ == "__main__":
    typer.run(main)
