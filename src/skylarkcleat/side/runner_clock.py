"""Estimates a runner's own clock from its answers."""

from __future__ import annotations

_MIN_RATE = 0.98
"""The slowest rate of a runner's clock relative to real time."""


class RunnerClock:
    """Estimates a runner's clock, never ahead of it."""

    def __init__(self) -> None:
        self._clock_ms: int | None = None
        self._recorded_at = 0.0

    def reset(self) -> None:
        """Clears the estimate: a restarted runner has a new clock."""
        self._clock_ms = None

    def record(self, clock_ms: int | None, now: float) -> None:
        """Records a reading of the clock taken before `now`, in seconds."""
        if clock_ms is None:
            return
        known = self.find_time(now, 0.0)
        if known is None or clock_ms >= known or clock_ms + 5000 < known:
            self._clock_ms = clock_ms
            self._recorded_at = now

    def find_time(self, now: float, ahead_s: float) -> int | None:
        """Returns the clock's time at least `ahead_s` before it shows it.

        None if no answer has reported the clock yet.
        """
        if self._clock_ms is None:
            return None
        passed = (now - self._recorded_at) * _MIN_RATE
        return int(self._clock_ms + (passed + ahead_s) * 1000)
