"""What the connections of one client address hold."""

from __future__ import annotations

PROVEN_S = 60.0
"""How long an address counts as proven after a complete request."""


class Source:
    """One client address.

    Attributes:
        address: The IP number.
        connections: Its open connections.
        held_bytes: What they hold.
    """

    __slots__ = ("_completed_at", "address", "connections", "held_bytes")

    def __init__(self, address: str) -> None:
        self.address = address
        self.connections = 0
        self.held_bytes = 0
        self._completed_at = float("-inf")

    def prove(self, now: float) -> None:
        """Records a complete request."""
        self._completed_at = now

    def is_proven(self, now: float) -> bool:
        """Returns whether it sent a complete request of late."""
        return now - self._completed_at < PROVEN_S
