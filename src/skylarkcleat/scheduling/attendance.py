"""Which fronts follow an owner, by the beats that they answered."""

from __future__ import annotations

import collections.abc
import typing as t

from skylarkcleat.scheduling import lease
from skylarkcleat.wire import session as session_lib

REMEMBER_S = 30.0
"""How long a front that stopped answering counts as missing."""


class _Answer(t.NamedTuple):
    incarnation: int
    sent_at: float


class Attendance:
    """The fronts whose jobs an owner may run.

    Args:
        me: The owner's own front, which is always present.
        others: The names of the other fronts that are known; each is missing
            until it answers.
        now: The time, in seconds.
    """

    def __init__(
        self,
        me: session_lib.Endpoint,
        others: collections.abc.Iterable[str],
        now: float,
    ) -> None:
        self._me = me
        unanswered = _Answer(-1, now - lease.FRONT_LEASE_S)
        self._answers = dict.fromkeys(others, unanswered)

    def note_answer(self, front: session_lib.Endpoint, sent_at: float) -> None:
        """Takes in that a front answered a beat sent at `sent_at`."""
        answer = _Answer(front.incarnation, sent_at)
        known = self._answers.get(front.name)
        if known is None or known <= answer:
            self._answers[front.name] = answer

    def is_present(self, front: session_lib.Endpoint, now: float) -> bool:
        """Returns whether the jobs of an incarnation of a front may run."""
        if front == self._me:
            return True
        answer = self._answers.get(front.name)
        if answer is None or answer.incarnation != front.incarnation:
            return False
        return now - answer.sent_at < lease.FRONT_LEASE_S

    def is_any_missing(self, now: float) -> bool:
        """Returns whether a front may follow another owner."""
        return any(
            lease.FRONT_LEASE_S <= now - answer.sent_at < REMEMBER_S
            for answer in self._answers.values()
        )
