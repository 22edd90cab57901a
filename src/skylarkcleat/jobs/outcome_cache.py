"""Keeps the outcomes of an entry's jobs to answer later submissions."""

from __future__ import annotations

import collections
import typing as t

from skylarkcleat.jobs import retention
from skylarkcleat.model import failure as failure_lib
from skylarkcleat.protocol import claiming

DEFAULT_MAX_BYTES = 32 << 20
_RECORD_BYTES = 300


class KeptOutcome(t.NamedTuple):
    """The outcome of an ended job.

    Attributes:
        digest: The digest of the job's body.
        outcome: The outcome sent to its callers.
        size_bytes: The size that counts towards the bound of the cache.
    """

    digest: str
    outcome: claiming.Answers | failure_lib.Failure
    size_bytes: int


class OutcomeCache:
    """Outcomes by job identifier, bounded by size and age.

    Attributes:
        size_bytes: The size of all kept outcomes.
    """

    def __init__(self, max_bytes: int = DEFAULT_MAX_BYTES):
        """Creates an empty cache of at most `max_bytes`."""
        self.size_bytes = 0
        self._max_bytes = max_bytes
        self._kept: collections.OrderedDict[str, KeptOutcome] = (
            collections.OrderedDict()
        )

    def put(
        self,
        job: str,
        digest: str,
        outcome: claiming.Answers | failure_lib.Failure,
    ) -> None:
        """Keeps a job's outcome, and drops the oldest ones beyond the bound."""
        self.drop(job)
        size = _RECORD_BYTES
        if isinstance(outcome, claiming.Answers):
            size += sum(map(len, outcome.bodies))
        self._kept[job] = KeptOutcome(digest, outcome, size)
        self.size_bytes += size
        while self.size_bytes > self._max_bytes:
            self.drop(next(iter(self._kept)))

    def get(self, job: str) -> KeptOutcome | None:
        """Returns a job's outcome if it is kept."""
        return self._kept.get(job)

    def drop(self, job: str) -> None:
        """Drops a job's outcome if it is kept."""
        kept = self._kept.pop(job, None)
        if kept is not None:
            self.size_bytes -= kept.size_bytes

    def expire(self, now_ms: int) -> None:
        """Drops the oldest outcomes while their identifiers have expired."""
        limit_ms = now_ms - retention.FORGET_AGE_MS
        while self._kept:
            job = next(iter(self._kept))
            if retention.read_time_ms(job) > limit_ms:
                return
            self.drop(job)
