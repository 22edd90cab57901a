"""An entry's live jobs with their wake times, and its kept outcomes."""

from __future__ import annotations

import typing as t

from skylarkcleat.jobs import context
from skylarkcleat.jobs import deadline
from skylarkcleat.jobs import job as job_lib
from skylarkcleat.jobs import outcome_cache
from skylarkcleat.jobs import wake_queue


class JobTable:
    """Jobs by identifier.

    Attributes:
        live: Jobs that have not ended.
        outcomes: Kept outcomes of jobs that have ended.
    """

    def __init__(self, ctx: context.Context, max_bytes: int):
        """Creates an empty table.

        Args:
            ctx: The entry.
            max_bytes: The size of the outcomes to keep, in bytes.
        """
        self.live: dict[str, job_lib.Job] = {}
        self.outcomes = outcome_cache.OutcomeCache(max_bytes)
        self._ctx = ctx
        self._wakes = wake_queue.WakeQueue()

    def update(self, job: job_lib.Job) -> None:
        """Stores a new or changed job and schedules its next wake time."""
        if job.phase is not job_lib.Phase.ENDED:
            self.live[job.id] = job
            at = deadline.find_wake_time(self._ctx, job)
            self._wakes.schedule(job.id, at)
            return
        self.live.pop(job.id, None)
        self._wakes.cancel(job.id)
        if job.is_kept:
            self.outcomes.put(job.id, job.digest, job.outcome)

    def pop_due(self) -> t.Iterator[job_lib.Job]:
        """Yields the jobs that are due; the caller must `update` each."""
        for job in self._wakes.pop_due(self._ctx.now):
            yield self.live[job]
