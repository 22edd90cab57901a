"""A run that an owner has ordered, or adopted."""

from __future__ import annotations

import collections.abc
import typing as t

from skylarkcleat.protocol import scheduling
from skylarkcleat.scheduling import speed


class PlacedRun(t.NamedTuple):
    """A run that was ordered and whose end is not known.

    Attributes:
        task: The task's name.
        run: Its number.
        step: The step, with the resources that the run uses.
        started_at: When it was ordered, in seconds.
        expected_s: Its expected duration on that runner; 0 for a run that this
            owner did not order.
    """

    task: str
    run: int
    step: scheduling.Step
    started_at: float
    expected_s: float


def find_late_at(placed: PlacedRun) -> float:
    """Returns from when on a run is late, in seconds."""
    return placed.started_at + speed.LATE_RATIO * placed.expected_s


def list_lateness(
    runs: collections.abc.Iterable[PlacedRun], now: float
) -> list[float]:
    """Returns how late each job is that has runs on one runner.

    The tasks of a job share the error of its estimate, so only the least late
    of them counts.
    """
    lateness: dict[str, float] = {}
    for run in runs:
        if run.expected_s > 0:
            job = run.task.partition(".")[0]
            late = (now - run.started_at) / run.expected_s
            lateness[job] = min(late, lateness.get(job, late))
    return list(lateness.values())
