"""The order in which waiting jobs get capacity.

Keeps bursts of long jobs from delaying short ones: jobs that can still end in
time go first, by their latest start time; jobs that are already late get the
remaining capacity.
"""

from __future__ import annotations

import itertools
import math
import typing as t

import sortedcontainers

from skylarkcleat.scheduling import active_job

MAX_BLOCKED = 24
"""After this many jobs without enough capacity a pass ends."""

MAX_SKIPPED = 24
"""After this many jobs that may not overtake a pass ends as well."""

LONGER = 4.0
"""A job that takes more than this many times longer doesn't overtake one that
waits for capacity: it would occupy it for many times the other's objective."""


class _Entry(t.NamedTuple):
    latest_start: float
    number: int
    job: active_job.ActiveJob


class Backlog:
    """The jobs that have tasks to start.

    Attributes:
        is_full: Whether the last pass ended since so many jobs did not fit.
    """

    def __init__(self) -> None:
        self._timely: sortedcontainers.SortedList[_Entry]
        self._timely = sortedcontainers.SortedList()
        self._late: sortedcontainers.SortedList[_Entry]
        self._late = sortedcontainers.SortedList()
        self._entries: dict[str, _Entry] = {}
        self._number = 0
        self.is_full = False

    def __len__(self) -> int:
        """Returns how many jobs there are."""
        return len(self._entries)

    def add(self, job: active_job.ActiveJob) -> None:
        """Adds a job, unless it is there."""
        if job.job.id in self._entries:
            return
        self._number += 1
        entry = _Entry(job.latest_start, self._number, job)
        self._entries[job.job.id] = entry
        self._timely.add(entry)

    def remove(self, job: active_job.ActiveJob) -> None:
        """Removes a job, if it is there."""
        entry = self._entries.pop(job.job.id, None)
        if entry is not None:
            self._timely.discard(entry)
            self._late.discard(entry)

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
        placed: list[active_job.ActiveJob] = []
        self.is_full = self._offer(now, place, placed)
        for job in placed:
            self.remove(job)

    def _offer(
        self,
        now: float,
        place: t.Callable[[active_job.ActiveJob], bool],
        placed: list[active_job.ActiveJob],
    ) -> bool:
        """Offers capacity; returns whether it ended before all were asked."""
        blocked = 0
        skipped = 0
        shortest_s = math.inf
        for entry in itertools.chain(self._timely, self._late):
            job = entry.job
            is_timely = entry.latest_start > now
            if is_timely and job.expected_s > LONGER * shortest_s:
                skipped += 1
                if skipped >= MAX_SKIPPED:
                    return True
                continue
            if place(job):
                placed.append(job)
                continue
            if is_timely:
                shortest_s = min(shortest_s, job.expected_s)
            blocked += 1
            if blocked >= MAX_BLOCKED:
                return True
        return False

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
            yield entry.job, now + (ahead / cores if cores else 0.0)
            ahead += entry.job.find_waiting_core_s()

    def _move_late(self, now: float) -> None:
        while self._timely and self._timely[0].latest_start < now:
            self._late.add(self._timely.pop(0))
