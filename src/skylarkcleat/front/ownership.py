"""Ownership of all jobs: held by the front that leads the log."""

from __future__ import annotations

import asyncio
import typing as t

import eliot

from skylarkcleat import clock as clock_lib
from skylarkcleat.configuration import content
from skylarkcleat.configuration import record as record_lib
from skylarkcleat.configuration import store as store_lib
from skylarkcleat.consensus import driver as driver_lib
from skylarkcleat.consensus import log as log_lib
from skylarkcleat.protocol import scheduling
from skylarkcleat.scheduling import owner as owner_lib
from skylarkcleat.wire import session as session_lib

TICK_S = 0.02


class Ownership:
    """Runs the owner while this front leads, and passes messages to it."""

    def __init__(
        self,
        me: str,
        store: store_lib.Store,
        log: driver_lib.LogDriver | None,
        send: t.Callable[[session_lib.Endpoint, t.Any], None],
        announce: t.Callable[[t.Iterable[str]], None],
    ) -> None:
        self._me = me
        self._store = store
        self._log = log
        self._send = send
        self._announce = announce
        self._owner: owner_lib.Owner | None = None
        self._adding: set[str] = set()
        self._proposals: set[asyncio.Task] = set()

    async def run(self) -> None:
        """Takes and drops the ownership as the leadership comes and goes."""
        while True:
            if self._owner is None:
                if self._log.is_leading:
                    await self._take_over()
            elif self._check():
                self._tick()
            await asyncio.sleep(TICK_S)

    def receive(self, peer: session_lib.Endpoint, message: t.Any) -> None:
        """Takes in a message for the owner."""
        if not self._check():
            self._refuse(peer, message)
            return
        if isinstance(message, scheduling.PutConfiguration):
            self._spawn(self._put(peer, message))
        elif isinstance(message, scheduling.ReadConfiguration):
            self._spawn(self._read(peer, message))
        elif isinstance(message, scheduling.Submit | scheduling.Ask):
            self._take_request(peer, message)
        elif isinstance(message, scheduling.Register):
            self._register(peer, message)
        else:
            self._take_other(peer, message)
        if peer.name == self._me:
            self.act()

    def lose_peer(self, peer: session_lib.Endpoint) -> None:
        """Takes in that a process can't be reached any more."""
        if self._owner is not None:
            self._owner.lose_peer(peer, clock_lib.read_monotonic())

    def act(self) -> None:
        """Places tasks and sends what the owner has to say."""
        if self._owner is None:
            return
        self._owner.place(clock_lib.read_monotonic())
        outbox, self._owner.outbox = self._owner.outbox, []
        for outgoing in outbox:
            self._send(outgoing.peer, outgoing.message)

    def _check(self) -> bool:
        if self._owner is None or not self._log.is_leading:
            if self._owner is not None:
                eliot.log_message("owner:ended", jobs=len(self._owner.jobs))
            self._owner = None
            return False
        return True

    async def _take_over(self) -> None:
        answer = await self._propose(record_lib.TakeOwnership(self._me))
        if not isinstance(answer, log_lib.Applied):
            return
        if self._log.is_leading:
            sides = sorted(self._store.sides)
            eliot.log_message(
                "owner:begun", index=answer.index, sides=len(sides)
            )
            now = clock_lib.read_monotonic()
            self._owner = owner_lib.Owner(answer.index, sides, now)
            self._announce(sides)

    def _tick(self) -> None:
        now = clock_lib.read_monotonic()
        for side in self._owner.tick(now):
            self._spawn(self._propose(record_lib.RemoveSide(side)))
        self.act()

    def _refuse(self, peer: session_lib.Endpoint, message: t.Any) -> None:
        number = getattr(message, "request", None)
        if number is not None and not isinstance(message, scheduling.Abandon):
            verdict = scheduling.Verdict.NOT_OWNER
            self._send(peer, scheduling.Reply(number, verdict))

    def _take_request(
        self,
        peer: session_lib.Endpoint,
        message: scheduling.Submit | scheduling.Ask,
    ) -> None:
        match = self._store.index.find(message.host, message.path)
        if not self._store.configuration.version:
            verdict = scheduling.Verdict.NOT_RUN
            self._reply(peer, message.request, verdict, "no configuration")
        elif match is None or match.rest:
            verdict = scheduling.Verdict.UNKNOWN_QUEUE
            self._reply(peer, message.request, verdict, "no such queue")
        elif isinstance(message, scheduling.Ask):
            self._answer(peer, message, match.queue)
        elif message.job.unsupported or match.queue.unsupported:
            verdict = scheduling.Verdict.NOT_RUN
            detail = message.job.unsupported or match.queue.unsupported
            text = f"jobs that are {detail} are not served"
            self._reply(peer, message.request, verdict, text)
        else:
            now = clock_lib.read_monotonic()
            self._owner.submit(peer, message, match.queue, now)

    def _answer(
        self,
        peer: session_lib.Endpoint,
        message: scheduling.Ask,
        queue: content.Queue,
    ) -> None:
        if message.job:
            verdict = scheduling.Verdict.UNKNOWN_JOB
            self._reply(peer, message.request, verdict, "no such job")
            return
        count = self._owner.count_waiting(queue.name)
        verdict = scheduling.Verdict.COUNTED
        reply = scheduling.Reply(message.request, verdict, count=count)
        self._send(peer, reply)

    def _take_other(self, peer: session_lib.Endpoint, message: t.Any) -> None:
        now = clock_lib.read_monotonic()
        owner = self._owner
        if isinstance(message, scheduling.Abandon):
            owner.abandon(peer, message.request, now)
        elif isinstance(message, scheduling.Renew):
            owner.renew(peer, message, now)
        elif isinstance(message, scheduling.Report):
            owner.report(message, now)
        elif isinstance(message, scheduling.Ended):
            owner.end_runs(message, now)
        elif isinstance(message, scheduling.NotStarted):
            owner.take_back(message, now)
        elif isinstance(message, scheduling.RunnerLost):
            owner.lose_runner(message, now)

    def _register(
        self, peer: session_lib.Endpoint, message: scheduling.Register
    ) -> None:
        if message.side in self._store.sides:
            self._owner.register(peer, message, clock_lib.read_monotonic())
        elif message.side not in self._adding:
            self._spawn(self._add_side(peer, message))

    async def _add_side(
        self, peer: session_lib.Endpoint, message: scheduling.Register
    ) -> None:
        self._adding.add(message.side)
        try:
            await self._propose(record_lib.AddSide(message.side))
        finally:
            self._adding.discard(message.side)
        if message.side in self._store.sides and self._check():
            self._owner.register(peer, message, clock_lib.read_monotonic())
            self.act()

    async def _put(
        self, peer: session_lib.Endpoint, message: scheduling.PutConfiguration
    ) -> None:
        record = record_lib.Replace(message.version, message.content)
        answer = await self._propose(record)
        verdict = scheduling.Verdict.UNCERTAIN
        if isinstance(answer, log_lib.Applied):
            verdict = scheduling.Verdict.ACCEPTED
            eliot.log_message(
                "owner:configuration",
                version=message.version,
                in_force=self._store.configuration.version,
                index=answer.index,
            )
        self._reply(peer, message.request, verdict, "")

    async def _read(
        self,
        peer: session_lib.Endpoint,
        message: scheduling.ReadConfiguration,
    ) -> None:
        answer = await self._log.confirm()
        if not isinstance(answer, log_lib.Fresh):
            verdict = scheduling.Verdict.UNCERTAIN
            self._reply(peer, message.request, verdict, answer.detail)
            return
        data = content.encode(self._store.configuration)
        verdict = scheduling.Verdict.ACCEPTED
        reply = scheduling.Reply(message.request, verdict, content=data)
        self._send(peer, reply)

    async def _propose(self, record: record_lib.Record) -> t.Any:
        return await self._log.propose(record_lib.CODEC.encode(record))

    def _reply(
        self,
        peer: session_lib.Endpoint,
        request: int,
        verdict: scheduling.Verdict,
        detail: str,
    ) -> None:
        self._send(peer, scheduling.Reply(request, verdict, detail))

    def _spawn(self, work: t.Coroutine[t.Any, t.Any, t.Any]) -> None:
        task = asyncio.create_task(work)
        self._proposals.add(task)
        task.add_done_callback(self._proposals.discard)
