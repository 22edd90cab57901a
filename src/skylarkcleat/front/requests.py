"""Requests of this front that another process answers."""

from __future__ import annotations

import abc
import asyncio
import itertools
import typing as t

from skylarkcleat import clock as clock_lib
from skylarkcleat.protocol import scheduling


class Passage(t.NamedTuple):
    """How a request goes to its target this time.

    Attributes:
        number: The front's number for the request.
        age_s: How long ago it came, in seconds.
        term: The target's term.
        former_term: The term of the target that it went to before; 0 if none.
        lapse_s: In how many seconds nothing of it runs there any more.
        older_lapse_s: The same of the targets that it went to before that.
    """

    number: int
    age_s: float
    term: int
    former_term: int
    lapse_s: float
    older_lapse_s: float


Build = t.Callable[[Passage], t.NamedTuple]
"""Makes a request's message."""


class Target(abc.ABC):
    """Who answers requests: whichever front owns the jobs, or leads the log."""

    @abc.abstractmethod
    def find_term(self) -> int:
        """Returns the term of the present target; 0 if none is heard."""

    @abc.abstractmethod
    def find_lapse(self, former_term: int) -> float:
        """Returns in how many seconds nothing runs under a former target."""

    @abc.abstractmethod
    def send(self, message: t.NamedTuple) -> None:
        """Sends a message to the present target."""


class _Open:
    """A request that waits for its reply."""

    def __init__(self, build: Build, now: float, useless_at: float) -> None:
        self.build = build
        self.begun_at = now
        self.useless_at = useless_at
        self.sent_term = 0
        self.older_terms: set[int] = set()
        self.was_sent_again = False
        self.is_answered = False
        self.reply: asyncio.Future[scheduling.Reply]
        self.reply = asyncio.get_running_loop().create_future()
        self.sent: asyncio.Future[None]
        self.sent = asyncio.get_running_loop().create_future()


class Requests:
    """Sends requests to their target, again whenever it changes.

    Args:
        target: Who answers.
        numbers: Where the requests' numbers come from.
    """

    def __init__(self, target: Target, numbers: t.Iterator[int]) -> None:
        self._target = target
        self._numbers = numbers
        self._open: dict[int, _Open] = {}

    def __len__(self) -> int:
        """Returns how many requests are open."""
        return len(self._open)

    async def call(
        self,
        build: Build,
        timeout_s: float,
        unsent_timeout_s: float,
        useless_s: float,
    ) -> scheduling.Reply:
        """Sends a request and waits for the reply.

        Args:
            build: Makes the message.
            timeout_s: How long to wait, in seconds.
            unsent_timeout_s: How long to wait for a target to be heard.
            useless_s: After this time an answer is of no use, if the target
                is not heard.

        Returns:
            The reply. Without one the verdict is `NOT_RUN` if the request
            was never sent, and `UNCERTAIN` otherwise.
        """
        number = next(self._numbers)
        now = clock_lib.read_monotonic()
        opened = _Open(build, now, now + useless_s)
        self._open[number] = opened
        try:
            self._forward(number, opened)
            reply = await self._wait(opened, timeout_s, unsent_timeout_s)
        except asyncio.CancelledError:
            self._abandon(number, opened)
            raise
        finally:
            del self._open[number]
        self._abandon(number, opened)
        return reply or _describe_timeout(number, opened)

    async def _wait(
        self, opened: _Open, timeout_s: float, unsent_timeout_s: float
    ) -> scheduling.Reply | None:
        """Returns the reply; None if it does not come in time."""
        if not opened.sent_term:
            await asyncio.wait([opened.sent], timeout=unsent_timeout_s)
        if not opened.sent_term:
            return None
        await asyncio.wait([opened.reply], timeout=timeout_s)
        return opened.reply.result() if opened.reply.done() else None

    def _abandon(self, number: int, opened: _Open) -> None:
        """Tells the target that a request is over, unless it ended it."""
        if opened.sent_term and not opened.is_answered:
            self._target.send(scheduling.Abandon(number))

    def take_reply(self, reply: scheduling.Reply) -> None:
        """Takes in a reply; one of a process that is no target is ignored."""
        opened = self._open.get(reply.request)
        if opened is None or opened.reply.done():
            return
        if reply.verdict is scheduling.Verdict.NOT_OWNER:
            return
        # After another target was asked, the reply may be a former one's.
        opened.is_answered = not opened.was_sent_again
        is_refusal = reply.verdict is scheduling.Verdict.NOT_RUN
        if is_refusal and opened.was_sent_again:
            # A former owner's refusal may come after another has started it.
            self._end(reply.request, opened, reply.detail)
        else:
            opened.reply.set_result(reply)

    def give_up(self) -> None:
        """Answers requests that are of no use any more; no target is heard."""
        now = clock_lib.read_monotonic()
        for number, opened in self._open.items():
            is_over = opened.sent_term > 0 and now >= opened.useless_at
            if is_over and not opened.reply.done():
                self._end(number, opened, "the owner is not heard")

    def send_again(self) -> None:
        """Sends every open request to a new target."""
        for number, opened in self._open.items():
            self._forward(number, opened)

    def close(self) -> None:
        """Answers every open request before the process ends."""
        for number, opened in self._open.items():
            if not opened.reply.done():
                self._end(number, opened, "this front stops")

    def _end(self, number: int, opened: _Open, detail: str) -> None:
        verdict = scheduling.Verdict.UNCERTAIN
        opened.reply.set_result(scheduling.Reply(number, verdict, detail))

    def _forward(self, number: int, opened: _Open) -> None:
        term = self._target.find_term()
        if not term or opened.reply.done():
            return
        former_term = opened.sent_term
        lapses = [self._target.find_lapse(old) for old in opened.older_terms]
        passage = Passage(
            number,
            clock_lib.read_monotonic() - opened.begun_at,
            term,
            former_term,
            self._target.find_lapse(former_term) if former_term else 0.0,
            max(lapses, default=0.0),
        )
        self._target.send(opened.build(passage))
        opened.was_sent_again = former_term > 0
        if former_term and former_term != term:
            opened.older_terms.add(former_term)
        opened.sent_term = term
        if not opened.sent.done():
            opened.sent.set_result(None)


def _describe_timeout(number: int, opened: _Open) -> scheduling.Reply:
    if opened.sent_term:
        verdict = scheduling.Verdict.UNCERTAIN
        detail = "the owner has not answered in time"
    else:
        verdict = scheduling.Verdict.NOT_RUN
        detail = "no owner is known"
    return scheduling.Reply(number, verdict, detail)


def create_numbers() -> t.Iterator[int]:
    """Returns numbers that all requests of one process share."""
    return itertools.count(1)
