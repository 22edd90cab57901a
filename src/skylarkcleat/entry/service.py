"""Assembles an entry from its settings and runs it as a service."""

from __future__ import annotations

import contextlib
import random

from skylarkcleat import daemon
from skylarkcleat import mailbox as mailbox_lib
from skylarkcleat import node as node_lib
from skylarkcleat import reporting as reporting_lib
from skylarkcleat import web as web_lib
from skylarkcleat.directory import directory as directory_lib
from skylarkcleat.dispatch import dispatcher as dispatcher_lib
from skylarkcleat.entry import admission as admission_lib
from skylarkcleat.entry import client_limits
from skylarkcleat.entry import event_requests as event_requests_lib
from skylarkcleat.entry import gauges as gauges_lib
from skylarkcleat.entry import http_api as http_api_lib
from skylarkcleat.entry import journal as journal_lib
from skylarkcleat.entry import membership as membership_lib
from skylarkcleat.entry import process as process_lib
from skylarkcleat.jobs import claim_store
from skylarkcleat.jobs import coordinator as coordinator_lib
from skylarkcleat.metrics import metrics as metrics_lib
from skylarkcleat.model import member as member_lib
from skylarkcleat.settings import entry as settings_lib


class EntryService(daemon.RoleService):
    """Creates, runs and drains an entry according to its settings."""

    settings: settings_lib.EntrySettings

    async def open(self, stack: contextlib.AsyncExitStack) -> None:
        """Starts the node, the directory subscription and the HTTP API."""
        settings = self.settings
        metrics = metrics_lib.create_metrics(member_lib.Role.ENTRY)
        log = node_lib.open_log(stack, settings.name, settings.log)
        node = await node_lib.open_node(
            stack, settings.name, settings.zone, settings.peer, log
        )
        member = node.create_member(member_lib.Role.ENTRY)
        subscription = await node_lib.subscribe(
            stack, node, settings.control, member
        )
        ref = node.ref
        dispatcher = dispatcher_lib.create_dispatcher(
            ref.name, settings.zone, seed=ref.incarnation
        )
        admission = admission_lib.Admission(
            ref.name,
            subscription,
            dispatcher,
            settings.limits.max_jobs,
            random.Random(ref.incarnation),
        )
        claims = claim_store.KeeperClaimStore(directory_lib.DEFAULT_SHARD_COUNT)
        coordinator = coordinator_lib.Coordinator(
            ref,
            node.address,
            claims,
            max_bytes=settings.limits.kept_answer_bytes,
        )
        journal = journal_lib.EntryJournal(
            node.account,
            event_requests_lib.EventRequests(node.account, node.network),
            metrics,
            node.log,
        )
        self._process = process_lib.EntryProcess(
            member,
            node.mailbox,
            node.network,
            subscription,
            coordinator,
            membership_lib.Membership(
                node.network, coordinator, claims, dispatcher, journal
            ),
            dispatcher,
            admission,
            journal,
            reporting_lib.Reporting(node.account, node.network),
        )
        await daemon.run_in(stack, self._process.run())
        await daemon.run_in(stack, mailbox_lib.send_ticks(node.mailbox))
        guard = await stack.enter_async_context(
            client_limits.create_guard(settings)
        )
        gauges = gauges_lib.EntryGauges(
            metrics,
            self._process,
            subscription,
            node.account,
            node.network,
            guard.budget,
        )
        http_api = http_api_lib.HttpApi(
            ref.name,
            node.mailbox,
            self._process,
            admission,
            gauges,
            settings.http.max_body_bytes,
        )
        await stack.enter_async_context(
            web_lib.Server(
                http_api.create_app(),
                settings.http.host,
                settings.http.port,
                guard,
                settings.http.max_body_bytes,
            )
        )

    async def drain(self) -> None:
        """Refuses new work and waits until every job has ended."""
        await self._process.drain(self.settings.drain.grace_s)
