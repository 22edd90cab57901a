"""A hybrid logical clock: wall time that never runs against causality.

A stamp is one integer, `milliseconds << COUNTER_BITS | counter`, so that
stamps compare as they are ordered. Each message between processes carries
the sender's stamp; the receiver's later stamps are then larger, however much
the two wall clocks differ.
"""

from __future__ import annotations

import enum

COUNTER_BITS = 16
MAX_DRAG_MS = 10_000


class Reading(enum.Enum):
    """How a peer's stamp was taken."""

    MERGED = "merged"
    TOO_FAR_AHEAD = "too-far-ahead"


class HybridClock:
    """Gives out stamps that grow strictly.

    Attributes:
        last: The latest stamp that was given out or merged.
    """

    def __init__(self, max_drag_ms: int = MAX_DRAG_MS) -> None:
        """Creates a clock that has seen nothing.

        Args:
            max_drag_ms: How far peers may push the stamps ahead of the own
                wall clock, in milliseconds.
        """
        self.last = 0
        self._max_drag_ms = max_drag_ms

    def tick(self, wall_ms: int) -> int:
        """Returns a stamp later than every one before it.

        Args:
            wall_ms: The wall clock, in milliseconds since the epoch.
        """
        stamp = wall_ms << COUNTER_BITS
        last = self.last
        if stamp <= last:
            stamp = last + 1
        self.last = stamp
        return stamp

    def merge(self, stamp: int, wall_ms: int) -> Reading:
        """Takes a peer's stamp, so that later stamps are larger than it.

        A stamp that is further ahead than the bound is not followed: one
        wrong clock must not move every other one. The order of the events
        on both sides then rests on what they say of each other.

        Args:
            stamp: What the message carried.
            wall_ms: The own wall clock, in milliseconds since the epoch.
        """
        if stamp <= self.last:
            return Reading.MERGED
        if (stamp >> COUNTER_BITS) - wall_ms > self._max_drag_ms:
            return Reading.TOO_FAR_AHEAD
        self.last = stamp
        return Reading.MERGED


def read_ms(stamp: int) -> int:
    """Returns a stamp's wall time, in milliseconds since the epoch."""
    return stamp >> COUNTER_BITS
