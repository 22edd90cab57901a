"""The identifier check: whether an agent still knows what a job started."""

from __future__ import annotations

from skylarkcleat.jobs import record_store
from skylarkcleat.jobs import retention
from skylarkcleat.model import cause as cause_lib
from skylarkcleat.model import failure as failure_lib

# An entry's clock may be ahead of the agent's, and the caller's of the entry's.
MAX_AHEAD_MS = 3 * retention.MAX_SKEW_MS


class IdCheck:
    """Refuses identifiers whose records are, or may be, forgotten."""

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
        """Returns the wall clock, which never goes back."""
        self._now_ms = max(self._now_ms, now_ms)
        return self._now_ms

    def find_failure(self, job: str) -> failure_lib.Failure | None:
        """Returns why a job is neither started nor called not started."""
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
