"""Detects members that stopped polling, on the leading replica."""

from __future__ import annotations

import typing as t

from skylarkcleat.model import member as member_lib
from skylarkcleat.protocol import subscribing

# A member is declared dead if no replica received a poll for this long.
DEAD_AFTER_S = 3.0
# After a longer pause the leader has not yet read the polls that arrived in the
# meantime, so it restarts every member's timeout.
MAX_PAUSE_S = 1.0


class MemberLiveness:
    """Tracks when members last polled; times are monotonic, in seconds."""

    def __init__(self, dead_after_s: float = DEAD_AFTER_S):
        """Creates the state of a replica that does not lead yet.

        Args:
            dead_after_s: The time without polls after which a member counts
                as dead.
        """
        self._dead_after_s = dead_after_s
        self._last_seen_at: dict[subscribing.MemberRef, float] = {}
        self._checked_at: float | None = None

    def start_leading(self, now: float) -> None:
        """Starts to lead: restarts the timeout of every member."""
        self._last_seen_at = {}
        self._checked_at = now

    def record_seen(
        self, refs: t.Iterable[subscribing.MemberRef], now: float
    ) -> None:
        """Records that incarnations polled."""
        for ref in refs:
            self._last_seen_at[ref] = now

    def find_unresponsive(
        self, members: t.Iterable[member_lib.Member], now: float
    ) -> tuple[subscribing.MemberRef, ...]:
        """Returns the members that stopped polling.

        Call it at least every `MAX_PAUSE_S`, as a longer gap counts as a
        pause. A newly listed member counts as last seen at the previous call.
        """
        if self._checked_at is None or now - self._checked_at > MAX_PAUSE_S:
            self.start_leading(now)
        listed_at, self._checked_at = self._checked_at, now
        refs = [
            subscribing.MemberRef(member.name, member.incarnation)
            for member in members
        ]
        # A member may be listed well before a following replica reports its
        # polls, so its timeout starts before its first one.
        self._last_seen_at = {
            ref: self._last_seen_at.get(ref, listed_at) for ref in refs
        }
        return tuple(
            ref
            for ref, last_seen_at in self._last_seen_at.items()
            if now - last_seen_at > self._dead_after_s
        )
