"""Checks whether an agent still has the records of a job."""

from __future__ import annotations

from skylarkcleat.jobs import record_store
from skylarkcleat.jobs import retention
from skylarkcleat.model import cause as cause_lib
from skylarkcleat.model import failure as failure_lib

# The entry's clock may be ahead of the agent's, and the caller's clock ahead of
# the entry's.
MAX_AHEAD_MS = 3 * retention.MAX_SKEW_MS


class IdCheck:
    """Rejects identifiers whose records may have been forgotten."""

    def __init__(self, agent: str, store: record_store.RecordStore):
        """Creates the check.

        Args:
            agent: The agent's name.
            store: The agent's records.
        """
        self._agent = agent
        self._store = store
        self._now_ms = 0

    def advance_clock(self, now_ms: int) -> int:
        """Advances the wall clock, never backwards, and returns it."""
        self._now_ms = max(self._now_ms, now_ms)
        return self._now_ms

    def find_failure(self, job: str) -> failure_lib.Failure | None:
        """Returns why a job must be neither started nor reported as not run."""
        failure = retention.check_age(
            job, self._now_ms, "dispatch", self._agent, MAX_AHEAD_MS
        )
        if failure is None and self._store.may_have_forgotten(job):
            failure = failure_lib.Failure(
                failure_lib.Outcome.UNKNOWN,
                cause_lib.Cause.ID_EXPIRED,
                "dispatch",
                self._agent,
                f"records of jobs as old as {job} are forgotten",
            )
        return failure
