"""Counts the bytes of a connection before aiohttp's parser buffers them."""

from __future__ import annotations

import asyncio
import typing as t

from aiohttp import http_exceptions
from aiohttp import streams
from aiohttp import web
from aiohttp import web_protocol
from aiohttp.http import RawRequestMessage

from skylarkcleat.http_limits import guard as guard_lib
from skylarkcleat.http_limits import holding as holding_lib
from skylarkcleat.http_limits import limits as limits_lib
from skylarkcleat.http_limits import phase as phase_lib
from skylarkcleat.http_limits import reason as reason_lib

_Phase = phase_lib.Phase
_Reason = reason_lib.Reason


class GuardedProtocol(web_protocol.RequestHandler, guard_lib.Connection):
    """The server's side of a connection, within the limits of a guard.

    Args:
        manager: The server.
        guard: Counts what all connections of the process hold.
        body_bytes: The largest body on this address, in bytes.
        options: Those of aiohttp.
    """

    __slots__ = (
        "_body",
        "_chunked",
        "_guard",
        "_head_bytes",
        "_holding",
        "_is_cut",
        "_is_refused",
        "_max_wire_bytes",
        "_part_bytes",
        "_seen_requests",
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
        self._max_wire_bytes = limits_lib.allow_wire_bytes(body_bytes)
        self._holding: holding_lib.Holding | None = None
        self._body: streams.StreamReader | None = None
        self._chunked = False
        self._is_cut = self._is_refused = False
        self._part_bytes = self._seen_requests = 0
        self._head_bytes = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Counts the connection; may close it at once."""
        super().connection_made(transport)
        peer = transport.get_extra_info("peername")
        address = peer[0] if isinstance(peer, tuple) else ""
        self._holding = self._guard.open(self, address, self._loop.time())

    def connection_lost(self, exc: BaseException | None) -> None:
        """Forgets what the connection holds."""
        self._guard.forget(self._holding)
        self._body = None
        super().connection_lost(exc)

    def cut(self) -> None:
        """Closes the connection at once, without an answer."""
        self._is_cut = True
        if self._body is not None:
            # The handler ends only later, and others read meanwhile.
            self._body._buffer.clear()
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
        holding = self._holding
        if holding.held_bytes and holding.phase is _Phase.OPEN:
            kept = self._head_bytes + holding.unsent_bytes
            self._guard.release(holding, max(holding.held_bytes - kept, 0))

    def pause_writing(self) -> None:
        """Counts a response that its client does not read."""
        super().pause_writing()
        if self._is_cut:
            return
        self._holding.progressed_at = self._loop.time()
        self._set_unsent(self.transport.get_write_buffer_size())

    def resume_writing(self) -> None:
        """Ends that count."""
        super().resume_writing()
        if not self._is_cut:
            self._set_unsent(0)

    def measure_unsent(self, now: float) -> None:
        """Updates how much of a response its client has not read."""
        if self.transport is None:
            return
        size = self.transport.get_write_buffer_size()
        if size < self._holding.unsent_bytes:
            self._holding.progressed_at = now
        self._set_unsent(size)

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
        self._end_request(request)
        return result

    def log_exception(self, *args: t.Any, **kw: t.Any) -> None:
        """Logs an error, except for the malformed requests of clients."""
        if not isinstance(
            kw.get("exc_info"), http_exceptions.HttpProcessingError
        ):
            super().log_exception(*args, **kw)

    def _receive(self, data: bytes, size: int) -> None:
        if self._is_cut or self._is_refused:
            return
        now = self._loop.time()
        if size and self._chunked:
            lines = data.count(b"\n")
            if not self._guard.take_lines(lines, now):
                self._close_for(_Reason.CHUNK_RATE)
                return
        super().data_received(data)
        if self._request_count != self._seen_requests:
            self._follow_requests(size, now)
        elif self._body is not None:
            self._follow_body(size, now)
        elif size:
            self._follow_head(size, now)

    def _follow_requests(self, size: int, now: float) -> None:
        """Records that header sections have ended."""
        holding = self._holding
        complete = self._request_count - self._seen_requests
        if self._body is not None:
            if not self._body.is_eof():
                # The parser gave up within a body that its handler awaits.
                self._messages[-1][0].exc.__traceback__ = None
                self._close_for(_Reason.MALFORMED)
                return
            complete += holding.phase is not _Phase.DISCARDING
        self._seen_requests = self._request_count
        self._end_part()
        if self._messages:
            complete -= self._follow_last(*self._messages[-1])
        holding.open_requests += complete
        if complete:
            self._complete(now)
        if self._body is not None:
            holding.begin(_Phase.BODY, now)
        self._keep_head(now)
        if self._body is None and size <= limits_lib.UNCOUNTED_BYTES:
            return
        self._guard.hold(holding, size, now)

    def _keep_head(self, now: float) -> None:
        """Counts a long header section, which aiohttp keeps.

        Until the next request; by then its handler has ended.
        """
        head_bytes = 0
        if self._messages:
            head_bytes = _measure_head(self._messages[-1][0])
        grown = head_bytes - self._head_bytes
        self._head_bytes = head_bytes
        if grown > 0:
            self._guard.hold(self._holding, grown, now)
        elif grown:
            self._guard.release(self._holding, -grown)

    def _follow_last(self, message: t.Any, body: streams.StreamReader) -> int:
        """Begins to follow a body; returns how many requests lack theirs."""
        if type(message) is not RawRequestMessage:
            # It is answered with status 400, and what follows is not parsed.
            self._is_refused = True
            message.exc.__traceback__ = None
        if body.is_eof():
            return 0
        self._body = body
        self._chunked = message.chunked
        return 1

    def _complete(self, now: float) -> None:
        holding = self._holding
        if not self._is_refused:
            holding.is_used = True
            holding.source.prove(now)
        holding.begin(_Phase.OPEN, now)

    def _end_part(self) -> None:
        self._body = None
        self._chunked = False
        self._part_bytes = 0

    def _end_request(self, request: web.BaseRequest) -> None:
        """Records that a request was answered."""
        now = self._loop.time()
        holding = self._holding
        if self._body is not None and request.content is self._body:
            holding.begin(_Phase.DISCARDING, now)
            self._part_bytes = 0
        else:
            holding.open_requests = max(holding.open_requests - 1, 0)
        if self._request_count != self._seen_requests:
            self._follow_requests(0, now)
        if holding.open_requests:
            return
        if holding.phase is _Phase.OPEN:
            holding.begin(_Phase.IDLE, now)
        elif holding.phase is _Phase.HEAD:
            holding.begin(_Phase.HEAD, now)
        if not holding.held_bytes:
            return
        kept = self._part_bytes + self._head_bytes + holding.unsent_bytes
        self._guard.release(holding, max(holding.held_bytes - kept, 0))

    def _follow_body(self, size: int, now: float) -> None:
        """Records bytes of a body."""
        holding = self._holding
        body = self._body
        is_discarding = holding.phase is _Phase.DISCARDING
        if body.is_eof():
            self._end_part()
            if is_discarding:
                holding.begin(_Phase.IDLE, now)
                return
            holding.open_requests += 1
            self._complete(now)
            self._guard.hold(holding, size, now)
            return
        self._part_bytes += size
        holding.progress(size, now)
        reason = self._find_body_excess(is_discarding)
        if reason is not None:
            self._close_for(reason)
        elif not is_discarding:
            # A compressed body is larger than what was received.
            counted = holding.held_bytes - self._head_bytes
            grown = max(self._part_bytes, body.total_bytes) - counted
            self._guard.hold(holding, max(size, grown), now)

    def _find_body_excess(
        self, is_discarding: bool
    ) -> reason_lib.Reason | None:
        part_bytes = self._part_bytes
        limit = self._max_wire_bytes
        if part_bytes > (
            limits_lib.DISCARDED_BYTES if is_discarding else limit
        ):
            return _Reason.BODY_SIZE
        is_behind = self._holding.open_requests
        if is_behind and part_bytes > limits_lib.HEAD_BYTES:
            return _Reason.PIPELINE
        return None

    def _follow_head(self, size: int, now: float) -> None:
        holding = self._holding
        if holding.phase is _Phase.IDLE:
            holding.begin(_Phase.HEAD, now)
        self._part_bytes += size
        holding.progress(size, now)
        if self._part_bytes > limits_lib.HEAD_BYTES:
            is_behind = holding.open_requests
            reason = _Reason.PIPELINE if is_behind else _Reason.HEAD_SIZE
            self._close_for(reason)
            return
        self._guard.hold(holding, size, now)

    def _set_unsent(self, size: int) -> None:
        grown = size - self._holding.unsent_bytes
        self._holding.unsent_bytes = size
        if grown > 0:
            self._guard.hold(self._holding, grown, self._loop.time())
        else:
            self._guard.release(self._holding, -grown)

    def _close_for(self, reason: reason_lib.Reason) -> None:
        self._guard.close(self._holding, reason)


def _measure_head(message: t.Any) -> int:
    """Returns what a header section takes; 0 for an ordinary one."""
    if type(message) is not RawRequestMessage:
        return 0
    fields = message.raw_headers
    size = len(message.path) + limits_lib.FIELD_OVERHEAD_BYTES * len(fields)
    size += sum(len(name) + len(value) for name, value in fields)
    return size if size > limits_lib.UNCOUNTED_BYTES else 0
