"""The leases that fronts give an owner by replying to its heartbeats."""

from __future__ import annotations

import collections.abc
import typing as t

from skylarkcleat.scheduling import lease
from skylarkcleat.wire import session as session_lib

MISSING_RETENTION_S = 30.0
"""How long a front that stopped replying counts as missing; after that it is
taken to have departed."""


class _Reply(t.NamedTuple):
    incarnation: int
    sent_at: float


class FollowerLeases:
    """The fronts that follow an owner, so that it may run their jobs.

    Args:
        local: The owner's own front, which always follows it.
        others: The names of the other known fronts; each is missing until it
            replies.
        now: The time, in seconds.
    """

    def __init__(
        self,
        local: session_lib.Endpoint,
        others: collections.abc.Iterable[str],
        now: float,
    ) -> None:
        self._local = local
        no_reply = _Reply(-1, now - lease.FRONT_LEASE_S)
        self._replies = dict.fromkeys(others, no_reply)

    def record_reply(self, front: session_lib.Endpoint, sent_at: float) -> None:
        """Records a front's reply to a heartbeat sent at `sent_at`."""
        reply = _Reply(front.incarnation, sent_at)
        known = self._replies.get(front.name)
        # An incarnation that starts after its clock was set back has a
        # smaller number; `sent_at` is on the owner's own clock.
        if known is None or known.sent_at <= sent_at:
            self._replies[front.name] = reply

    def is_following(self, front: session_lib.Endpoint, now: float) -> bool:
        """Returns whether an incarnation of a front follows this owner."""
        if front == self._local:
            return True
        reply = self._replies.get(front.name)
        if reply is None or reply.incarnation != front.incarnation:
            return False
        return now - reply.sent_at < lease.FRONT_LEASE_S

    def has_missing_front(self, now: float) -> bool:
        """Returns whether a front may follow another owner."""
        return any(
            lease.FRONT_LEASE_S <= now - reply.sent_at < MISSING_RETENTION_S
            for reply in self._replies.values()
        )
