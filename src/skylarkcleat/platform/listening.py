"""Opens the HTTP servers of a process, within the limits of one guard."""

from __future__ import annotations

import contextlib
import typing as t

from aiohttp import web

from skylarkcleat.http_limits import guard as guard_lib
from skylarkcleat.http_limits import server as server_lib
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


def create_guard(settings: settings_lib.Settings) -> guard_lib.Guard:
    """Returns the guard of a process's HTTP servers."""
    limits = settings.limits
    return guard_lib.create_guard(limits.memory_mb, limits.max_fds)


def create_server_runner(
    guard: guard_lib.Guard, body_bytes: int, handler: t.Any
) -> web.BaseRunner:
    """Creates a runner for a handler; a disconnect cancels the handler.

    Args:
        guard: Counts what the clients of the process make it hold.
        body_bytes: The largest body.
        handler: Answers the requests.
    """
    return web.ServerRunner(
        server_lib.create_server(guard, body_bytes, handler),
        access_log=None,
        shutdown_timeout=_SHUTDOWN_TIMEOUT_S,
    )


def create_app_runner(
    guard: guard_lib.Guard, body_bytes: int, app: web.Application
) -> web.BaseRunner:
    """Creates a runner for an application.

    Args:
        guard: Counts what the clients of the process make it hold.
        body_bytes: The largest body that the application accepts.
        app: Answers the requests.
    """
    return server_lib.GuardedAppRunner(
        guard,
        body_bytes,
        app,
        access_log=None,
        shutdown_timeout=_SHUTDOWN_TIMEOUT_S,
    )
