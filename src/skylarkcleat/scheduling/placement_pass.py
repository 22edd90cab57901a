"""One pass through the jobs that wait, offering capacity to each in turn.

Keeps bursts of long jobs from delaying short ones, and jobs of few tasks from
taking all room before a job of many tasks can start.
"""

from __future__ import annotations

import math
import typing as t

from skylarkcleat.scheduling import active_job
from skylarkcleat.scheduling import offer_result

MAX_BLOCKED = 24
"""After this many jobs without enough capacity a pass ends."""

MAX_SKIPPED = 24
"""After this many jobs that may not overtake a pass ends as well."""

LONGER = 4.0
"""A job that takes more than this many times longer doesn't overtake one that
waits for capacity: it would occupy it for many times the other's objective."""

RESERVED_S = 0.02
"""While capacity is far too short, how long a job that can end in time and
does not fit keeps others from taking the room that it waits for. Otherwise jobs
of few tasks take each core as it is freed, and those of many wait for as long
as the shortage lasts."""

Placer = t.Callable[[active_job.ActiveJob], offer_result.OfferResult]


class PlacementPass:
    """Offers capacity to jobs, and knows whom those that wait hold back.

    Args:
        now: The time, in seconds.
        place: Starts a job's tasks.
        short: The upstreams of which capacity is far too short.

    Attributes:
        placed: The jobs of which all tasks were started.
        is_over: Whether it ended before all jobs were asked.
    """

    def __init__(
        self, now: float, place: Placer, short: t.Container[str] = ()
    ) -> None:
        self.placed: list[active_job.ActiveJob] = []
        self.is_over = False
        self._now = now
        self._place = place
        self._short = short
        self._blocked = 0
        self._skipped = 0
        self._shortest_s = math.inf
        self._reserved: set[str] = set()

    def offer(self, job: active_job.ActiveJob, *, is_timely: bool) -> bool:
        """Offers capacity to a job; returns whether the pass goes on.

        Args:
            job: The job.
            is_timely: Whether it was accepted to end in time.
        """
        if self.is_over:
            return False
        if self._must_wait(job, is_timely):
            self._skipped += 1
            self.is_over = self._skipped >= MAX_SKIPPED
            return not self.is_over
        result = self._place(job)
        if result is offer_result.OfferResult.PLACED:
            self.placed.append(job)
            return True
        if is_timely:
            self._record_blocked(job, result)
        self._blocked += 1
        self.is_over = self._blocked >= MAX_BLOCKED
        return not self.is_over

    def _must_wait(self, job: active_job.ActiveJob, is_timely: bool) -> bool:
        if job.queue.upstream in self._reserved:
            return True
        return is_timely and job.expected_s > LONGER * self._shortest_s

    def _record_blocked(
        self, job: active_job.ActiveJob, result: offer_result.OfferResult
    ) -> None:
        self._shortest_s = min(self._shortest_s, job.expected_s)
        if (
            result is not offer_result.OfferResult.NO_ROOM
            or job.queue.upstream not in self._short
        ):
            return
        if job.blocked_since is None:
            job.blocked_since = self._now
        since_s = self._now - job.blocked_since
        if len(job.tasks) > 1 and since_s < RESERVED_S:
            self._reserved.add(job.queue.upstream)
