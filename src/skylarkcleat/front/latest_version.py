"""The newest version that other processes have, and when to fetch it."""

from __future__ import annotations

from skylarkcleat import clock as clock_lib

FETCH_INTERVAL_S = 0.1
"""How long to wait for a version before fetching it again."""


class LatestVersion:
    """Tracks the versions that other processes have.

    Attributes:
        number: The newest version that any process has used.
    """

    def __init__(self) -> None:
        self.number = 0
        self._fetched_at = float("-inf")

    def record(self, number: int, held: int) -> bool:
        """Records the version that another process has.

        Args:
            number: That version.
            held: The version that this process has.

        Returns:
            Whether to fetch it from that process.
        """
        self.number = max(self.number, number)
        now = clock_lib.read_monotonic()
        if number <= held or now - self._fetched_at < FETCH_INTERVAL_S:
            return False
        self._fetched_at = now
        return True
