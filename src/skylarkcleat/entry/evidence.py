"""Asks agents for their evidence before a late job's incident is made."""

from __future__ import annotations

import itertools
import typing as t

from skylarkcleat import clock as clock_lib
from skylarkcleat import network as network_lib
from skylarkcleat.model import cause as cause_lib
from skylarkcleat.protocol import claiming
from skylarkcleat.protocol import diagnostics
from skylarkcleat.timeline import account as account_lib
from skylarkcleat.timeline import collection as collection_lib
from skylarkcleat.timeline import incident as incident_lib

ANSWER_TIMEOUT_S = 1.0
MAX_OPEN = 256

Listener = t.Callable[[cause_lib.Cause | None], None]


class _Request(t.NamedTuple):
    job: str
    collection: collection_lib.Collection
    until: float
    listener: Listener


class EvidenceRequests:
    """The jobs whose incidents wait for what agents recorded.

    Only a late answer and a passed deadline are asked about; of the rest the
    entry knows the cause. Above `MAX_OPEN` at once, nobody is asked.
    """

    def __init__(
        self, account: account_lib.Account, network: network_lib.Network
    ) -> None:
        """Initializes without requests.

        Args:
            account: The entry's events and incidents.
            network: Sends to agents.
        """
        self._account = account
        self._network = network
        self._requests = itertools.count(1)
        self._open: dict[int, _Request] = {}

    def list_handlers(
        self,
    ) -> dict[type, t.Callable[[claiming.MemberRef, t.Any], None]]:
        """Returns what takes the agents' answers."""
        return {diagnostics.EventPage: self._take}

    def open(self, job: str, now: float, listener: Listener) -> None:
        """Sees to the incident of a job that has ended, if it needs one.

        Args:
            job: The job's identifier.
            now: The monotonic clock, in seconds.
            listener: Called once, now or later, with the incident's cause;
                None if there is no incident.
        """
        witnesses = self._find_witnesses(job)
        collection = collection_lib.Collection(job, witnesses)
        until = now + ANSWER_TIMEOUT_S
        asked = _Request(job, collection, until, listener)
        request = next(self._requests)
        for name in witnesses:
            self._ask(request, asked, name)
        if collection.done:
            self._close(asked, now)
        else:
            self._open[request] = asked

    def tick(self, now: float) -> None:
        """Closes what has waited too long.

        Args:
            now: The monotonic clock, in seconds.
        """
        overdue = [r for r, each in self._open.items() if each.until <= now]
        for request in overdue:
            self._close(self._open.pop(request), now)

    def _find_witnesses(self, job: str) -> tuple[str, ...]:
        if len(self._open) >= MAX_OPEN:
            return ()
        rows = self._account.recorder.find_job(job)
        trouble = incident_lib.find_trouble(rows)
        is_late = trouble is incident_lib.Trouble.LATE
        if is_late or rows[-1].cause is cause_lib.Cause.DEADLINE_PASSED:
            return self._account.find_witnesses(job)
        return ()

    def _ask(self, request: int, asked: _Request, name: str) -> None:
        question = asked.collection.create_question(name, request)
        if question is None:
            return
        agent = self._network.find_member(name)
        is_sent = agent is not None and self._network.send(
            claiming.MemberRef(agent.name, agent.incarnation), question
        )
        if not is_sent:
            asked.collection.give_up(name, "is not up")

    def _take(
        self, sender: claiming.MemberRef, found: diagnostics.EventPage
    ) -> None:
        asked = self._open.get(found.request)
        if asked is None:
            return
        asked.collection.take(found)
        self._ask(found.request, asked, sender.name)
        if asked.collection.done:
            del self._open[found.request]
            self._close(asked, clock_lib.read_monotonic())

    def _close(self, asked: _Request, now: float) -> None:
        incident = self._account.close_job(
            asked.job,
            clock_lib.read_wall_ms(),
            now,
            asked.collection.events,
        )
        asked.listener(incident.cause if incident else None)
