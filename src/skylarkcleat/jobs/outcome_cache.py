"""The outcome cache: ended jobs of an entry, for later submissions."""

from __future__ import annotations

import collections
import typing as t

from skylarkcleat.jobs import retention
from skylarkcleat.model import failure as failure_lib
from skylarkcleat.protocol import claiming

DEFAULT_MAX_BYTES = 32 << 20
_RECORD_BYTES = 300


class KeptOutcome(t.NamedTuple):
    """An ended job.

    Attributes:
        digest: The digest of the job's body.
        outcome: What its callers were told.
        size: What the record counts for, in bytes.
    """

    digest: str
    outcome: claiming.Answers | failure_lib.Failure
    size_bytes: int


class OutcomeCache:
    """Outcomes by job identifier, within a bound of bytes and age."""

    def __init__(self, max_bytes: int = DEFAULT_MAX_BYTES):
        """Creates an empty cache that holds `max_bytes` at most."""
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
        """Keeps a job's outcome, and drops the oldest beyond the bound."""
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
        """Forgets a job that is kept or not."""
        kept = self._kept.pop(job, None)
        if kept is not None:
            self.size_bytes -= kept.size_bytes

    def expire(self, now_ms: int) -> None:
        """Forgets the oldest outcomes whose identifiers are too old."""
        limit_ms = now_ms - retention.FORGET_AGE_MS
        while self._kept:
            job = next(iter(self._kept))
            if retention.read_time_ms(job) > limit_ms:
                return
            self.drop(job)
