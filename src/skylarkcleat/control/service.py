"""The control replica as a service."""

from __future__ import annotations

import contextlib
import pathlib
import random

from skylarkcleat import daemon
from skylarkcleat import logs
from skylarkcleat import node as node_lib
from skylarkcleat import web as web_lib
from skylarkcleat.consensus import driver as driver_lib
from skylarkcleat.consensus import settings as log_settings
from skylarkcleat.control import account_api as api_lib
from skylarkcleat.control import account_member as member_lib
from skylarkcleat.control import investigation as investigation_lib
from skylarkcleat.control import replica_api as replica_lib
from skylarkcleat.directory import admin as admin_lib
from skylarkcleat.directory import directory as directory_lib
from skylarkcleat.directory import options as options_lib
from skylarkcleat.directory import server as server_lib
from skylarkcleat.settings import control as settings_lib
from skylarkcleat.timeline import incident_store
from skylarkcleat.timeline import incident_writer

# A read that waits on a dead leader must end well within the lease of a copy.
CONFIRM_TIMEOUT_S = 0.4
_INCIDENTS = "incidents"
_MS_PER_HOUR = 3_600_000


class ControlService(daemon.RoleService):
    """Runs a control replica from its settings."""

    settings: settings_lib.ControlSettings
    is_founding: bool

    async def open(self, stack: contextlib.AsyncExitStack) -> None:
        """Opens the replicated log, then serves subscribers and operators."""
        settings = self.settings
        opened_log = node_lib.open_log(stack, settings.name, settings.log)
        directory = directory_lib.Directory()
        log = await stack.enter_async_context(
            driver_lib.create_replicated_log(
                create_log_settings(settings, self.is_founding),
                directory,
                random.Random(),
            )
        )
        await daemon.run_in(stack, log.wait())
        options = create_options(settings)
        server = await stack.enter_async_context(
            server_lib.create_control_server(options, log, directory)
        )
        investigation = await self._open_account(stack, opened_log)
        app = admin_lib.create_admin_app(options, log, directory, server)
        api = api_lib.AccountApi(investigation, options.operators)
        api.add_routes(app)
        replica_lib.ReplicaApi(log, options.operators).add_routes(app)
        await stack.enter_async_context(
            web_lib.Server(app, options.admin_host, options.admin_port)
        )

    async def _open_account(
        self, stack: contextlib.AsyncExitStack, own_log: logs.Log
    ) -> investigation_lib.Investigation:
        settings = self.settings
        store = incident_store.IncidentStore(
            str(pathlib.Path(settings.replica.data_dir) / _INCIDENTS),
            settings.incidents.max_age_h * _MS_PER_HOUR,
            settings.incidents.max_bytes,
        )
        writer = await stack.enter_async_context(
            incident_writer.IncidentWriter(store)
        )
        investigation = investigation_lib.Investigation()
        member = member_lib.AccountMember(
            settings, own_log, store, writer, investigation
        )
        await daemon.run_in(stack, member.run())
        await member.wait_open()
        return investigation


def create_log_settings(
    settings: settings_lib.ControlSettings, is_founding: bool
) -> log_settings.Settings:
    """Returns the replicated log's settings.

    Args:
        settings: The replica's settings file.
        is_founding: Whether the replica may found the log when every data
            folder is empty.
    """
    addresses = {peer.name: peer.address for peer in settings.replica.peers}
    return log_settings.Settings(
        name=settings.name,
        folder=pathlib.Path(settings.replica.data_dir),
        bind=addresses.pop(settings.name),
        peers=addresses,
        founding=is_founding,
        confirm_timeout_s=CONFIRM_TIMEOUT_S,
    )


def create_options(
    settings: settings_lib.ControlSettings,
) -> options_lib.ControlOptions:
    """Returns the directory server's options."""
    return options_lib.ControlOptions(
        name=settings.name,
        address=settings.peer.address,
        admin_host=settings.http.host,
        admin_port=settings.http.port,
        peers=tuple(
            options_lib.ControlPeer(peer.name, peer.subscribe, peer.admin)
            for peer in settings.replica.peers
            if peer.name != settings.name
        ),
        operators=tuple(
            options_lib.Operator(each.name, each.token_sha256)
            for each in settings.operators
        ),
    )
