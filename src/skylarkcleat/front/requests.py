"""Requests of this front that the owner answers."""

from __future__ import annotations

import asyncio
import typing as t

from skylarkcleat import clock as clock_lib
from skylarkcleat.protocol import scheduling

Build = t.Callable[[int, float, bool], t.NamedTuple]
"""Makes a request's message from its number, its age in seconds, and whether
it was sent to an owner before."""

Send = t.Callable[[t.NamedTuple], bool]
"""Sends a message to the owner; returns whether there is one."""


class _Open:
    """A request that waits for the owner's reply."""

    def __init__(self, build: Build, now: float, useless_at: float) -> None:
        self.build = build
        self.begun_at = now
        self.useless_at = useless_at
        self.was_sent = False
        self.was_sent_again = False
        self.reply: asyncio.Future[scheduling.Reply]
        self.reply = asyncio.get_running_loop().create_future()
        self.sent: asyncio.Future[None]
        self.sent = asyncio.get_running_loop().create_future()


class Requests:
    """Sends requests to the owner, again whenever another takes over."""

    def __init__(self, send: Send) -> None:
        self._send = send
        self._number = 0
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
            unsent_timeout_s: How long to wait for an owner to be known.
            useless_s: After this time an answer is of no use, if the owner
                is not heard.

        Returns:
            The reply. Without one the verdict is `NOT_RUN` if the request
            was never sent, and `UNCERTAIN` otherwise.
        """
        self._number += 1
        number = self._number
        now = clock_lib.read_monotonic()
        opened = _Open(build, now, now + useless_s)
        self._open[number] = opened
        try:
            self._forward(number, opened)
            if not opened.was_sent:
                await asyncio.wait([opened.sent], timeout=unsent_timeout_s)
            if not opened.was_sent:
                return self._describe_timeout(number, opened)
            return await asyncio.wait_for(opened.reply, timeout_s)
        except TimeoutError:
            return self._describe_timeout(number, opened)
        except asyncio.CancelledError:
            if opened.was_sent:
                self._send(scheduling.Abandon(number))
            raise
        finally:
            del self._open[number]

    def take_reply(self, reply: scheduling.Reply) -> None:
        """Takes in a reply; one of a process that is no owner is ignored."""
        opened = self._open.get(reply.request)
        if opened is None or opened.reply.done():
            return
        if reply.verdict is scheduling.Verdict.NOT_OWNER:
            return
        is_refusal = reply.verdict is scheduling.Verdict.NOT_RUN
        if is_refusal and opened.was_sent_again:
            # A former owner's refusal may come after another has started it.
            self._end(reply.request, opened, reply.detail)
        else:
            opened.reply.set_result(reply)

    def give_up(self) -> None:
        """Answers requests that are of no use any more; no owner is heard."""
        now = clock_lib.read_monotonic()
        for number, opened in self._open.items():
            is_over = opened.was_sent and now >= opened.useless_at
            if is_over and not opened.reply.done():
                self._end(number, opened, "the owner is not heard")

    def send_again(self) -> None:
        """Sends every open request to a new owner."""
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
        age_s = clock_lib.read_monotonic() - opened.begun_at
        message = opened.build(number, age_s, opened.was_sent)
        if not self._send(message):
            return
        opened.was_sent_again = opened.was_sent
        if not opened.was_sent:
            opened.was_sent = True
            opened.sent.set_result(None)

    def _describe_timeout(self, number: int, opened: _Open) -> scheduling.Reply:
        if opened.was_sent:
            self._send(scheduling.Abandon(number))
            return scheduling.Reply(
                number,
                scheduling.Verdict.UNCERTAIN,
                "the owner has not answered in time",
            )
        return scheduling.Reply(
            number, scheduling.Verdict.NOT_RUN, "no owner is known"
        )
