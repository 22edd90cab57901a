"""The order in which waiting jobs get capacity.

Keeps bursts of long jobs from delaying short ones: jobs that can still end in
time go first, by their latest start time; jobs that are already late get the
remaining capacity.
"""

from __future__ import annotations

import math
import typing as t

import sortedcontainers

from skylarkcleat.scheduling import active_job

MAX_BLOCKED = 24
"""After this many jobs without enough capacity a pass ends."""

LONGER = 4.0
"""A job that takes more than this many times longer doesn't overtake one that
waits for capacity: it would occupy it for many times the other's objective."""


class _Entry(t.NamedTuple):
    latest_start: float
    number: int
    job: str


class Backlog:
    """The jobs that have tasks to start."""

    def __init__(self) -> None:
        self._timely: sortedcontainers.SortedList[_Entry]
        self._timely = sortedcontainers.SortedList()
        self._late: sortedcontainers.SortedList[_Entry]
        self._late = sortedcontainers.SortedList()
        self._jobs: dict[str, tuple[active_job.ActiveJob, _Entry]] = {}
        self._number = 0

    def __len__(self) -> int:
        """Returns how many jobs there are."""
        return len(self._jobs)

    def add(self, job: active_job.ActiveJob) -> None:
        """Adds a job, unless it is there."""
        if job.job.id in self._jobs:
            return
        self._number += 1
        entry = _Entry(job.latest_start, self._number, job.job.id)
        self._jobs[job.job.id] = (job, entry)
        self._timely.add(entry)

    def remove(self, job: active_job.ActiveJob) -> None:
        """Removes a job, if it is there."""
        found = self._jobs.pop(job.job.id, None)
        if found is not None:
            self._timely.discard(found[1])
            self._late.discard(found[1])

    def place(
        self, now: float, place: t.Callable[[active_job.ActiveJob], bool]
    ) -> None:
        """Offers capacity to each job in turn.

        Args:
            now: The time, in seconds.
            place: Starts a job's tasks; returns whether it started all that
                wait, so that the job leaves the backlog.
        """
        self._move_late(now)
        blocked = 0
        shortest_s = math.inf
        for entry in [*self._timely, *self._late]:
            job = self._jobs[entry.job][0]
            is_timely = job.latest_start > now
            if is_timely and job.expected_s > LONGER * shortest_s:
                continue
            if place(job):
                self.remove(job)
                continue
            if is_timely:
                shortest_s = min(shortest_s, job.expected_s)
            blocked += 1
            if blocked >= MAX_BLOCKED:
                return

    def forecast(
        self, now: float, cores: float
    ) -> t.Iterator[tuple[active_job.ActiveJob, float]]:
        """Yields each job, in order, with its expected start time.

        Assumes that the work ahead of a job is done at the rate of all cores
        together. During a lasting overload, jobs that can't start in time are
        thus found long before their time is over.

        Args:
            now: The time, in seconds.
            cores: The cores of all open runners; if 0, work ahead counts as
                no delay.
        """
        self._move_late(now)
        ahead = 0.0
        for entry in [*self._timely, *self._late]:
            job = self._jobs[entry.job][0]
            yield job, now + (ahead / cores if cores else 0.0)
            ahead += job.find_waiting_core_s()

    def _move_late(self, now: float) -> None:
        while self._timely and self._timely[0].latest_start < now:
            self._late.add(self._timely.pop(0))
