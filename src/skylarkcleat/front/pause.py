"""Times at which a process stood still.

What it handles next may have waited for as long: a caller whose request is read
now may have gone meanwhile, and may have sent its job again elsewhere.
"""

from __future__ import annotations

import eliot

LOGGED_PAUSE_S = 0.15

LONG_PAUSE_S = 1.0
"""After a pause of this length callers may have gone to another front: they
send again 1.3 s after a connection broke."""

RECOVERY_S = 0.1
"""How long after a long pause nothing is sent for callers, so that the ends of
their connections are handled first."""


class PauseWatch:
    """Notices that a process stood still, by ticks that come late.

    Args:
        tick_s: The time between ticks, in seconds.
        now: The time, in seconds.
    """

    def __init__(self, tick_s: float, now: float) -> None:
        self._tick_s = tick_s
        self._ticked_at = now
        self._resumed_at = float("-inf")

    def tick(self, now: float) -> None:
        """Records a tick, and logs that it came late."""
        late_s = self._find_lateness_s(now)
        self._ticked_at = now
        if late_s >= LONG_PAUSE_S:
            self._resumed_at = now
        if late_s >= LOGGED_PAUSE_S:
            eliot.log_message("front:paused", late_ms=round(late_s * 1000))

    def is_recovering(self, now: float) -> bool:
        """Returns whether the process has just stood still for long."""
        if self._find_lateness_s(now) >= LONG_PAUSE_S:
            return True
        return now < self._resumed_at + RECOVERY_S

    def _find_lateness_s(self, now: float) -> float:
        return now - self._ticked_at - self._tick_s
