"""Serves an HTTP application on one address."""

from __future__ import annotations

import typing as t

from aiohttp import web

from skylarkcleat.http_limits import guard as guard_lib
from skylarkcleat.http_limits import server as server_lib

# Roles drain before they close; what is left by then has nobody to answer it.
SHUTDOWN_TIMEOUT_S = 2.0


class Server:
    """A listening HTTP server. A context manager that closes it.

    A request whose client hangs up has its handler cancelled.
    """

    def __init__(
        self,
        app: web.Application,
        host: str,
        port: int,
        guard: guard_lib.Guard | None = None,
        body_bytes: int = 0,
    ) -> None:
        """Initializes a server; entering it opens the socket.

        Args:
            app: What answers.
            host: The IP number to listen on.
            port: The TCP port; 0 takes any free one.
            guard: Counts what clients make the process hold; None leaves them
                to aiohttp's own limits.
            body_bytes: The largest body that the application accepts.
        """
        options = {
            "access_log": None,
            "handler_cancellation": True,
            "shutdown_timeout": SHUTDOWN_TIMEOUT_S,
        }
        if guard is None:
            self._runner = web.AppRunner(app, **options)
        else:
            self._runner = server_lib.GuardedAppRunner(
                guard, body_bytes, app, **options
            )
        self._host = host
        self._port = port

    async def __aenter__(self) -> t.Self:
        """Opens the listening socket."""
        await self._runner.setup()
        await web.TCPSite(self._runner, self._host, self._port).start()
        return self

    async def __aexit__(self, *_: object) -> None:
        """Closes the socket; cancels requests open after a short while."""
        await self._runner.cleanup()

    @property
    def port(self) -> int:
        """The port that the server listens on."""
        return self._runner.addresses[0][1]


async def answer_live(_: web.Request) -> web.Response:
    """Answers `/livez`: the process's event loop turns."""
    return web.Response(text="ok\n")
