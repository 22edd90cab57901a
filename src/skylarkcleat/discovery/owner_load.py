"""How much of its link and of its time an owner of the jobs needs.

For jobs whose specifications are so large that their starts fill the link of a
front that suits as an owner by its processors: heartbeats and leases then wait
behind starts, and side processes are lost. Such an owner gives up the advantage
that it has over fronts with a disk, and the strongest of them takes over. The
module does no I/O and reads no clock.
"""

from __future__ import annotations

import typing as t

WINDOW_S = 0.5
"""The time over which the use of the link and congestion are taken."""

LINK_SHARE = 0.6
"""An owner that needs more of its link than this is overloaded: a burst of
twice the load would not leave room for heartbeats."""

CONGESTED_SHARE = 0.5
"""An owner whose intake is congested for more of the time is overloaded."""

HOLD_S = 60.0
"""How long an owner that was overloaded stays behind stronger fronts. It is
doubled each time, up to `MAX_HOLD_S`, so that the jobs don't swing between an
owner that is too weak and one that is less suitable."""

MAX_HOLD_S = 960.0

LOAD = "owner:load"
"""The type of the line that tells an owner's load, at most once a second."""

LAGGING = "owner:lagging"
"""The type of the line that an owner writes when it becomes overloaded."""

_BYTES_PER_MBIT = 125_000


class Use(t.NamedTuple):
    """What an owner has used so far.

    Attributes:
        sent_bytes: The bytes that this front has sent to other processes.
        is_congested: Whether jobs come faster than they are taken up.
    """

    sent_bytes: int
    is_congested: bool


class OwnerLoad:
    """Tells whether the owner here is overloaded.

    Args:
        link_mbps: The bandwidth of the front's link, in Mbit/s.
        now: The time, in seconds.

    Attributes:
        link_share: The share of the link in use in the last window.
        congested_share: The share of its time that was congested.
    """

    def __init__(self, link_mbps: float, now: float) -> None:
        self._bytes_per_s = link_mbps * _BYTES_PER_MBIT
        self._hold_s = HOLD_S
        self._held_until = float("-inf")
        self.begin(now, 0)

    def begin(self, now: float, sent_bytes: int) -> None:
        """Begins a term: what was used before tells nothing of it."""
        self.link_share = 0.0
        self.congested_share = 0.0
        self._begun_at = now
        self._begun_bytes = sent_bytes
        self._looks = 0
        self._congested_looks = 0

    def record(self, use: Use, now: float) -> bool:
        """Records the use up to now; returns if the owner became overloaded."""
        self._looks += 1
        self._congested_looks += use.is_congested
        elapsed_s = now - self._begun_at
        if elapsed_s < WINDOW_S:
            return False
        sent_bytes = use.sent_bytes - self._begun_bytes
        link_share = sent_bytes / elapsed_s / self._bytes_per_s
        congested_share = self._congested_looks / self._looks
        self.begin(now, use.sent_bytes)
        self.link_share = link_share
        self.congested_share = congested_share
        is_over = link_share > LINK_SHARE or congested_share > CONGESTED_SHARE
        if not is_over or self.is_overloaded(now):
            return False
        self._held_until = now + self._hold_s
        self._hold_s = min(2 * self._hold_s, MAX_HOLD_S)
        return True

    def is_overloaded(self, now: float) -> bool:
        """Returns whether this front is to own the jobs only if it must."""
        return now < self._held_until
