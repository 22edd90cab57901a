"""The front process: discovery, the log, ownership and requests."""

from __future__ import annotations

import asyncio
import random
import typing as t

import eliot

from skylarkcleat import clock as clock_lib
from skylarkcleat.configuration import content
from skylarkcleat.configuration import store as store_lib
from skylarkcleat.consensus import driver as driver_lib
from skylarkcleat.discovery import knowledge as knowledge_lib
from skylarkcleat.front import ownership as ownership_lib
from skylarkcleat.front import rendezvous as rendezvous_lib
from skylarkcleat.front import requests as requests_lib
from skylarkcleat.front import service as service_lib
from skylarkcleat.platform import settings as settings_lib
from skylarkcleat.protocol import locating
from skylarkcleat.protocol import scheduling
from skylarkcleat.wire import event as event_lib
from skylarkcleat.wire import hub as hub_lib
from skylarkcleat.wire import session as session_lib

SUBMIT_MARGIN_S = 0.05
UNSENT_WORK = 0.4
"""A job waits for an owner for this share of its work: a quarter of its
usual objective."""

USELESS_WORK = 4.5
USELESS_S = 0.2
"""A job whose owner is not heard is given up after about three times its
usual objective; the owner knows it better."""

ASK_TIMEOUT_S = 1.0
OPERATOR_TIMEOUT_S = 0.9
"""An operator tries another front after a second without an answer."""

DRAIN_NOTICE_S = 2.2
"""The balancer takes two missed checks, a second apart, to notice."""

DRAIN_SHARE = 5 / 6
"""The part of the grace period after which open requests are answered."""

_DRAIN_POLL_S = 0.05


