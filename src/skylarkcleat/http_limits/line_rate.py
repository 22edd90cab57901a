"""Bounds how many lines of chunked bodies a process parses in a time."""

from __future__ import annotations


class LineRate:
    """A token bucket.

    Addresses the load of bodies in very small chunks, which take more processor
    time than bytes.

    Args:
        burst: The most lines at once.
        per_s: How many lines are added in a second.
        now: The time, in seconds.
    """

    def __init__(self, burst: int, per_s: int, now: float) -> None:
        self._burst = float(burst)
        self._per_s = per_s
        self._left = float(burst)
        self._filled_at = now

    def take(self, lines: int, now: float) -> bool:
        """Takes lines; returns whether there were as many left."""
        added = (now - self._filled_at) * self._per_s
        self._left = min(self._burst, self._left + added)
        self._filled_at = now
        if lines > self._left:
            return False
        self._left -= lines
        return True
