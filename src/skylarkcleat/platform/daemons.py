"""Opens the sockets of a front or a side process and runs it."""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
import random
import signal
import typing as t

import eliot
import uvloop
from aiohttp import web

from skylarkcleat import clock as clock_lib
from skylarkcleat import logs
from skylarkcleat.configuration import store as store_lib
from skylarkcleat.consensus import driver as driver_lib
from skylarkcleat.consensus import limits
from skylarkcleat.consensus import settings as log_settings
from skylarkcleat.front import process as front_process
from skylarkcleat.platform import ingress as ingress_lib
from skylarkcleat.platform import runner_client
from skylarkcleat.platform import runner_reports
from skylarkcleat.platform import settings as settings_lib
from skylarkcleat.protocol import locating
from skylarkcleat.protocol import owning
from skylarkcleat.protocol import scheduling
from skylarkcleat.side import process as side_process
from skylarkcleat.wire import hub as hub_lib
from skylarkcleat.wire import session as session_lib
from skylarkcleat.wire import stamper as stamper_lib

MESSAGES: tuple[type, ...] = (
    *t.get_args(locating.LocatingMessage),
    *t.get_args(owning.OwningMessage),
    *t.get_args(scheduling.FrontMessage),
    *t.get_args(scheduling.SideMessage),
)
LOG_LIMITS = limits.Limits(heartbeat_s=0.06, election_s=0.3)
"""Callers wait while no front leads; a round trip takes 2 ms."""

_SHUTDOWN_S = 0.1


def run_front() -> None:
    """Runs a front until SIGTERM.

    Raises:
        SettingsError: The settings can't be used.
    """
    _run(settings_lib.load_settings(), _serve_front)


def run_side() -> None:
    """Runs a side process until SIGTERM.

    Raises:
        SettingsError: The settings can't be used.
    """
    _run(settings_lib.load_settings(), _serve_side)


def _run(
    settings: settings_lib.Settings,
    serve: t.Callable[
        [settings_lib.Settings, asyncio.Event], t.Coroutine[t.Any, t.Any, None]
    ],
) -> None:
    async def run() -> None:
        stopping = asyncio.Event()
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, stopping.set)
        loop.add_signal_handler(signal.SIGINT, stopping.set)
        loop.add_signal_handler(signal.SIGHUP, lambda: None)
        eliot.log_message("process:started", zone=settings.zone)
        await serve(settings, stopping)
        eliot.log_message("process:stopped")

    log = logs.create_log("info", logs.STDOUT, settings.node)
    with log, asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run())


async def _serve_front(
    settings: settings_lib.Settings, stopping: asyncio.Event
) -> None:
    async with contextlib.AsyncExitStack() as stack:
        hub = await stack.enter_async_context(_create_hub(settings))
        store = store_lib.Store()
        log = None
        if settings.data_dir:
            log = await stack.enter_async_context(_create_log(settings, store))
        process = front_process.FrontProcess(settings, hub, store, log)
        ingress = ingress_lib.Ingress(process)
        listen = settings.listen
        await _listen(stack, listen.front, ingress.handle_job)
        await _listen(stack, listen.control, ingress.handle_control)
        await _listen(stack, listen.ready, ingress.handle_ready)
        async with _run_tasks(process.list_tasks(), stopping):
            await process.drain()


async def _serve_side(
    settings: settings_lib.Settings, stopping: asyncio.Event
) -> None:
    async with contextlib.AsyncExitStack() as stack:
        hub = await stack.enter_async_context(_create_hub(settings))
        client = await stack.enter_async_context(
            runner_client.RunnerClient(settings.app)
        )
        process = side_process.SideProcess(settings, hub, client)
        app = runner_reports.create_reports_app(process)
        runner = web.AppRunner(
            app, access_log=None, shutdown_timeout=_SHUTDOWN_S
        )
        await runner.setup()
        stack.push_async_callback(runner.cleanup)
        host, port = settings_lib.split_address(settings.listen.control)
        await web.TCPSite(runner, host, port).start()
        async with _run_tasks(process.list_tasks(), stopping):
            await process.close()


@contextlib.asynccontextmanager
async def _run_tasks(
    works: list[t.Coroutine[t.Any, t.Any, None]], stopping: asyncio.Event
) -> t.AsyncIterator[None]:
    """Enters once a stop is asked for; the tasks run on until the exit.

    Raises:
        BaseException: What made one of the tasks fail.
    """
    tasks = [asyncio.create_task(work) for work in works]
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


async def _listen(
    stack: contextlib.AsyncExitStack, address: str, handler: t.Any
) -> None:
    server = web.Server(handler, access_log=None, handler_cancellation=True)
    runner = web.ServerRunner(
        server, access_log=None, shutdown_timeout=_SHUTDOWN_S
    )
    await runner.setup()
    stack.push_async_callback(runner.cleanup)
    host, port = settings_lib.split_address(address)
    await web.TCPSite(runner, host, port).start()


def _create_hub(settings: settings_lib.Settings) -> hub_lib.Hub:
    local = session_lib.Endpoint(settings.ip, clock_lib.read_wall_ms())
    bind = f"tcp://{settings.ip}:{settings.port_range[0]}"
    return hub_lib.create_hub(local, bind, MESSAGES, stamper_lib.NullStamper())


def _create_log(
    settings: settings_lib.Settings, store: store_lib.Store
) -> driver_lib.LogDriver:
    return driver_lib.create_replicated_log(
        log_settings.Settings(
            name=settings.ip,
            folder=pathlib.Path(settings.data_dir),
            bind=f"tcp://{settings.ip}:{settings.port_range[0] + 1}",
            is_open=True,
            limits=LOG_LIMITS,
        ),
        store,
        random.Random(),
    )
