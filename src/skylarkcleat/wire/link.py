"""The link: the socket and session that this process opened to one peer."""

from __future__ import annotations

import asyncio
import collections.abc
import typing as t

import zmq
import zmq.asyncio

from skylarkcleat import supervision
from skylarkcleat.wire import dealer
from skylarkcleat.wire import frame as frame_lib
from skylarkcleat.wire import session as session_lib

OnFrame = collections.abc.Callable[["Link", bytes], None]


class Link:
    """A connection that is replaced whenever the peer is unresponsive.

    A new connection helps where the network path of the old one has failed,
    for instance at a middlebox that dropped its state.
    """

    def __init__(
        self,
        context: zmq.asyncio.Context,
        address: str,
        session: session_lib.Session,
        on_frame: OnFrame,
    ) -> None:
        """Starts to connect.

        Args:
            context: The process's ZeroMQ context.
            address: The peer's `tcp://ip:port`.
            session: The session that the connection carries.
            on_frame: Called with each frame's bytes.
        """
        self.address = address
        self.session = session
        self._context = context
        self._on_frame = on_frame
        self._replaced_at = float("-inf")
        self._socket = self._connect()
        self._task = asyncio.create_task(self._receive(self._socket))

    def write(self, frames: t.Iterable[frame_lib.Frame]) -> None:
        """Writes frames; those that the socket drops are resent later."""
        for frame in frames:
            write_parts(self._socket, [frame_lib.encode_frame(frame)])

    def reconnect_if_unresponsive(self, now: float, stamp: int) -> None:
        """Opens a new connection if the peer does not answer on this one."""
        if not self.session.is_unresponsive(now, self._replaced_at):
            return
        self._replaced_at = now
        self.close()
        self._socket = self._connect()
        self._task = asyncio.create_task(self._receive(self._socket))
        self.write(self.session.resend(now, stamp))

    def close(self) -> None:
        """Closes the connection and drops frames not yet written."""
        self._task.cancel()
        self._socket.close(linger=0)

    def _connect(self) -> zmq.asyncio.Socket:
        socket = dealer.open_dealer(self._context)
        limit_queues(socket)
        socket.connect(self.address)
        return socket

    async def _receive(self, socket: zmq.asyncio.Socket) -> None:
        while not socket.closed:
            data = await socket.recv()
            try:
                self._on_frame(self, data)
            except Exception as error:
                supervision.log_unexpected(
                    "handle a frame", error, self.session.remote.name
                )


def limit_queues(socket: zmq.asyncio.Socket) -> None:
    """Limits a socket's send queue and the size of received messages."""
    socket.setsockopt(zmq.LINGER, 0)
    socket.setsockopt(zmq.SNDHWM, session_lib.MAX_BATCHES_IN_FLIGHT * 4)
    socket.setsockopt(zmq.MAXMSGSIZE, frame_lib.MAX_FRAME_BYTES)


def write_parts(socket: zmq.asyncio.Socket, parts: list[bytes]) -> None:
    """Writes a multipart message, or drops it if the send queue is full."""
    sent = socket.send_multipart(parts, flags=zmq.DONTWAIT)
    sent.add_done_callback(_ignore_full_queue)


def _ignore_full_queue(sent: asyncio.Future) -> None:
    if not sent.cancelled() and sent.exception() is not None:
        error = sent.exception()
        if not isinstance(error, zmq.ZMQError):
            raise error
