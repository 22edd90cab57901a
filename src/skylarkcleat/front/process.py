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
from skylarkcleat.discovery import election as election_lib
from skylarkcleat.discovery import peer_table as peer_table_lib
from skylarkcleat.front import configurations as configurations_lib
from skylarkcleat.front import log_service as log_service_lib
from skylarkcleat.front import ownership as ownership_lib
from skylarkcleat.front import rendezvous as rendezvous_lib
from skylarkcleat.front import requests as requests_lib
from skylarkcleat.front import service as service_lib
from skylarkcleat.front import succession as succession_lib
from skylarkcleat.front import targets
from skylarkcleat.platform import settings as settings_lib
from skylarkcleat.protocol import locating
from skylarkcleat.protocol import owning
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

FIRST_CLAIM_S = 1.0
"""At the very first start all fronts are up within 0.3 s, in any order."""

CLAIM_S = 0.2
"""A front that starts hears the others first."""

FOLLOW_S = 0.02
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
        me = hub.local
        now = clock_lib.read_monotonic()
        seeds = settings_lib.list_seed_ips(settings)
        self._knowledge = peer_table_lib.PeerTable(seeds, random.Random())
        self._election = election_lib.Election(
            me,
            _find_rank(settings),
            now + (FIRST_CLAIM_S if settings.bootstrap else CLAIM_S),
            now,
        )
        self._configurations = configurations_lib.Configurations(
            store if log is not None else None
        )
        self._ownership = ownership_lib.Ownership(
            me, self._configurations, self._send
        )
        self._succession = succession_lib.Succession(
            me,
            self._election,
            self._knowledge,
            self._configurations,
            self._ownership,
            self._send_any,
        )
        self._rendezvous = rendezvous_lib.Rendezvous(
            settings,
            self._knowledge,
            self._election,
            self._configurations,
            log,
            self._send_any,
        )
        self._log_service = log_service_lib.LogService(store, log, self._send)
        numbers = requests_lib.create_numbers()
        self._jobs = requests_lib.Requests(
            targets.OwnerTarget(
                me,
                self._election,
                self._succession,
                self._ownership,
                self._configurations,
                self._send_any,
            ),
            numbers,
        )
        self._orders = requests_lib.Requests(
            targets.LogTarget(
                me, self._knowledge, self._log_service, self._send_any
            ),
            numbers,
        )
        self._draining = False
        self._is_closed = False

    def list_tasks(self) -> list[t.Coroutine[t.Any, t.Any, None]]:
        """Returns what has to run while the process does."""
        tasks = [
            self._listen(),
            self._rendezvous.run(),
            self._succession.run(),
            self._follow(),
        ]
        if self._log is not None:
            tasks.append(self._log.wait())
        return tasks

    @property
    def is_ready(self) -> bool:
        """Whether callers had better be sent here."""
        is_heard = self._election.has_live_owner(clock_lib.read_monotonic())
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

        def build(passage: requests_lib.Passage) -> scheduling.Submit:
            return scheduling.Submit(
                passage.number,
                host,
                path,
                job,
                round(passage.age_s * 1000),
                patience_ms,
                passage.term,
                passage.former_term,
                round(passage.lapse_s * 1000),
                round(passage.older_lapse_s * 1000),
            )

        timeout_s = max(patience_ms / 1000 - SUBMIT_MARGIN_S, SUBMIT_MARGIN_S)
        work_s = sum(step.estimate_ms for step in job.steps) / 1000
        return await self._jobs.call(
            build,
            timeout_s,
            min(UNSENT_WORK * work_s, timeout_s),
            USELESS_WORK * work_s + USELESS_S,
        )

    async def ask(
        self, host: str, path: str, job: str, cancel: bool
    ) -> scheduling.Reply:
        """Answers about a job or a queue."""

        def build(passage: requests_lib.Passage) -> scheduling.JobRequest:
            return scheduling.JobRequest(
                passage.number, host, path, job, cancel, passage.term
            )

        timeout_s = ASK_TIMEOUT_S
        return await self._jobs.call(build, timeout_s, timeout_s, timeout_s)

    async def put_configuration(
        self, configuration: content.Configuration
    ) -> scheduling.Reply:
        """Answers once the configuration is durable."""
        data = content.encode(configuration)

        def build(
            passage: requests_lib.Passage,
        ) -> scheduling.PutConfiguration:
            return scheduling.PutConfiguration(
                passage.number, configuration.version, data
            )

        return await self._order(build)

    async def read_configuration(self) -> content.Configuration | None:
        """Returns the newest configuration; None if that is not certain."""

        def build(
            passage: requests_lib.Passage,
        ) -> scheduling.ReadConfiguration:
            return scheduling.ReadConfiguration(passage.number)

        reply = await self._order(build)
        if reply.verdict is not scheduling.Verdict.ACCEPTED:
            return None
        return content.decode(reply.content)

    async def _order(self, build: requests_lib.Build) -> scheduling.Reply:
        timeout_s = OPERATOR_TIMEOUT_S
        return await self._orders.call(build, timeout_s, timeout_s, timeout_s)

    async def drain(self) -> None:
        """Stops being ready and waits for the requests that are open."""
        self._draining = True
        eliot.log_message("front:draining", open=len(self._jobs))
        self._succession.release()
        if self._log is not None:
            await self._log.resign()
        begun = clock_lib.read_monotonic()
        limit_s = self._settings.bounds.grace_s * DRAIN_SHARE
        while True:
            passed = clock_lib.read_monotonic() - begun
            self._is_closed = passed > DRAIN_NOTICE_S
            is_idle = not len(self._jobs)
            if (self._is_closed and is_idle) or passed > limit_s:
                break
            self._succession.release()
            await asyncio.sleep(_DRAIN_POLL_S)
        eliot.log_message("front:drained", unanswered=len(self._jobs))
        self._jobs.close()
        await asyncio.sleep(_DRAIN_POLL_S)

    def _send(self, peer: session_lib.Endpoint, message: t.Any) -> None:
        if peer == self._hub.local:
            self._take_reply(message)
        else:
            self._hub.send(peer, message)

    def _send_any(self, name: str, message: t.Any) -> None:
        port = self._settings.port_range[0]
        self._hub.send_any(name, f"tcp://{name}:{port}", message)

    async def _listen(self) -> None:
        while True:
            self._take(await self._hub.events.get())
            while not self._hub.events.empty():
                self._take(self._hub.events.get_nowait())
            self._ownership.act()

    def _take(self, event: event_lib.Event) -> None:
        if isinstance(event, event_lib.Lost):
            if event.peer.name == self._election.followed.name:
                self._jobs.send_again()
            return
        peer, message = event.peer, event.message
        if isinstance(message, locating.LocatingMessage):
            self._locate(peer, message)
        elif isinstance(message, owning.OwningMessage):
            self._succeed(peer, message)
        elif isinstance(message, scheduling.Reply):
            self._take_reply(message)
        elif isinstance(message, scheduling.LogMessage):
            self._log_service.receive(peer, message)
        else:
            self._ownership.receive(peer, message)

    def _locate(
        self, peer: session_lib.Endpoint, message: locating.LocatingMessage
    ) -> None:
        if isinstance(message, locating.GiveConfiguration):
            self._configurations.take(content.decode(message.content))
            return
        answer = self._rendezvous.receive(peer.name, message)
        if answer is not None:
            self._hub.send(peer, answer)

    def _succeed(
        self, peer: session_lib.Endpoint, message: owning.OwningMessage
    ) -> None:
        if not isinstance(message, owning.Resubmit):
            self._succession.receive(peer, message)
        elif message.term == self._election.followed.term:
            self._jobs.send_again()

    def _take_reply(self, reply: scheduling.Reply) -> None:
        if self._configurations.note_version(reply.version):
            owner = self._election.followed.name
            version = self._configurations.version
            self._send_any(owner, locating.FetchConfiguration(version))
        self._jobs.take_reply(reply)
        self._orders.take_reply(reply)

    async def _follow(self) -> None:
        """Sends open requests again whenever their target changes."""
        known = locating.OwnerRef()
        known_log = self._knowledge.log
        while True:
            is_heard = self._election.has_live_owner(clock_lib.read_monotonic())
            owner = locating.OwnerRef()
            if is_heard and self._configurations.version:
                owner = self._election.followed
            if owner != known:
                known = owner
                eliot.log_message(
                    "front:owner", owner=owner.name, term=owner.term
                )
                self._jobs.send_again()
            if not owner.term:
                self._jobs.give_up()
            if self._knowledge.log[:2] != known_log[:2]:
                known_log = self._knowledge.log
                self._orders.send_again()
            await asyncio.sleep(FOLLOW_S)


def _find_rank(settings: settings_lib.Settings) -> int:
    limits = settings.limits
    cores = limits.cpu_share * limits.cores
    has_disk = bool(settings.data_dir)
    return election_lib.find_rank(has_disk, cores, limits.link_mbps)
