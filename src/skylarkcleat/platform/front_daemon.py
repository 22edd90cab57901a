"""Opens the sockets of a front and runs it."""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
import random

from skylarkcleat import supervision
from skylarkcleat.configuration import store as store_lib
from skylarkcleat.consensus import driver as driver_lib
from skylarkcleat.consensus import limits
from skylarkcleat.consensus import membership_plan
from skylarkcleat.consensus import settings as log_settings
from skylarkcleat.discovery import bootstrap_record
from skylarkcleat.front import process as front_process
from skylarkcleat.http_limits import guard as guard_lib
from skylarkcleat.http_limits import limits as http_limits
from skylarkcleat.platform import daemon
from skylarkcleat.platform import ingress as ingress_lib
from skylarkcleat.platform import listening
from skylarkcleat.platform import seed_watch
from skylarkcleat.platform import settings as settings_lib

LOG_LIMITS = limits.Limits(heartbeat_s=0.06, election_s=0.3)
"""Short timeouts, since operators wait while no front leads the log; a round
trip takes 2 ms."""


async def serve(
    settings: settings_lib.Settings,
    guard: guard_lib.Guard,
    stopping: asyncio.Event,
) -> None:
    """Serves callers and operators until a stop is requested."""
    async with contextlib.AsyncExitStack() as stack:
        hub = await stack.enter_async_context(daemon.create_hub(settings))
        store = store_lib.Store()
        keeper = _open_record(settings)
        log = None
        if settings.data_dir:
            log = await stack.enter_async_context(_create_log(settings, store))
        process = front_process.FrontProcess(
            settings, hub, store, log, random.Random(), keeper
        )
        ingress = ingress_lib.Ingress(process)
        listen = settings.listen
        for address, body_bytes, handler in (
            (listen.front, http_limits.JOB_BODY_BYTES, ingress.handle_job),
            (
                listen.control,
                http_limits.CONTROL_BODY_BYTES,
                ingress.handle_control,
            ),
            (listen.ready, http_limits.PROBE_BODY_BYTES, ingress.handle_ready),
        ):
            runner = listening.create_server_runner(guard, body_bytes, handler)
            await listening.listen(stack, address, runner)
        watch = seed_watch.create_seed_watch(process)
        tasks = [
            *process.list_tasks(),
            supervision.keep_running("watch the seeds", watch.run),
        ]
        async with daemon.run_tasks(tasks, stopping):
            await process.drain()


def _open_record(
    settings: settings_lib.Settings,
) -> bootstrap_record.RecordKeeper:
    folder = pathlib.Path(settings.data_dir) if settings.data_dir else None
    seeds = settings_lib.list_seed_ips(settings)
    return bootstrap_record.open_record(folder, settings.bootstrap, seeds)


def _create_log(
    settings: settings_lib.Settings, store: store_lib.Store
) -> driver_lib.LogDriver:
    voters = membership_plan.count_voters(settings.fault_tolerance.machines)
    return driver_lib.create_replicated_log(
        log_settings.Settings(
            name=settings.ip,
            folder=pathlib.Path(settings.data_dir),
            bind=f"tcp://{settings.ip}:{settings.port_range[0] + 1}",
            is_open=True,
            limits=LOG_LIMITS._replace(voters=voters),
        ),
        store,
        random.Random(),
    )
