"""The starts that were ordered on one side process only a moment ago."""

from __future__ import annotations

import collections

from skylarkcleat.scheduling import crashes


class RecentStarts:
    """Counts starts that may be to blame for a crash of the runner."""

    def __init__(self) -> None:
        self._started_at: collections.deque[float] = collections.deque()

    def record(self, now: float) -> None:
        """Records that a start was ordered."""
        self._started_at.append(now)
        while self._started_at[0] <= now - crashes.FRESH_S:
            self._started_at.popleft()

    def count(self, now: float) -> int:
        """Returns how many starts were ordered only a moment before a time."""
        since = now - crashes.FRESH_S
        return sum(at > since for at in self._started_at)
