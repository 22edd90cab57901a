"""Logs how many side processes an owner may not send tasks to, and why."""

from __future__ import annotations

import collections

import eliot

from skylarkcleat import interval
from skylarkcleat.scheduling import worker_phase

INTERVAL_S = 0.5
"""The shortest interval between two lines."""

CHECK_INTERVAL_S = 0.1
"""How often the counts are taken: each takes a look at every side process."""

WORKERS = "owner:workers"
"""The type of the line."""


class WorkersLog:
    """Writes a line when the counts have changed since the last one.

    Args:
        now: The time, in seconds.
    """

    def __init__(self, now: float) -> None:
        self._logged: collections.Counter[worker_phase.Closed] | None = None
        self._line = interval.Interval(INTERVAL_S, now - INTERVAL_S)
        self._check = interval.Interval(
            CHECK_INTERVAL_S, now - CHECK_INTERVAL_S
        )

    def is_due(self, now: float) -> bool:
        """Returns whether to count the side processes, for a line."""
        return self._check.is_over(now) and self._line.is_over(now)

    def record(
        self, obstacles: collections.Counter[worker_phase.Closed], now: float
    ) -> None:
        """Records how many side processes there are with each obstacle."""
        self._check.restart(now)
        if obstacles == self._logged or not self._line.is_over(now):
            return
        self._logged = obstacles
        self._line.restart(now)
        closed = {
            obstacle.value: count
            for obstacle, count in sorted(obstacles.items())
            if obstacle is not worker_phase.Closed.NONE
        }
        eliot.log_message(
            WORKERS,
            open=obstacles[worker_phase.Closed.NONE],
            closed=closed,
        )
