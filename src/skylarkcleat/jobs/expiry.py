"""Index that finds the jobs with the oldest identifiers."""

from __future__ import annotations

import heapq
import typing as t

from skylarkcleat.jobs import retention

_BUCKET_MS = 1000


class ExpiryIndex:
    """Groups jobs by the second in their identifiers."""

    def __init__(self):
        self._buckets: dict[int, set[str]] = {}
        self._seconds: list[int] = []

    def add(self, job: str) -> None:
        """Adds a job if it is not present."""
        second = retention.read_time_ms(job) // _BUCKET_MS
        bucket = self._buckets.get(second)
        if bucket is None:
            bucket = self._buckets[second] = set()
            heapq.heappush(self._seconds, second)
        bucket.add(job)

    def remove(self, job: str) -> None:
        """Removes a job if it is present."""
        second = retention.read_time_ms(job) // _BUCKET_MS
        if second in self._buckets:
            self._buckets[second].discard(job)

    def pop_oldest(self) -> tuple[int, set[str]]:
        """Removes and returns the jobs of the oldest second.

        Returns:
            The last millisecond of that second, since the Unix epoch, and the
            jobs.

        Raises:
            IndexError: There is no job.
        """
        second = heapq.heappop(self._seconds)
        end_ms = (second + 1) * _BUCKET_MS - 1
        return end_ms, self._buckets.pop(second)

    def pop_expired(self, now_ms: int) -> t.Iterator[str]:
        """Removes and yields the jobs older than `FORGET_AGE_MS`."""
        limit_ms = now_ms - retention.FORGET_AGE_MS
        while self._seconds and (self._seconds[0] + 1) * _BUCKET_MS <= limit_ms:
            yield from self.pop_oldest()[1]
