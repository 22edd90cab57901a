"""Logs what was closed, in a bounded number of lines."""

from __future__ import annotations

import collections

import eliot

from skylarkcleat.http_limits import reason as reason_lib

CLOSED = "limits:closed"
"""The type of a line about connections that were closed."""

HELD = "limits:held"
"""The type of a line about what all connections hold."""

HELD_INTERVAL_S = 10.0


class ClosedLog:
    """Collects what was closed until the next sweep.

    There is at most one line a sweep for each reason, and one in
    `HELD_INTERVAL_S` about what is held, if that has changed.
    """

    def __init__(self) -> None:
        self._counts: collections.Counter[reason_lib.Reason] = (
            collections.Counter()
        )
        self._addresses: dict[reason_lib.Reason, str] = {}
        self._held = (0, 0)
        self._held_at = float("-inf")

    def add(self, reason: reason_lib.Reason, address: str) -> None:
        """Records a connection that was closed."""
        self._counts[reason] += 1
        self._addresses[reason] = address

    def write(self, held_bytes: int, connections: int, now: float) -> None:
        """Writes the lines that are due."""
        for reason, count in self._counts.items():
            eliot.log_message(
                CLOSED,
                reason=reason.value,
                count=count,
                last_address=self._addresses[reason],
                held_bytes=held_bytes,
                connections=connections,
            )
        held = (held_bytes, connections)
        is_due = now - self._held_at >= HELD_INTERVAL_S
        if held != self._held and (is_due or self._counts):
            eliot.log_message(
                HELD, held_bytes=held_bytes, connections=connections
            )
            self._held = held
            self._held_at = now
        self._counts.clear()
        self._addresses.clear()
