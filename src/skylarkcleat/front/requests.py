"""Forwards a front's requests to the process that answers them.

A request is sent again when its target changes. Its term and the expiry of
runs under earlier targets go with it, so that no task runs twice at once.
"""

from __future__ import annotations

import asyncio
import itertools
import typing as t

import eliot

from skylarkcleat import clock as clock_lib
from skylarkcleat import supervision
from skylarkcleat.front import obstacle as obstacle_lib
from skylarkcleat.front import open_request
from skylarkcleat.front import target as target_lib
from skylarkcleat.protocol import scheduling

_STOPPING = "this front is stopping"
_UNSENDABLE = "the request can't be sent on"


class Requests:
    """Sends requests to their target and resends them when it changes.

    Args:
        target: The process that answers.
        numbers: Yields the requests' numbers.
    """

    def __init__(
        self, target: target_lib.Target, numbers: t.Iterator[int]
    ) -> None:
        self._target = target
        self._numbers = numbers
        self._open: dict[int, open_request.OpenRequest] = {}
        self._unsent: set[int] = set()
        self._is_closed = False

    def __len__(self) -> int:
        """Returns how many requests are open."""
        return len(self._open)

    async def call(
        self,
        build: target_lib.BuildMessage,
        timeout_s: float,
        unsent_timeout_s: float,
        give_up_after_s: float,
        job: str = "",
    ) -> scheduling.Reply:
        """Sends a request and waits for the reply.

        Args:
            build: Creates the message.
            timeout_s: How long to wait, in seconds.
            unsent_timeout_s: How long to wait for a reachable target.
            give_up_after_s: How long to wait while no target is reachable,
                in seconds; a later reply would be of no use.
            job: The id of the job that is requested, for log lines.

        Returns:
            The reply. Without one the verdict is `NOT_RUN` if the request
            was never sent, and `UNCERTAIN` otherwise.
        """
        number = next(self._numbers)
        now = clock_lib.read_monotonic()
        request = open_request.OpenRequest(
            build, job, now, now + give_up_after_s
        )
        if self._is_closed:
            verdict = scheduling.Verdict.NOT_RUN
            return self._refuse(number, request, verdict, _STOPPING)
        self._open[number] = request
        self._unsent.add(number)
        try:
            self._forward(number, request)
            reply = await self._wait(request, timeout_s, unsent_timeout_s)
        except asyncio.CancelledError:
            self._abandon(number, request)
            raise
        finally:
            del self._open[number]
            self._unsent.discard(number)
        self._abandon(number, request)
        return reply or self._describe_timeout(number, request)

    async def _wait(
        self,
        request: open_request.OpenRequest,
        timeout_s: float,
        unsent_timeout_s: float,
    ) -> scheduling.Reply | None:
        """Returns the reply; None if it does not come in time."""
        if not request.sent_term:
            await asyncio.wait(
                [request.sent, request.reply],
                timeout=unsent_timeout_s,
                return_when=asyncio.FIRST_COMPLETED,
            )
        if request.sent_term:
            await asyncio.wait([request.reply], timeout=timeout_s)
        return request.reply.result() if request.reply.done() else None

    def _abandon(self, number: int, request: open_request.OpenRequest) -> None:
        """Notifies the target that the caller gave up, unless it replied."""
        if request.sent_term and not request.is_answered:
            self._target.send(scheduling.Abandon(number))

    def handle_reply(self, reply: scheduling.Reply) -> None:
        """Records a reply; ignores one from a process that is no target."""
        request = self._open.get(reply.request)
        if request is None or request.reply.done():
            return
        if reply.verdict is scheduling.Verdict.NOT_OWNER:
            if self._target.retries_refusals:
                self._unsent.add(reply.request)
            return
        # After a resend the reply may come from the previous target.
        request.is_answered = not request.was_resent
        if request.was_resent and request.is_refused_by(reply.verdict):
            # A previous owner may refuse after its successor started the job.
            self._end(reply.request, request, reply.detail)
        else:
            request.reply.set_result(reply)

    def give_up_expired(self) -> None:
        """Ends requests whose reply would be too late; no target is known."""
        now = clock_lib.read_monotonic()
        for number, request in self._list_waiting():
            if request.sent_term > 0 and now >= request.give_up_at:
                self._end(number, request, "the owner is unresponsive")

    def resend(self) -> None:
        """Sends every open request to a new target."""
        for number, request in self._open.items():
            self._forward(number, request)

    def send_unsent(self) -> None:
        """Sends the requests that wait for a target, once one is reachable."""
        if self._unsent and self._target.find_term():
            # A job precedes what is asked about it.
            for number in sorted(self._unsent):
                self._forward(number, self._open[number])

    def close(self) -> None:
        """Answers every open and every later request: the process ends."""
        self._is_closed = True
        for number, request in self._list_waiting():
            self._end(number, request, _STOPPING)

    def answer_at_least(self, count: int) -> None:
        """Answers so many of the open requests: the process ends.

        Those that have a reply already count. Of the others those that were
        not sent are first, as they have not run; then those that came last.
        """
        waiting = self._list_waiting()
        waiting.sort(key=lambda each: (each[1].sent_term > 0, -each[0]))
        replied = len(self._open) - len(waiting)
        for number, request in waiting[: max(0, count - replied)]:
            self._end(number, request, _STOPPING)

    def _list_waiting(self) -> list[tuple[int, open_request.OpenRequest]]:
        """Returns the open requests that have no reply yet, by number."""
        return [
            (number, request)
            for number, request in self._open.items()
            if not request.reply.done()
        ]

    def _end(
        self, number: int, request: open_request.OpenRequest, detail: str
    ) -> None:
        """Answers a request; it may have run if it was sent."""
        verdict = scheduling.Verdict.NOT_RUN
        if request.sent_term:
            verdict = scheduling.Verdict.UNCERTAIN
        reply = self._refuse(number, request, verdict, detail)
        request.reply.set_result(reply)

    def _describe_timeout(
        self, number: int, request: open_request.OpenRequest
    ) -> scheduling.Reply:
        if request.sent_term:
            verdict = scheduling.Verdict.UNCERTAIN
            detail = "the owner has not answered in time"
        else:
            verdict = scheduling.Verdict.NOT_RUN
            detail = self._target.find_obstacle().value
        return self._refuse(number, request, verdict, detail)

    def _refuse(
        self,
        number: int,
        request: open_request.OpenRequest,
        verdict: scheduling.Verdict,
        detail: str,
    ) -> scheduling.Reply:
        """Returns a reply of this front's own and writes a line about it."""
        age_s = clock_lib.read_monotonic() - request.received_at
        eliot.log_message(
            obstacle_lib.REFUSED,
            job=request.job,
            verdict=verdict.value,
            detail=detail,
            age_ms=round(age_s * 1000),
        )
        return scheduling.Reply(number, verdict, detail)

    def _forward(self, number: int, request: open_request.OpenRequest) -> None:
        """Sends a request; one that can't be sent is ended by itself."""
        try:
            self._try_forward(number, request)
        except Exception as error:
            supervision.log_unexpected("send a request", error)
            self._unsent.discard(number)
            if not request.reply.done():
                self._end(number, request, _UNSENDABLE)

    def _try_forward(
        self, number: int, request: open_request.OpenRequest
    ) -> None:
        term = self._target.find_term()
        if not term or request.reply.done():
            return
        was_sent = request.sent_term > 0
        # A request that is sent again in the same term tells the same.
        former_term, earlier_terms = request.list_former_terms(term)
        previous_term = former_term or (term if was_sent else 0)
        expiries = [self._target.find_expiry_s(old) for old in earlier_terms]
        attempt = target_lib.SendAttempt(
            number,
            clock_lib.read_monotonic() - request.received_at,
            term,
            previous_term,
            self._target.find_expiry_s(previous_term) if previous_term else 0.0,
            max(expiries, default=0.0),
            self._target.find_heartbeat(),
        )
        self._target.send(request.build(attempt))
        request.record_sent(term)
        request.was_resent = was_sent
        self._unsent.discard(number)
        if not request.sent.done():
            request.sent.set_result(None)


def create_numbers() -> t.Iterator[int]:
    """Returns numbers that all requests of one process share."""
    return itertools.count(1)
