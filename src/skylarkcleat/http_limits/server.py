"""HTTP servers whose connections are counted by a guard."""

from __future__ import annotations

import asyncio
import functools
import typing as t

from aiohttp import web

from skylarkcleat.http_limits import guard as guard_lib
from skylarkcleat.http_limits import protocol as protocol_lib
from skylarkcleat.http_limits import request as request_lib


class GuardedServer(web.Server):
    """Creates guarded connections for the handler of another server.

    Args:
        guard: Counts what all connections of the process hold.
        body_bytes: The largest body on this address, in bytes.
        server: The server that it replaces.
        request_factory: Creates requests as aiohttp does.
    """

    def __init__(
        self,
        guard: guard_lib.Guard,
        body_bytes: int,
        server: web.Server,
        request_factory: t.Callable[..., web.BaseRequest],
    ) -> None:
        super().__init__(
            server.request_handler,
            request_factory=request_factory,
            handler_cancellation=server.handler_cancellation,
            **server._kwargs,
        )
        self._guard = guard
        self._body_bytes = body_bytes

    def __call__(self) -> protocol_lib.GuardedProtocol:
        """Returns the protocol of a new connection."""
        return protocol_lib.GuardedProtocol(
            self, self._guard, self._body_bytes, loop=self._loop, **self._kwargs
        )


class GuardedAppRunner(web.AppRunner):
    """Runs an application on guarded connections.

    Args:
        guard: Counts what all connections of the process hold.
        body_bytes: The largest body on this address, in bytes.
        app: The application.
        options: Those of aiohttp.
    """

    __slots__ = ("_body_bytes", "_guard")

    def __init__(
        self,
        guard: guard_lib.Guard,
        body_bytes: int,
        app: web.Application,
        **options: t.Any,
    ) -> None:
        super().__init__(app, **options)
        self._guard = guard
        self._body_bytes = body_bytes

    async def _make_server(self) -> web.Server:
        server = await super()._make_server()
        create_request = functools.partial(
            self.app._make_request, _cls=request_lib.BoundedAppRequest
        )
        return GuardedServer(
            self._guard, self._body_bytes, server, create_request
        )


def create_server(
    guard: guard_lib.Guard, body_bytes: int, handler: t.Any
) -> web.Server:
    """Returns a server for a handler; a disconnect cancels the handler.

    Args:
        guard: Counts what all connections of the process hold.
        body_bytes: The largest body; a larger one is refused with status 413.
        handler: Answers the requests.
    """
    loop = asyncio.get_running_loop()

    def create_request(*details: t.Any) -> web.BaseRequest:
        return request_lib.BoundedRequest(
            *details, loop, client_max_size=body_bytes
        )

    server = web.Server(handler, access_log=None, handler_cancellation=True)
    return GuardedServer(guard, body_bytes, server, create_request)
