"""Opens the HTTP servers of a process."""

from __future__ import annotations

import contextlib
import typing as t

from aiohttp import web

from skylarkcleat.platform import settings as settings_lib

_SHUTDOWN_TIMEOUT_S = 0.1


async def listen(
    stack: contextlib.AsyncExitStack, address: str, runner: web.BaseRunner
) -> None:
    """Serves HTTP on an `ip:port` until the stack closes."""
    await runner.setup()
    stack.push_async_callback(runner.cleanup)
    host, port = settings_lib.split_address(address)
    await web.TCPSite(runner, host, port).start()


def create_server_runner(handler: t.Any) -> web.BaseRunner:
    """Creates a runner for a handler; a disconnect cancels the handler."""
    server = web.Server(handler, access_log=None, handler_cancellation=True)
    return web.ServerRunner(
        server, access_log=None, shutdown_timeout=_SHUTDOWN_TIMEOUT_S
    )


def create_app_runner(app: web.Application) -> web.BaseRunner:
    """Creates a runner for an application."""
    return web.AppRunner(
        app, access_log=None, shutdown_timeout=_SHUTDOWN_TIMEOUT_S
    )