class FrontProcess(service_lib.FrontService):
    """Everything that a front does, but for its HTTP servers."""

    def __init__(
        self,
        settings: settings_lib.Settings,
        hub: hub_lib.Hub,
        store: store_lib.Store,
        log: driver_lib.LogDriver | None,
    ) -> None:
        self._settings = settings
        self._hub = hub
        self._log = log
        self._me = settings.ip
        seeds = settings_lib.list_seed_ips(settings)
        self._knowledge = knowledge_lib.Knowledge(seeds, random.Random())
        self._requests = requests_lib.Requests(self._send_to_owner)
        self._rendezvous = rendezvous_lib.Rendezvous(
            settings, self._knowledge, log, self._send_any
        )
        self._ownership = ownership_lib.Ownership(
            self._me, store, log, self._send, self._rendezvous.announce
        )
        self._draining = False
        self._is_closed = False

    def list_tasks(self) -> list[t.Coroutine[t.Any, t.Any, None]]:
        """Returns what has to run while the process does."""
        tasks = [self._listen(), self._rendezvous.run(), self._follow()]
        if self._log is not None:
            tasks.extend([self._ownership.run(), self._log.wait()])
        return tasks

    @property
    def is_ready(self) -> bool:
        """Whether callers had better be sent here."""
        now = clock_lib.read_monotonic()
        is_heard = self._knowledge.is_owner_heard(self._me, now)
        return is_heard and not self._draining

    @property
    def is_draining(self) -> bool:
        """Whether the front is about to stop."""
        return self._draining

    async def submit(
        self, host: str, path: str, job: scheduling.Job, patience_ms: int
    ) -> scheduling.Reply:
        """Answers once the job has ended or is refused."""
        if self._is_closed:
            verdict = scheduling.Verdict.NOT_RUN
            return scheduling.Reply(0, verdict, "this front is stopping")

        def build(
            number: int, age_s: float, was_sent: bool
        ) -> scheduling.Submit:
            waited_ms = round(age_s * 1000)
            return scheduling.Submit(
                number, host, path, job, waited_ms, patience_ms, was_sent
            )

        timeout_s = max(patience_ms / 1000 - SUBMIT_MARGIN_S, SUBMIT_MARGIN_S)
        work_s = sum(step.estimate_ms for step in job.steps) / 1000
        return await self._requests.call(
            build,
            timeout_s,
            min(UNSENT_WORK * work_s, timeout_s),
            USELESS_WORK * work_s + USELESS_S,
        )

    async def ask(
        self, host: str, path: str, job: str, cancel: bool
    ) -> scheduling.Reply:
        """Answers about a job or a queue."""

        def build(number: int, _age_s: float, _: bool) -> scheduling.Ask:
            return scheduling.Ask(number, host, path, job, cancel)

        return await self._call(build, ASK_TIMEOUT_S)

    async def put_configuration(
        self, configuration: content.Configuration
    ) -> scheduling.Reply:
        """Answers once the configuration is durable."""
        data = content.encode(configuration)

        def build(
            number: int, _age_s: float, _: bool
        ) -> scheduling.PutConfiguration:
            return scheduling.PutConfiguration(
                number, configuration.version, data
            )

        return await self._call(build, OPERATOR_TIMEOUT_S)

    async def read_configuration(self) -> content.Configuration | None:
        """Returns the newest configuration; None if that is not certain."""

        def build(
            number: int, _age_s: float, _: bool
        ) -> scheduling.ReadConfiguration:
            return scheduling.ReadConfiguration(number)

        reply = await self._call(build, OPERATOR_TIMEOUT_S)
        if reply.verdict is not scheduling.Verdict.ACCEPTED:
            return None
        return content.decode(reply.content)

    async def _call(
        self, build: requests_lib.Build, timeout_s: float
    ) -> scheduling.Reply:
        return await self._requests.call(build, timeout_s, timeout_s, timeout_s)

    async def drain(self) -> None:
        """Stops being ready and waits for the requests that are open."""
        self._draining = True
        eliot.log_message("front:draining", open=len(self._requests))
        if self._log is not None:
            await self._log.resign()
        begun = clock_lib.read_monotonic()
        limit_s = self._settings.bounds.grace_s * DRAIN_SHARE
        while True:
            passed = clock_lib.read_monotonic() - begun
            self._is_closed = passed > DRAIN_NOTICE_S
            is_idle = not len(self._requests)
            if (self._is_closed and is_idle) or passed > limit_s:
                break
            await asyncio.sleep(_DRAIN_POLL_S)
        eliot.log_message("front:drained", unanswered=len(self._requests))
        self._requests.close()
        await asyncio.sleep(_DRAIN_POLL_S)

    def _send(self, peer: session_lib.Endpoint, message: t.Any) -> None:
        if peer == self._hub.local:
            self._requests.take_reply(message)
        else:
            self._hub.send(peer, message)

    def _send_any(self, name: str, message: t.Any) -> None:
        port = self._settings.port_range[0]
        self._hub.send_any(name, f"tcp://{name}:{port}", message)

    def _send_to_owner(self, message: t.Any) -> bool:
        owner = self._knowledge.owner
        now = clock_lib.read_monotonic()
        if not self._knowledge.is_owner_heard(self._me, now):
            return False
        if owner == self._me:
            self._ownership.receive(self._hub.local, message)
        else:
            self._send_any(owner, message)
        return True

    async def _listen(self) -> None:
        while True:
            self._take(await self._hub.events.get())
            while not self._hub.events.empty():
                self._take(self._hub.events.get_nowait())
            self._ownership.act()

    def _take(self, event: event_lib.Event) -> None:
        if isinstance(event, event_lib.Lost):
            self._ownership.lose_peer(event.peer)
            if event.peer.name == self._knowledge.owner:
                self._requests.send_again()
            return
        peer, message = event.peer, event.message
        if isinstance(message, locating.LocatingMessage):
            answer = self._rendezvous.receive(peer.name, message)
            if answer is not None:
                self._hub.send(peer, answer)
        elif isinstance(message, scheduling.Reply):
            self._requests.take_reply(message)
        else:
            self._ownership.receive(peer, message)

    async def _follow(self) -> None:
        """Sends open requests again whenever the owner changes."""
        known = ""
        while True:
            now = clock_lib.read_monotonic()
            is_heard = self._knowledge.is_owner_heard(self._me, now)
            owner = self._knowledge.owner if is_heard else ""
            if owner != known:
                known = owner
                eliot.log_message(
                    "front:owner", owner=owner, term=self._knowledge.term
                )
                self._requests.send_again()
            if not owner:
                self._requests.give_up()
            await asyncio.sleep(rendezvous_lib.POLL_S)
