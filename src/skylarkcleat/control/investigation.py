"""Asks members for what they recorded, and waits for their answers."""

from __future__ import annotations

import asyncio
import itertools
import typing as t

from skylarkcleat import network as network_lib
from skylarkcleat.model import member as member_lib
from skylarkcleat.protocol import claiming
from skylarkcleat.protocol import diagnostics
from skylarkcleat.timeline import collection as collection_lib
from skylarkcleat.timeline import event as event_lib
from skylarkcleat.timeline import incident as incident_lib
from skylarkcleat.timeline import incident_codec
from skylarkcleat.timeline import kind as kind_lib
from skylarkcleat.timeline import missing as missing_lib

ANSWER_TIMEOUT_S = 2.0
MAX_ASKED = 200

_Found = diagnostics.EventPage | diagnostics.IncidentPage


class Evidence(t.NamedTuple):
    """What is at hand of a job.

    Attributes:
        events: Of every process that answered.
        missing: The processes that did not.
        incidents: What the control replicas keep of the job.
    """

    events: tuple[event_lib.Event, ...]
    missing: tuple[missing_lib.Missing, ...]
    incidents: tuple[incident_lib.Incident, ...]


class Investigation:
    """Questions that are on their way to members."""

    _network: network_lib.Network

    def __init__(self) -> None:
        """Initializes an investigation without questions."""
        self._requests = itertools.count(1)
        self._waiting: dict[int, asyncio.Future[_Found]] = {}

    def use(self, network: network_lib.Network) -> None:
        """Asks through a network from now on; needed before any question."""
        self._network = network

    def take(self, found: _Found) -> None:
        """Takes in a member's answer; a late one is passed over."""
        waiting = self._waiting.pop(found.request, None)
        if waiting is not None and not waiting.done():
            waiting.set_result(found)

    async def gather(self, job: str) -> Evidence:
        """Returns what entries, agents and control replicas know of a job.

        Agents are asked that the entries' events name, or all of them, up to
        `MAX_ASKED`, when no entry knows the job.

        Args:
            job: The job's identifier.
        """
        entries = self._list_refs(member_lib.Role.ENTRY)
        first, incidents = await asyncio.gather(
            self._collect(job, entries), self.find_incidents(job=job)
        )
        agents = self._choose_agents(first)
        second = await self._collect(job, agents)
        return Evidence(
            tuple(first.events + second.events),
            first.missing + second.missing,
            tuple(incidents),
        )

    async def read_recent(self, limit: int) -> tuple[event_lib.Event, ...]:
        """Returns each member's latest events, in the order of their stamps.

        Args:
            limit: The most events of one member.
        """
        refs = self._list_refs(member_lib.Role.ENTRY)
        refs += self._list_refs(member_lib.Role.AGENT)
        answers = await asyncio.gather(
            *(
                self._ask(ref, diagnostics.EventQuery(0, "", 0, limit))
                for ref in refs[:MAX_ASKED]
            )
        )
        events = [
            event
            for answer in answers
            if isinstance(answer, diagnostics.EventPage)
            for event in answer.events
        ]
        return tuple(sorted(events, key=lambda event: event.stamp))

    async def find_incidents(
        self, job: str = "", begin_ms: int = 0, end_ms: int = 0
    ) -> list[incident_lib.Incident]:
        """Returns what the control replicas keep, each incident once.

        Args:
            job: The job; empty for those of a period.
            begin_ms: The first moment, in milliseconds since the epoch.
            end_ms: The first moment after it.
        """
        controls = self._list_refs(member_lib.Role.CONTROL)
        found = await asyncio.gather(
            *(
                self._read_incidents(ref, job, begin_ms, end_ms)
                for ref in controls
            )
        )
        by_id = {each.id: each for rows in found for each in rows}
        return sorted(by_id.values(), key=lambda each: each.wall_ms)

    async def _read_incidents(
        self,
        control: claiming.MemberRef,
        job: str,
        begin_ms: int,
        end_ms: int,
    ) -> list[incident_lib.Incident]:
        rows: list[incident_lib.Incident] = []
        while True:
            wanted = diagnostics.IncidentQuery(
                0, job, begin_ms, end_ms, len(rows)
            )
            found = await self._ask(control, wanted)
            if not isinstance(found, diagnostics.IncidentPage):
                return rows
            rows += incident_codec.unpack_incidents(found.packed)
            if found.done:
                return rows

    async def _collect(
        self, job: str, refs: t.Sequence[claiming.MemberRef]
    ) -> collection_lib.Collection:
        names = [ref.name for ref in refs]
        collection = collection_lib.Collection(job, names)
        await asyncio.gather(*(self._read_all(collection, ref) for ref in refs))
        return collection

    async def _read_all(
        self, collection: collection_lib.Collection, ref: claiming.MemberRef
    ) -> None:
        question = collection.create_question(ref.name, 0)
        while question is not None:
            found = await self._ask(ref, question)
            if not isinstance(found, diagnostics.EventPage):
                collection.give_up(ref.name, "does not answer")
                return
            collection.take(found)
            question = collection.create_question(ref.name, 0)

    async def _ask(
        self, ref: claiming.MemberRef, question: t.Any
    ) -> _Found | None:
        request = next(self._requests)
        waiting = asyncio.get_running_loop().create_future()
        self._waiting[request] = waiting
        try:
            if not self._network.send(ref, question._replace(request=request)):
                return None
            return await asyncio.wait_for(waiting, ANSWER_TIMEOUT_S)
        except TimeoutError:
            return None
        finally:
            self._waiting.pop(request, None)

    def _choose_agents(
        self, collection: collection_lib.Collection
    ) -> list[claiming.MemberRef]:
        agents = self._list_refs(member_lib.Role.AGENT)
        named = {
            event.peer
            for event in collection.events
            if event.kind is kind_lib.Kind.SENT
        }
        chosen = [ref for ref in agents if ref.name in named] or agents
        return chosen[:MAX_ASKED]

    def _list_refs(self, role: member_lib.Role) -> list[claiming.MemberRef]:
        return [
            claiming.MemberRef(member.name, member.incarnation)
            for member in self._network.list_members()
            if member.role is role
        ]
