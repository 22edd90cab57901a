"""A request of a front that waits for its reply."""

from __future__ import annotations

import asyncio

from skylarkcleat.front import target as target_lib
from skylarkcleat.protocol import scheduling


class OpenRequest:
    """A request that waits for its reply.

    Args:
        build: Creates its message.
        job: The id of the job that is requested, for log lines.
        now: The time, in seconds.
        give_up_at: From when on a reply is of no use, in seconds.

    Attributes:
        build: Creates its message.
        job: The id of the job that is requested.
        received_at: When it was received, in seconds.
        give_up_at: From when on a reply is of no use, in seconds.
        sent_term: The term that it was last sent in; 0 if it was not sent yet.
        previous_term: The last term before that in which it was sent.
        earlier_terms: The terms before that one.
        was_resent: Whether it was sent more than once.
        is_answered: Whether it has a reply and was sent once only.
        reply: The reply.
        sent: Is done once it was sent.
    """

    def __init__(
        self,
        build: target_lib.BuildMessage,
        job: str,
        now: float,
        give_up_at: float,
    ) -> None:
        self.build = build
        self.job = job
        self.received_at = now
        self.give_up_at = give_up_at
        self.sent_term = 0
        self.previous_term = 0
        self.earlier_terms: frozenset[int] = frozenset()
        self.was_resent = False
        self.is_answered = False
        self.reply: asyncio.Future[scheduling.Reply]
        self.reply = asyncio.get_running_loop().create_future()
        self.sent: asyncio.Future[None]
        self.sent = asyncio.get_running_loop().create_future()

    def list_former_terms(self, term: int) -> tuple[int, frozenset[int]]:
        """Returns the terms in which it was sent before, other than one.

        Returns:
            The last of them, 0 if there is none, and all before that.
        """
        if self.sent_term in (0, term):
            return self.previous_term, self.earlier_terms
        earlier = (self.earlier_terms | {self.previous_term}) - {0}
        return self.sent_term, earlier

    def record_sent(self, term: int) -> None:
        """Records that it was sent to the target in a term."""
        former = self.list_former_terms(term)
        self.previous_term, self.earlier_terms = former
        self.sent_term = term

    def is_refused_by(self, verdict: scheduling.Verdict) -> bool:
        """Returns whether a verdict tells a caller that its job has not run."""
        is_unknown_queue = verdict is scheduling.Verdict.UNKNOWN_QUEUE
        is_refused_job = is_unknown_queue and bool(self.job)
        return is_refused_job or verdict is scheduling.Verdict.NOT_RUN
