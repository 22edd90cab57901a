"""What an owner tells of the jobs that it knows, and how it cancels one."""

from __future__ import annotations

from skylarkcleat.protocol import scheduling
from skylarkcleat.scheduling import job_endings as job_endings_lib
from skylarkcleat.scheduling import owner_state

KNOWN_AFTER_S = 1.0
"""How long after its begin an owner may not know of jobs that are open: fronts
follow it, and submit them again, within this time."""


class JobQueries:
    """Answers requests about jobs.

    Args:
        state: What it shares with the owner's other parts.
        job_endings: Ends the jobs that are cancelled.
        now: The time, in seconds.
    """

    def __init__(
        self,
        state: owner_state.OwnerState,
        job_endings: job_endings_lib.JobEndings,
        now: float,
    ) -> None:
        self._state = state
        self._job_endings = job_endings
        self._begun_at = now

    def find_verdict(self, job: str, now: float) -> scheduling.Verdict:
        """Returns the state of a job, or how it ended.

        `UNKNOWN_JOB` if there is none, and `NOT_RUN` while that isn't certain.
        """
        active = self._state.jobs.active.get(job)
        if active is not None:
            is_running = active.started
            verdicts = scheduling.Verdict
            return verdicts.RUNNING if is_running else verdicts.QUEUED
        ended = self._state.jobs.recent.find_verdict(job)
        if ended is not None:
            return ended
        if now - self._begun_at < KNOWN_AFTER_S:
            return scheduling.Verdict.NOT_RUN
        return scheduling.Verdict.UNKNOWN_JOB

    def is_elsewhere(self, job: str, host: str, path: str) -> bool:
        """Returns whether the job with an id was submitted at another place.

        Tasks have their names on runners from the ids of their jobs alone.

        Args:
            job: The id.
            host: The host of a request.
            path: Its path up to the id.
        """
        jobs = self._state.jobs
        active = jobs.active.get(job)
        known = active.queue if active else jobs.recent.find_ended(job)
        if known is None:
            return False
        return known.host != host or not path.startswith(known.prefix)

    def count_waiting(self, queue: str) -> int:
        """Returns how many jobs of a queue have started no task."""
        return sum(
            job.queue.name == queue and not job.started
            for job in self._state.jobs.active.values()
        )

    def cancel(self, job: str, now: float) -> scheduling.Verdict:
        """Cancels a job; its tasks are stopped and none is started any more.

        Returns:
            `CANCELLED` if it is, also if it was before. A job that has ended
            otherwise is unknown.
        """
        active = self._state.jobs.active.get(job)
        if active is not None:
            self._job_endings.cancel(active, now)
        verdict = self.find_verdict(job, now)
        if verdict in (
            scheduling.Verdict.CANCELLED,
            scheduling.Verdict.NOT_RUN,
        ):
            return verdict
        return scheduling.Verdict.UNKNOWN_JOB
