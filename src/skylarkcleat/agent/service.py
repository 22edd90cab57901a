"""The agent's service, which starts and drains it."""

from __future__ import annotations

import contextlib

from skylarkcleat import daemon
from skylarkcleat import mailbox as mailbox_lib
from skylarkcleat import node as node_lib
from skylarkcleat import reporting as reporting_lib
from skylarkcleat import web as web_lib
from skylarkcleat.agent import health as health_lib
from skylarkcleat.agent import journal as journal_lib
from skylarkcleat.agent import process as process_lib
from skylarkcleat.agent import runner as runner_lib
from skylarkcleat.metrics import metrics as metrics_lib
from skylarkcleat.model import member as member_lib
from skylarkcleat.settings import agent as settings_lib


class AgentService(daemon.RoleService):
    """Runs an agent as its settings define."""

    settings: settings_lib.AgentSettings

    async def open(self, stack: contextlib.AsyncExitStack) -> None:
        """Opens the hub, the runner's connections and the subscription."""
        settings = self.settings
        metrics = metrics_lib.create_metrics(member_lib.Role.AGENT)
        log = node_lib.open_log(stack, settings.name, settings.log)
        node = await node_lib.open_node(
            stack, settings.name, settings.zone, settings.peer, log
        )
        runner = await stack.enter_async_context(
            runner_lib.create_runner(
                settings.runner.url,
                settings.runner.connections,
                settings.runner.connect_timeout_ms,
                settings.runner.silence_timeout_ms,
            )
        )
        member = node.create_member(
            member_lib.Role.AGENT,
            upstream=settings.runner.upstream,
            slots=settings.runner.slots,
            connections=settings.runner.connections,
        )
        subscription = await node_lib.subscribe(
            stack, node, settings.control, member
        )
        self._process = process_lib.AgentProcess(
            member,
            node.mailbox,
            node.network,
            runner,
            subscription,
            journal_lib.AgentJournal(node.account, metrics, node.log),
            reporting_lib.Reporting(node.account, node.network),
        )
        await daemon.run_in(stack, self._process.run())
        await daemon.run_in(stack, mailbox_lib.send_ticks(node.mailbox))
        health = health_lib.Health(
            self._process,
            member,
            subscription,
            node.account,
            metrics,
            node.network,
        )
        await stack.enter_async_context(
            web_lib.Server(
                health.create_app(), settings.http.host, settings.http.port
            )
        )

    async def drain(self) -> None:
        """Leaves the directory and waits until no member needs the agent."""
        await self._process.drain(self.settings.drain.grace_s)
