"""Lets aiohttp's side of a connection count what the connection holds."""

from __future__ import annotations

import asyncio
import typing as t

from aiohttp import http_exceptions
from aiohttp import web
from aiohttp import web_protocol

from skylarkcleat.http_limits import guard as guard_lib
from skylarkcleat.http_limits import limits as limits_lib
from skylarkcleat.http_limits import reason as reason_lib
from skylarkcleat.http_limits import request_account


class GuardedProtocol(web_protocol.RequestHandler, guard_lib.Connection):
    """The server's side of a connection, within the limits of a guard.

    Args:
        manager: The server.
        guard: Counts what all connections of the process hold.
        body_bytes: The largest body on this address, in bytes.
        options: Those of aiohttp.
    """

    __slots__ = (
        "_account",
        "_guard",
        "_is_cut",
    )

    def __init__(
        self,
        manager: web.Server,
        guard: guard_lib.Guard,
        body_bytes: int,
        **options: t.Any,
    ) -> None:
        super().__init__(
            manager,
            max_line_size=limits_lib.FIELD_BYTES,
            max_field_size=limits_lib.FIELD_BYTES,
            max_headers=limits_lib.MAX_FIELDS,
            **options,
        )
        self._guard = guard
        self._account = request_account.RequestAccount(
            guard, limits_lib.allow_wire_bytes(body_bytes)
        )
        self._is_cut = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Counts the connection; may close it at once."""
        super().connection_made(transport)
        peer = transport.get_extra_info("peername")
        address = peer[0] if isinstance(peer, tuple) else ""
        now = self._loop.time()
        self._account.holding = self._guard.open(self, address, now)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Forgets what the connection holds."""
        account = self._account
        self._guard.forget(account.holding)
        if account.body is not None and account.is_discarding:
            # aiohttp would wait for its end for 10 s, for nobody.
            account.body.feed_eof()
        account.body = None
        super().connection_lost(exc)

    def cut(self) -> None:
        """Closes the connection at once, without an answer."""
        self._is_cut = True
        if self._account.body is not None:
            # The handler ends only later, and others read meanwhile.
            self._account.body._buffer.clear()
        if self.transport is not None:
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        """Counts bytes, then parses them."""
        begin, size = 0, len(data)
        while (
            size - begin > limits_lib.SLICE_BYTES and not self._reading_paused
        ):
            part = data[begin : begin + limits_lib.SLICE_BYTES]
            self._receive(part, limits_lib.SLICE_BYTES)
            begin += limits_lib.SLICE_BYTES
        # A paused parser keeps what it gets, and copies all of it each time.
        self._receive(data[begin:], size - begin)

    def release_body(self) -> None:
        """Records that the handler has taken over the body of its request."""
        self._account.release_body()

    def pause_writing(self) -> None:
        """Counts a response that its client does not read."""
        super().pause_writing()
        if self._is_cut:
            return
        now = self._loop.time()
        self._account.holding.progressed_at = now
        self._account.set_unsent(self.transport.get_write_buffer_size(), now)

    def resume_writing(self) -> None:
        """Ends that count."""
        super().resume_writing()
        if not self._is_cut:
            self._account.set_unsent(0, self._loop.time())

    def measure_unsent(self, now: float) -> None:
        """Updates how much of a response its client has not read."""
        if self.transport is None:
            return
        size = self.transport.get_write_buffer_size()
        if size < self._account.holding.unsent_bytes:
            self._account.holding.progressed_at = now
        self._account.set_unsent(size, self._loop.time())

    async def finish_response(
        self,
        request: web.BaseRequest,
        resp: web.StreamResponse,
        start_time: float | None,
    ) -> tuple[web.StreamResponse, bool]:
        """Sends a response; what its request held is released."""
        if isinstance(resp, web.HTTPException):
            # Its frames hold the body, in a cycle that is collected much later.
            resp.__traceback__ = None
        result = await super().finish_response(request, resp, start_time)
        if isinstance(resp, web.Response):
            # aiohttp keeps the last response until the next request.
            resp.body = None
        self._account.end_request(
            request.content,
            self._request_count,
            self._messages,
            self._loop.time(),
        )
        return result

    def log_exception(self, *args: t.Any, **kw: t.Any) -> None:
        """Logs an error, except for the malformed requests of clients."""
        if not isinstance(
            kw.get("exc_info"), http_exceptions.HttpProcessingError
        ):
            super().log_exception(*args, **kw)

    def _receive(self, data: bytes, size: int) -> None:
        account = self._account
        if self._is_cut or account.is_refused:
            return
        now = self._loop.time()
        if size and account.is_chunked:
            lines = data.count(b"\n")
            if not self._guard.take_lines(lines, now):
                account.close_for(reason_lib.Reason.CHUNK_RATE)
                return
        super().data_received(data)
        if self._request_count != account.seen_requests:
            account.follow_requests(
                self._request_count, self._messages, size, now
            )
        elif account.body is not None:
            account.follow_body(size, now)
        elif size:
            account.follow_head(size, now)
