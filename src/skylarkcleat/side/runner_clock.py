"""Estimates a runner's own clock from its answers."""

from __future__ import annotations

_ROUNDING_MS = 1
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

    def record(self, clock_ms: int, asked_at: float, now: float) -> None:
        """Records a reading of the clock.

        A lower reading than the estimate may only have arrived late. But an
        estimate that is ahead of all that the clock can show now is wrong.

        Args:
            clock_ms: The reading.
            asked_at: When the call was sent that it answers, in seconds.
            now: When it arrived, in seconds.
        """
        known = self.find_time(now, 0.0)
        latest = clock_ms + (now - asked_at) * 1000 + _ROUNDING_MS
        if known is None or not clock_ms <= known <= latest:
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
