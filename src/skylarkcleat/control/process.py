"""The control replica's task for incidents and events."""

from __future__ import annotations

import asyncio
import typing as t

from skylarkcleat import mailbox as mailbox_lib
from skylarkcleat import network as network_lib
from skylarkcleat.control import investigation as investigation_lib
from skylarkcleat.directory import subscription as subscription_lib
from skylarkcleat.protocol import claiming
from skylarkcleat.protocol import diagnostics
from skylarkcleat.protocol import subscribing
from skylarkcleat.timeline import incident_codec
from skylarkcleat.timeline import incident_store
from skylarkcleat.timeline import incident_writer
from skylarkcleat.timeline import queries
from skylarkcleat.wire import event as event_lib

_Kind = subscribing.ChangeKind


class ControlProcess:
    """Keeps the incidents that members report, and answers for them."""

    def __init__(
        self,
        mailbox: asyncio.Queue,
        network: network_lib.Network,
        subscription: subscription_lib.Subscription,
        store: incident_store.IncidentStore,
        writer: incident_writer.IncidentWriter,
        investigation: investigation_lib.Investigation,
    ) -> None:
        """Initializes the process.

        Args:
            mailbox: What arrives for the process.
            network: Sends to members.
            subscription: Its changes go to `mailbox`.
            store: The incidents on the disk, for the count of damaged ones.
            writer: An open writer of `store`.
            investigation: Questions to members that wait for an answer.
        """
        self._mailbox = mailbox
        self._network = network
        self._subscription = subscription
        self._store = store
        self._writer = writer
        self._investigation = investigation
        self._tasks: set[asyncio.Task] = set()

    async def run(self) -> None:
        """Serves until control has given this incarnation up."""
        while not self._subscription.is_fenced():
            for message in await mailbox_lib.receive_batch(self._mailbox):
                if isinstance(message, mailbox_lib.DirectoryChanged):
                    self._take_changes(message)
                elif isinstance(message, event_lib.Received):
                    self._receive(message)

    def _take_changes(self, changed: mailbox_lib.DirectoryChanged) -> None:
        for change in changed.changes:
            if change.kind in (_Kind.MEMBER, _Kind.MEMBER_GONE):
                self._network.update_member(change.name, change.member)

    def _receive(self, event: event_lib.Received) -> None:
        sender = claiming.MemberRef(*event.peer)
        message = event.message
        if isinstance(message, diagnostics.IncidentReport):
            self._spawn(self._keep(sender, message))
        elif isinstance(message, diagnostics.IncidentQuery):
            self._spawn(self._answer(sender, message))
        elif isinstance(
            message, diagnostics.EventPage | diagnostics.IncidentPage
        ):
            self._investigation.take(message)

    async def _keep(
        self, sender: claiming.MemberRef, report: diagnostics.IncidentReport
    ) -> None:
        try:
            incidents = incident_codec.unpack_incidents(report.packed)
        except incident_codec.InvalidIncidentsError:
            return
        if await self._writer.keep(incidents):
            ids = tuple(incident.id for incident in incidents)
            ack = diagnostics.IncidentAck(report.request, ids)
            self._network.send(sender, ack)

    async def _answer(
        self, sender: claiming.MemberRef, wanted: diagnostics.IncidentQuery
    ) -> None:
        if wanted.job:
            rows = await self._writer.find_job(wanted.job)
        else:
            rows = await self._writer.find_period(
                wanted.begin_ms, wanted.end_ms
            )
        found = queries.answer_incident_inquiry(
            rows, self._store.damaged, wanted
        )
        self._network.send(sender, found)

    def _spawn(self, work: t.Coroutine[t.Any, t.Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
