"""Which fronts follow an owner, by the beats that they answered."""

from __future__ import annotations

import collections.abc
import typing as t

from skylarkcleat.scheduling import lease
from skylarkcleat.wire import session as session_lib

MISSING_RETENTION_S = 30.0
"""How long a front that stopped answering counts as missing."""


class _Reply(t.NamedTuple):
    incarnation: int
    sent_at: float


class FollowerLeases:
    """The fronts whose jobs an owner may run.

    Args:
        local: The owner's own front, which is always present.
        others: The names of the other fronts that are known; each is missing
            until it answers.
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
        """Takes in that a front answered a beat sent at `sent_at`."""
        reply = _Reply(front.incarnation, sent_at)
        known = self._replies.get(front.name)
        if known is None or known <= reply:
            self._replies[front.name] = reply

    def is_following(self, front: session_lib.Endpoint, now: float) -> bool:
        """Returns whether the jobs of an incarnation of a front may run."""
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
