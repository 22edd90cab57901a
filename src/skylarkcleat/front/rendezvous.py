"""How a front finds the others, founds the log and repairs its membership."""

from __future__ import annotations

import asyncio
import typing as t

import eliot

from skylarkcleat import clock as clock_lib
from skylarkcleat.consensus import driver as driver_lib
from skylarkcleat.discovery import bootstrap as bootstrap_lib
from skylarkcleat.discovery import election as election_lib
from skylarkcleat.discovery import peer_table as peer_table_lib
from skylarkcleat.front import configurations as configurations_lib
from skylarkcleat.platform import settings as settings_lib
from skylarkcleat.protocol import locating

ASK_S = 0.2
"""How often a front asks the leader of the log for its view."""

GOSSIP_S = 1.0
"""How often it asks others as well."""

SEEK_ASK_S = 0.08
"""How often it asks all others while it hears no owner."""

POLL_S = 0.04
GONE_S = 3.0
"""A replica that is silent for so long gives way to an empty newcomer."""


class Rendezvous:
    """A front's place among the fronts."""

    def __init__(
        self,
        settings: settings_lib.Settings,
        knowledge: peer_table_lib.PeerTable,
        election: election_lib.Election,
        configurations: configurations_lib.Configurations,
        log: driver_lib.LogDriver | None,
        send: t.Callable[[str, t.Any], None],
    ) -> None:
        self._settings = settings
        self._knowledge = knowledge
        self._election = election
        self._configurations = configurations
        self._log = log
        self._send = send
        self._me = settings.ip
        is_empty = log is not None and log.is_empty
        self._founding = bootstrap_lib.Bootstrap(
            self._me,
            settings.bootstrap and is_empty,
            settings.bootstrap,
            knowledge,
        )
        self._asked_at = 0.0
        self._sought_at = 0.0
        self._gossiped_at = 0.0
        self._founded = False

    async def run(self) -> None:
        """Asks others, founds the log, and follows who leads."""
        while True:
            now = clock_lib.read_monotonic()
            self._note_leader()
            self._seek(now)
            if now - self._asked_at >= ASK_S:
                self._asked_at = now
                self._ask(self._choose_targets(now), now)
                self._found(now)
                self._meet(now)
                await self._repair()
            await asyncio.sleep(POLL_S)

    def receive(
        self, sender: str, message: locating.LocatingMessage
    ) -> t.NamedTuple | None:
        """Takes in a message; returns the answer, if one is due."""
        now = clock_lib.read_monotonic()
        if isinstance(message, locating.View):
            return self._take_view(message, now)
        if isinstance(message, locating.FetchConfiguration):
            return self._configurations.answer(message)
        if isinstance(message, locating.Propose):
            self._founding.promise(message.replicas)
        elif (
            isinstance(message, locating.ViewRequest)
            and message.sender is not None
        ):
            self._knowledge.record_front(message.sender, now)
        return self._describe(now)

    def _take_view(
        self, view: locating.View, now: float
    ) -> locating.FetchConfiguration | None:
        self._knowledge.merge(view, now)
        self._election.record_view(view, now)
        if not self._configurations.note_version(view.version):
            return None
        return locating.FetchConfiguration(self._configurations.version)

    def _seek(self, now: float) -> None:
        """Asks all others whether they hear an owner."""
        if not self._election.is_searching(now):
            return
        if now - self._sought_at >= SEEK_ASK_S:
            self._sought_at = now
            self._ask(self._knowledge.list_names(self._me, now), now)

    def _ask(self, names: t.Iterable[str], now: float) -> None:
        me = self._describe_me()
        self._knowledge.record_front(me, now)
        for name in names:
            self._send(name, locating.ViewRequest(me))

    def _choose_targets(self, now: float) -> list[str]:
        knowledge = self._knowledge
        leader = knowledge.log.leader
        if now - self._gossiped_at < GOSSIP_S and leader:
            return [leader] if leader != self._me else []
        self._gossiped_at = now
        return knowledge.choose_targets(self._me, now)

    def _describe_me(self) -> locating.FrontRef:
        log = self._log
        return locating.FrontRef(
            self._me,
            self._settings.zone,
            self._election.rank,
            log is not None,
            self._settings.bootstrap and log is not None and log.is_empty,
            0,
        )

    def _describe(self, now: float) -> locating.View:
        knowledge = self._knowledge
        return locating.View(
            self._describe_me(),
            tuple(knowledge.list_fronts(now)),
            self._election.followed,
            self._find_silence_ms(now),
            knowledge.log,
            self._founding.promised,
            self._configurations.version,
        )

    def _find_silence_ms(self, now: float) -> int:
        election = self._election
        if election.is_owner:
            return 0
        if not election.has_live_owner(now):
            return -1
        return round((now - election.last_seen_at) * 1000)

    def _note_leader(self) -> None:
        log = self._log
        if log is None or log.is_empty:
            return
        status = log.status
        replicas = tuple(voter.name for voter in status.voters)
        self._knowledge.record_log(
            locating.LogRef(log.leader, status.term, replicas)
        )

    def _found(self, now: float) -> None:
        if self._log is None or self._founded or not self._log.is_empty:
            return
        founders = self._founding.find_initial_replicas()
        if founders:
            self._founded = True
            eliot.log_message("front:founding", founders=list(founders))
            for name in founders:
                self._meet_replica(name)
            self._log.allow_bootstrap(founders)
            return
        proposal = self._founding.find_proposal(now)
        if not proposal:
            return
        for seed in self._knowledge.seeds:
            if seed == self._me:
                self._founding.promise(proposal)
            else:
                self._send(seed, locating.Propose(proposal))

    def _meet(self, now: float) -> None:
        if self._log is None:
            return
        for ref in self._knowledge.list_fronts(now):
            if ref.has_disk:
                self._meet_replica(ref.name)
        for name in self._knowledge.log.replicas:
            self._meet_replica(name)

    def _meet_replica(self, name: str) -> None:
        if name != self._me:
            port = self._settings.port_range[0] + 1
            self._log.add_peer(name, f"tcp://{name}:{port}")

    async def _repair(self) -> None:
        """Lets newcomers vote, in place of replicas that are gone."""
        log = self._log
        if log is None or not log.is_leading:
            return
        status = log.status
        for learner in status.learners:
            if any(voter.name == learner.name for voter in status.voters):
                continue
            gone = [
                voter.name
                for voter in status.voters
                if log.seconds_since_answer(voter.name) > GONE_S
            ]
            if gone:
                eliot.log_message(
                    "front:replica-replaced", gone=gone[0], by=learner.name
                )
                await log.expel(gone[0])
            await log.admit(learner.name)
