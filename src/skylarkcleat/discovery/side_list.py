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
        self._confirmed = _Reply(0, 0.0, float("-inf"))

    def update(self, message: owning.SideNames) -> None:
        """Replaces the list by one that an owner has sent."""
        self.names = message.names
        self.term = message.term

    def record_reply(
        self, reply: owning.OwnerHeartbeatReply, now: float
    ) -> None:
        """Records that this front is about to reply to a heartbeat."""
        self._replies.append(_Reply(reply.term, reply.sent_at, now))
        while self._replies[0].replied_at <= now - lease.SIDE_LIST_LEASE_S:
            self._replies.popleft()

    def confirm(self, message: owning.SideNamesConfirmed) -> None:
        """Records that the list was complete as this front sent a reply."""
        for reply in self._replies:
            is_same = reply.heartbeat_at == message.sent_at
            if is_same and reply.term == message.term:
                self._confirmed = reply

    def find_age_s(self, term: int, now: float) -> float:
        """Returns since when the list may lack names of an owner's sides.

        In seconds; infinite if this was never confirmed for that term.
        """
        if not term == self.term == self._confirmed.term:
            return float("inf")
        return now - self._confirmed.replied_at

    def is_complete(self, term: int, now: float) -> bool:
        """Returns whether it names all side processes that an owner uses."""
        return self.find_age_s(term, now) < lease.SIDE_LIST_LEASE_S
