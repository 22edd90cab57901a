"""Schedules the next wake time of each job."""

from __future__ import annotations

import heapq
import math


class WakeQueue:
    """Jobs by their next wake time, in seconds of the monotonic clock."""

    def __init__(self):
        self._heap: list[tuple[float, str]] = []
        self._at: dict[str, float] = {}

    def schedule(self, job: str, at: float) -> None:
        """Wakes a job at a time, unless an earlier wake is scheduled."""
        if at < self._at.get(job, math.inf):
            self._at[job] = at
            heapq.heappush(self._heap, (at, job))

    def cancel(self, job: str) -> None:
        """Removes a job if it is scheduled."""
        self._at.pop(job, None)

    def pop_due(self, now: float) -> list[str]:
        """Removes and returns the jobs whose wake time is reached."""
        due = []
        while self._heap and self._heap[0][0] <= now:
            at, job = heapq.heappop(self._heap)
            if self._at.get(job) == at:
                del self._at[job]
                due.append(job)
        return due
