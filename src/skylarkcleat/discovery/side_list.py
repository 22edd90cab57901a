"""A front's list of the side processes of the owner that it follows.

A front that takes over from a lost owner may start tasks at once if it knows
every side process that the owner may have used. A heartbeat that is handled
says nothing of that: it may have waited for seconds, and the owner may have
heard nothing of this front. The list therefore counts as complete for a time
since the front itself sent a reply that the owner has confirmed.

The module does no I/O and reads no clock.
"""

from __future__ import annotations

import collections
import typing as t

from skylarkcleat.protocol import owning
from skylarkcleat.scheduling import lease


class _Reply(t.NamedTuple):
    """A reply to an owner's heartbeat.

    Attributes:
        term: The owner's term.
        heartbeat_at: When the heartbeat was sent, on the owner's clock.
        replied_at: When this front replied, in seconds.
    """

    term: int
    heartbeat_at: float
    replied_at: float


class SideList:
    """The list that a front holds as a follower.

    Attributes:
        names: The names of the side processes.
        term: The term of the owner that sent them; 0 without one.
    """

    def __init__(self) -> None:
        self.names: tuple[str, ...] = ()
        self.term = 0
        self._replies: collections.deque[_Reply] = collections.deque()
        self._confirmed_term = 0
        self._complete_until = 0.0

    def update(self, message: owning.SideNames) -> None:
        """Replaces the list by one that an owner has sent."""
        self.names = message.names
        self.term = message.term

    def record_reply(
        self, reply: owning.OwnerHeartbeatReply, now: float
    ) -> None:
        """Records that this front is about to reply to a heartbeat."""
        self._replies.append(_Reply(reply.term, reply.sent_at, now))
        while self._replies[0].replied_at <= now - lease.MAX_SIDE_LIST_LEASE_S:
            self._replies.popleft()

    def confirm(self, message: owning.SideNamesConfirmed) -> None:
        """Records until when the list is complete."""
        for reply in self._replies:
            is_same = reply.heartbeat_at == message.sent_at
            if is_same and reply.term == message.term:
                self._confirmed_term = message.term
                self._complete_until = reply.replied_at + message.lasts_s

    def find_remaining_s(self, term: int, now: float) -> float | None:
        """Returns for how long it names all side processes that are used.

        Args:
            term: The term of the owner that uses them.
            now: The time, in seconds.

        Returns:
            The seconds, negative if it may lack names since then; None if it
            was never confirmed in that term.
        """
        if not term == self.term == self._confirmed_term:
            return None
        return self._complete_until - now

    def is_complete(self, term: int, now: float) -> bool:
        """Returns whether it names all side processes that an owner uses."""
        remaining_s = self.find_remaining_s(term, now)
        return remaining_s is not None and remaining_s > 0
