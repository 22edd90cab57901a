"""The time between two occurrences of something that is due at intervals."""

from __future__ import annotations


class Interval:
    """Tells when something is due again; all times are in seconds.

    Args:
        duration_s: The shortest time between two occurrences.
        now: When it last occurred.
    """

    def __init__(self, duration_s: float, now: float) -> None:
        self._duration_s = duration_s
        self._began_at = now

    def is_over(self, now: float) -> bool:
        """Returns whether it is due."""
        return now - self._began_at >= self._duration_s

    def restart(self, now: float) -> None:
        """Records that it occurs."""
        self._began_at = now
