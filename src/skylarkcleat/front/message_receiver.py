"""Hands the messages that a front receives to the parts that handle them."""

from __future__ import annotations

import asyncio

from skylarkcleat import clock as clock_lib
from skylarkcleat import supervision
from skylarkcleat.configuration import content
from skylarkcleat.discovery import election as election_lib
from skylarkcleat.front import configuration_cache as configuration_cache_lib
from skylarkcleat.front import election_task as election_task_lib
from skylarkcleat.front import log_service as log_service_lib
from skylarkcleat.front import ownership as ownership_lib
from skylarkcleat.front import peer_discovery as peer_discovery_lib
from skylarkcleat.front import reply_handler as reply_handler_lib
from skylarkcleat.front import requests as requests_lib
from skylarkcleat.protocol import locating
from skylarkcleat.protocol import owning
from skylarkcleat.protocol import scheduling
from skylarkcleat.wire import event as event_lib
from skylarkcleat.wire import hub as hub_lib
from skylarkcleat.wire import session as session_lib

TAKE_UP_S = 0.005
"""How long the owner takes up jobs before it handles other messages: a small
part of the shortest lease, 0.3 s."""


class MessageReceiver:
    """Receives the events of a front's hub.

    Args:
        hub: The front's connections to the other processes.
        election: Tells the owner that the front follows.
        election_task: Handles messages between fronts about the ownership.
        peer_discovery: Handles messages about the other fronts.
        configuration_cache: Takes newer configurations.
        ownership: Handles messages for the owner, if it is here.
        log_service: Handles requests for the log's leader.
        job_requests: The open requests for the owner.
        reply_handler: Handles the replies to the front's requests.
    """

    def __init__(
        self,
        hub: hub_lib.Hub,
        election: election_lib.Election,
        election_task: election_task_lib.ElectionTask,
        peer_discovery: peer_discovery_lib.PeerDiscovery,
        configuration_cache: configuration_cache_lib.ConfigurationCache,
        ownership: ownership_lib.Ownership,
        log_service: log_service_lib.LogService,
        job_requests: requests_lib.Requests,
        reply_handler: reply_handler_lib.ReplyHandler,
    ) -> None:
        self._hub = hub
        self._election = election
        self._election_task = election_task
        self._peer_discovery = peer_discovery
        self._configuration_cache = configuration_cache
        self._ownership = ownership
        self._log_service = log_service
        self._job_requests = job_requests
        self._reply_handler = reply_handler

    async def run(self) -> None:
        """Handles events, and lets the owner work, until it is cancelled."""
        while True:
            if self._ownership.has_intake:
                # Lets other tasks run and the sockets be read.
                await asyncio.sleep(0)
            else:
                self._contain_event(await self._hub.events.get())
            while not self._hub.events.empty():
                self._contain_event(self._hub.events.get_nowait())
            try:
                until = clock_lib.read_monotonic() + TAKE_UP_S
                self._ownership.take_up(until)
                self._ownership.place_and_send()
            except Exception as error:
                supervision.log_unexpected("place tasks", error)

    def _contain_event(self, event: event_lib.Event) -> None:
        try:
            self._handle_event(event)
        except Exception as error:
            supervision.log_unexpected(
                "handle a message", error, event.peer.name
            )

    def _handle_event(self, event: event_lib.Event) -> None:
        if isinstance(event, event_lib.Lost):
            self._election_task.forget_sent(event.peer.name)
            if event.peer.name == self._election.followed.name:
                self._job_requests.resend()
            return
        peer, message = event.peer, event.message
        if isinstance(message, locating.LocatingMessage):
            self._handle_locating(peer, message)
        elif isinstance(message, owning.OwningMessage):
            self._handle_owning(peer, message)
        elif isinstance(message, scheduling.Reply):
            self._reply_handler.handle(message)
        elif isinstance(message, scheduling.LogMessage):
            self._log_service.receive(peer, message)
        elif isinstance(message, scheduling.Submit):
            self._ownership.defer(peer, message)
        else:
            self._ownership.receive(peer, message)

    def _handle_locating(
        self, peer: session_lib.Endpoint, message: locating.LocatingMessage
    ) -> None:
        if isinstance(message, locating.GiveConfiguration):
            self._configuration_cache.update(content.decode(message.content))
            return
        answer = self._peer_discovery.receive(peer.name, message)
        if answer is not None:
            self._hub.send(peer, answer)

    def _handle_owning(
        self, peer: session_lib.Endpoint, message: owning.OwningMessage
    ) -> None:
        if not isinstance(message, owning.Resubmit):
            self._election_task.receive(peer, message)
        elif message.term == self._election.followed.term:
            self._job_requests.resend()
