"""The membership under which a control replica keeps incidents."""

from __future__ import annotations

import asyncio
import contextlib

import eliot

from skylarkcleat import logs
from skylarkcleat import node as node_lib
from skylarkcleat.control import investigation as investigation_lib
from skylarkcleat.control import process as process_lib
from skylarkcleat.model import member as member_lib
from skylarkcleat.settings import control as settings_lib
from skylarkcleat.timeline import incident_store
from skylarkcleat.timeline import incident_writer


class AccountMember:
    """Serves incidents and events to members, as one of them.

    A replica that was frozen or cut off is declared dead as a member. It
    goes on as a new incarnation in the same process, since its log votes
    all the while and must not end for that.
    """

    def __init__(
        self,
        settings: settings_lib.ControlSettings,
        log: logs.Log,
        store: incident_store.IncidentStore,
        writer: incident_writer.IncidentWriter,
        investigation: investigation_lib.Investigation,
    ) -> None:
        """Initializes a member that is not open yet.

        Args:
            settings: The replica's settings.
            log: The replica's log.
            store: The incidents on the disk.
            writer: An open writer of `store`.
            investigation: Asks through the latest incarnation.
        """
        self._settings = settings
        self._log = log
        self._store = store
        self._writer = writer
        self._investigation = investigation
        self._is_open = asyncio.Event()

    async def wait_open(self) -> None:
        """Waits until the member listens."""
        await self._is_open.wait()

    async def run(self) -> None:
        """Serves until it is cancelled, in one incarnation after another.

        Raises:
            OSError: The account's address cannot be bound.
        """
        while True:
            async with contextlib.AsyncExitStack() as stack:
                process = await self._open(stack)
                self._is_open.set()
                await process.run()
            eliot.log_message("control:fenced", member=self._settings.name)

    async def _open(
        self, stack: contextlib.AsyncExitStack
    ) -> process_lib.ControlProcess:
        settings = self._settings
        node = await node_lib.open_node(
            stack, settings.name, settings.zone, settings.account, self._log
        )
        subscription = await node_lib.subscribe(
            stack,
            node,
            list_subscribe_addresses(settings),
            node.create_member(member_lib.Role.CONTROL),
        )
        self._investigation.use(node.network)
        return process_lib.ControlProcess(
            node.mailbox,
            node.network,
            subscription,
            self._store,
            self._writer,
            self._investigation,
        )


def list_subscribe_addresses(
    settings: settings_lib.ControlSettings,
) -> list[str]:
    """Returns where replicas take subscribers, the own one first."""
    peers = settings.replica.peers
    own = [peer.subscribe for peer in peers if peer.name == settings.name]
    return own + [
        peer.subscribe for peer in peers if peer.name != settings.name
    ]
