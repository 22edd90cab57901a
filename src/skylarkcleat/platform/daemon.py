"""Sets up signals, sockets and tasks for the daemons of both roles."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import typing as t

import eliot
import uvloop

from skylarkcleat import clock as clock_lib
from skylarkcleat import logs
from skylarkcleat.http_limits import guard as guard_lib
from skylarkcleat.platform import listening
from skylarkcleat.platform import metrics_server
from skylarkcleat.platform import settings as settings_lib
from skylarkcleat.protocol import leasing
from skylarkcleat.protocol import locating
from skylarkcleat.protocol import owning
from skylarkcleat.protocol import reporting
from skylarkcleat.protocol import scheduling
from skylarkcleat.wire import hub as hub_lib
from skylarkcleat.wire import session as session_lib
from skylarkcleat.wire import stamper as stamper_lib

MESSAGES: tuple[type, ...] = (
    *t.get_args(locating.LocatingMessage),
    *t.get_args(owning.OwningMessage),
    *t.get_args(scheduling.FrontMessage),
    *t.get_args(leasing.LeaseMessage),
    *t.get_args(reporting.SideReport),
)

Serve = t.Callable[
    [settings_lib.Settings, guard_lib.Guard, asyncio.Event],
    t.Coroutine[t.Any, t.Any, None],
]
"""Serves one role, within the limits of a guard, until the event is set."""


def run(serve: Serve) -> None:
    """Runs a role until SIGTERM.

    Raises:
        SettingsError: The settings can't be read or are not valid.
    """
    settings = settings_lib.load_settings()

    async def run_role() -> None:
        stopping = asyncio.Event()
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, stopping.set)
        loop.add_signal_handler(signal.SIGINT, stopping.set)
        loop.add_signal_handler(signal.SIGHUP, lambda: None)
        async with (
            listening.create_guard(settings) as guard,
            metrics_server.serve_metrics(settings, guard, log),
        ):
            eliot.log_message("process:started", zone=settings.zone)
            await serve(settings, guard, stopping)
            eliot.log_message("process:stopped")

    log = logs.create_log("info", logs.STDOUT, settings.node)
    with log, asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run_role())


@contextlib.asynccontextmanager
async def run_tasks(
    coroutines: list[t.Coroutine[t.Any, t.Any, None]], stopping: asyncio.Event
) -> t.AsyncIterator[None]:
    """Enters once a stop is requested; the tasks run on until the exit.

    Raises:
        BaseException: The exception that ended one of the tasks.
    """
    tasks = [asyncio.create_task(work) for work in coroutines]
    stop = asyncio.create_task(stopping.wait())
    done, _ = await asyncio.wait(
        [stop, *tasks], return_when=asyncio.FIRST_COMPLETED
    )
    try:
        for task in done:
            task.result()
        yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def create_hub(settings: settings_lib.Settings) -> hub_lib.Hub:
    """Creates the hub of sessions with all other processes."""
    local = session_lib.Endpoint(settings.ip, clock_lib.read_wall_ms())
    bind = f"tcp://{settings.ip}:{settings.port_range[0]}"
    return hub_lib.create_hub(local, bind, MESSAGES, stamper_lib.NullStamper())
