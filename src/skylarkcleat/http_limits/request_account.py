"""Counts what the requests of a connection hold, as they are received."""

from __future__ import annotations

import collections.abc
import typing as t

from aiohttp import streams
from aiohttp.http import RawRequestMessage

from skylarkcleat.http_limits import guard as guard_lib
from skylarkcleat.http_limits import holding as holding_lib
from skylarkcleat.http_limits import limits as limits_lib
from skylarkcleat.http_limits import phase as phase_lib
from skylarkcleat.http_limits import reason as reason_lib

_Phase = phase_lib.Phase
_Reason = reason_lib.Reason

Messages = collections.abc.Sequence[tuple[t.Any, streams.StreamReader]]
"""Requests that aiohttp has parsed, each with its body."""


class RequestAccount:
    """What the requests of one connection hold.

    Args:
        guard: Counts what all connections of the process hold.
        max_wire_bytes: The most bytes in which a body may be received.

    Attributes:
        holding: What the connection holds; None until it is open.
        body: The body that is being received; None without one.
        is_chunked: Whether that body comes in chunks.
        is_refused: Whether nothing that follows is parsed any more.
        seen_requests: How many header sections it knows to have been parsed.
    """

    __slots__ = (
        "_guard",
        "_head_bytes",
        "_max_wire_bytes",
        "_part_bytes",
        "body",
        "holding",
        "is_chunked",
        "is_refused",
        "seen_requests",
    )

    def __init__(self, guard: guard_lib.Guard, max_wire_bytes: int) -> None:
        self._guard = guard
        self._max_wire_bytes = max_wire_bytes
        self._part_bytes = self._head_bytes = 0
        self.holding: holding_lib.Holding | None = None
        self.body: streams.StreamReader | None = None
        self.is_chunked = self.is_refused = False
        self.seen_requests = 0

    @property
    def is_discarding(self) -> bool:
        """Whether the body being received belongs to an answered request."""
        return self.holding.phase is _Phase.DISCARDING

    def follow_requests(
        self, request_count: int, messages: Messages, size: int, now: float
    ) -> None:
        """Records that header sections have ended.

        Args:
            request_count: How many header sections have been parsed.
            messages: Those that no handler has taken up.
            size: How many bytes have been received.
            now: The time, in seconds.
        """
        holding = self.holding
        complete = request_count - self.seen_requests
        if self.body is not None:
            if not self.body.is_eof():
                # The parser gave up within a body that its handler awaits.
                messages[-1][0].exc.__traceback__ = None
                self.close_for(_Reason.MALFORMED)
                return
            complete += not self.is_discarding
        self.seen_requests = request_count
        self._end_part()
        if messages:
            complete -= self._follow_last(*messages[-1])
        holding.open_requests += complete
        if complete:
            self._complete(now)
        if self.body is not None:
            holding.begin(_Phase.BODY, now)
        self._keep_head(messages, now)
        if self.body is None and size <= limits_lib.UNCOUNTED_BYTES:
            return
        self._guard.hold(holding, size, now)

    def follow_body(self, size: int, now: float) -> None:
        """Records bytes of a body."""
        holding = self.holding
        body = self.body
        is_discarding = self.is_discarding
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
            self.close_for(reason)
        elif not is_discarding:
            # A compressed body is larger than what was received.
            counted = holding.held_bytes - self._head_bytes
            grown = max(self._part_bytes, body.total_bytes) - counted
            self._guard.hold(holding, max(size, grown), now)

    def follow_head(self, size: int, now: float) -> None:
        """Records bytes of a header section, or before one."""
        holding = self.holding
        if holding.phase is _Phase.IDLE:
            holding.begin(_Phase.HEAD, now)
        self._part_bytes += size
        holding.progress(size, now)
        if self._part_bytes > limits_lib.HEAD_BYTES:
            is_behind = holding.open_requests
            reason = _Reason.PIPELINE if is_behind else _Reason.HEAD_SIZE
            self.close_for(reason)
            return
        self._guard.hold(holding, size, now)

    def release_body(self) -> None:
        """Records that the handler has taken over the body of its request."""
        holding = self.holding
        if holding.held_bytes and holding.phase is _Phase.OPEN:
            kept = self._head_bytes + holding.unsent_bytes
            self._guard.release(holding, max(holding.held_bytes - kept, 0))

    def end_request(
        self,
        body: streams.StreamReader,
        request_count: int,
        messages: Messages,
        now: float,
    ) -> None:
        """Records that a request was answered.

        Args:
            body: The body of the request.
            request_count: How many header sections have been parsed.
            messages: Those that no handler has taken up.
            now: The time, in seconds.
        """
        holding = self.holding
        if self.body is not None and body is self.body:
            holding.begin(_Phase.DISCARDING, now)
            self._part_bytes = 0
        else:
            holding.open_requests = max(holding.open_requests - 1, 0)
        if request_count != self.seen_requests:
            self.follow_requests(request_count, messages, 0, now)
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

    def set_unsent(self, size: int, now: float) -> None:
        """Records how much of its responses its client has not read."""
        grown = size - self.holding.unsent_bytes
        self.holding.unsent_bytes = size
        if grown > 0:
            self._guard.hold(self.holding, grown, now)
        else:
            self._guard.release(self.holding, -grown)

    def close_for(self, reason: reason_lib.Reason) -> None:
        """Closes the connection."""
        self._guard.close(self.holding, reason)

    def _keep_head(self, messages: Messages, now: float) -> None:
        """Counts a long header section, which aiohttp keeps.

        Until the next request; by then its handler has ended.
        """
        head_bytes = _measure_head(messages[-1][0]) if messages else 0
        grown = head_bytes - self._head_bytes
        self._head_bytes = head_bytes
        if grown > 0:
            self._guard.hold(self.holding, grown, now)
        elif grown:
            self._guard.release(self.holding, -grown)

    def _follow_last(self, message: t.Any, body: streams.StreamReader) -> int:
        """Begins to follow a body; returns how many requests lack theirs."""
        if type(message) is not RawRequestMessage:
            # It is answered with status 400, and what follows is not parsed.
            self.is_refused = True
            message.exc.__traceback__ = None
        if body.is_eof():
            return 0
        self.body = body
        self.is_chunked = message.chunked
        return 1

    def _complete(self, now: float) -> None:
        holding = self.holding
        if not self.is_refused:
            holding.is_used = True
            holding.source.prove(now)
        holding.begin(_Phase.OPEN, now)

    def _end_part(self) -> None:
        self.body = None
        self.is_chunked = False
        self._part_bytes = 0

    def _find_body_excess(
        self, is_discarding: bool
    ) -> reason_lib.Reason | None:
        part_bytes = self._part_bytes
        limit = self._max_wire_bytes
        if part_bytes > (
            limits_lib.DISCARDED_BYTES if is_discarding else limit
        ):
            return _Reason.BODY_SIZE
        is_behind = self.holding.open_requests
        if is_behind and part_bytes > limits_lib.HEAD_BYTES:
            return _Reason.PIPELINE
        return None


def _measure_head(message: t.Any) -> int:
    """Returns what a header section takes; 0 for an ordinary one."""
    if type(message) is not RawRequestMessage:
        return 0
    fields = message.raw_headers
    size = len(message.path) + limits_lib.FIELD_OVERHEAD_BYTES * len(fields)
    size += sum(len(name) + len(value) for name, value in fields)
    return size if size > limits_lib.UNCOUNTED_BYTES else 0
