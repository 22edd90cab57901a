"""Requests agents' events of a late job before its incident is created."""

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

# When it expires, the incident is created from the events received so far.
ANSWER_TIMEOUT_S = 1.0
# The most jobs that wait for events at once. Incidents of further jobs are
# created at once, from the entry's own events.
MAX_OPEN = 256

Listener = t.Callable[[cause_lib.Cause | None], None]


class _Request(t.NamedTuple):
    job: str
    collection: collection_lib.Collection
    expires_at: float
    listener: Listener


class EventRequests:
    """Requests events from agents for the incidents of ended jobs.

    Events are requested only for a late answer and a passed deadline; for
    other endings the entry knows the cause. While `MAX_OPEN` jobs wait for
    events, incidents of further jobs contain only the entry's own events.
    """

    def __init__(
        self, account: account_lib.Account, network: network_lib.Network
    ) -> None:
        """Initializes without open requests.

        Args:
            account: The entry's events and incidents.
            network: Sends event queries to agents.
        """
        self._account = account
        self._network = network
        self._requests = itertools.count(1)
        self._open: dict[int, _Request] = {}

    def list_handlers(
        self,
    ) -> dict[type, t.Callable[[claiming.MemberRef, t.Any], None]]:
        """Returns the handlers of the agents' answers, by message type."""
        return {diagnostics.EventPage: self._handle_page}

    def request_events(self, job: str, now: float, listener: Listener) -> None:
        """Requests the events that an ended job's incident needs, if any.

        The incident is created once all events have arrived, or after
        `ANSWER_TIMEOUT_S`; at once if no events are needed.

        Args:
            job: The job's identifier.
            now: The monotonic clock, in seconds.
            listener: Called once, before this returns or later, with the
                incident's cause, or None if there is no incident.
        """
        agents = self._choose_agents(job)
        collection = collection_lib.Collection(job, agents)
        expires_at = now + ANSWER_TIMEOUT_S
        pending = _Request(job, collection, expires_at, listener)
        request = next(self._requests)
        for name in agents:
            self._send_query(request, pending, name)
        if collection.done:
            self._close(pending, now)
        else:
            self._open[request] = pending

    def tick(self, now: float) -> None:
        """Creates the incidents of jobs whose requests have expired.

        Args:
            now: The monotonic clock, in seconds.
        """
        overdue = [
            r for r, each in self._open.items() if each.expires_at <= now
        ]
        for request in overdue:
            self._close(self._open.pop(request), now)

    def _choose_agents(self, job: str) -> tuple[str, ...]:
        if len(self._open) >= MAX_OPEN:
            return ()
        rows = self._account.recorder.find_job(job)
        trouble = incident_lib.find_trouble(rows)
        is_late = trouble is incident_lib.Trouble.LATE
        if is_late or rows[-1].cause is cause_lib.Cause.DEADLINE_PASSED:
            return self._account.find_witnesses(job)
        return ()

    def _send_query(self, request: int, pending: _Request, name: str) -> None:
        query = pending.collection.create_question(name, request)
        if query is None:
            return
        agent = self._network.find_member(name)
        is_sent = agent is not None and self._network.send(
            claiming.MemberRef(agent.name, agent.incarnation), query
        )
        if not is_sent:
            pending.collection.give_up(name, "is not up")

    def _handle_page(
        self, sender: claiming.MemberRef, page: diagnostics.EventPage
    ) -> None:
        pending = self._open.get(page.request)
        if pending is None:
            return
        pending.collection.take(page)
        self._send_query(page.request, pending, sender.name)
        if pending.collection.done:
            del self._open[page.request]
            self._close(pending, clock_lib.read_monotonic())

    def _close(self, pending: _Request, now: float) -> None:
        incident = self._account.close_job(
            pending.job,
            clock_lib.read_wall_ms(),
            now,
            pending.collection.events,
        )
        pending.listener(incident.cause if incident else None)
