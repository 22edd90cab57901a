"""How late the event loop of a process runs its callbacks."""

from __future__ import annotations

import eliot

from skylarkcleat import interval

WINDOW_S = 1.0
"""The shortest time between two lines."""

LOGGED_S = 0.05
"""Lag below this is not logged: a sixth of the shortest lease."""

LAG = "process:lag"
"""The type of the line; its `late_ms` is 0 once the lag is over."""


class LagMeter:
    """Logs the largest lag of each second in which it is worth a line.

    Args:
        now: The time, in seconds.
    """

    def __init__(self, now: float) -> None:
        self._window = interval.Interval(WINDOW_S, now)
        self._late_s = 0.0
        self._is_lagging = False

    def record(self, late_s: float, now: float) -> None:
        """Records that a timer ran so much too late.

        Args:
            late_s: By how much, in seconds.
            now: The time, in seconds.
        """
        self._late_s = max(self._late_s, late_s)
        if not self._window.is_over(now):
            return
        is_lagging = self._late_s >= LOGGED_S
        if is_lagging or self._is_lagging:
            late_ms = round(self._late_s * 1000) if is_lagging else 0
            eliot.log_message(LAG, late_ms=late_ms)
        self._is_lagging = is_lagging
        self._late_s = 0.0
        self._window.restart(now)
