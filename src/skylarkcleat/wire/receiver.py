"""Receives the messages of one ZeroMQ socket within the event loop.

Reads whatever has arrived at one wake-up of the loop, without a future for
each message as `zmq.asyncio` has: a process that owns the jobs of a large
fleet receives thousands of messages a second.
"""

from __future__ import annotations

import asyncio
import collections.abc
import typing as t

import zmq

from skylarkcleat import supervision

MAX_PER_TURN = 200
"""How many messages are handled before the loop's other callbacks run."""

Handle = collections.abc.Callable[[list[bytes]], None]


class Receiver:
    """Hands each message to a function. A context manager.

    Args:
        socket: The socket; closed by whoever opened it, after this exits.
        handle: Called with the parts of each message. An error in it ends
            that message only.
    """

    def __init__(self, socket: zmq.Socket[bytes], handle: Handle) -> None:
        self._socket = socket
        self._handle = handle
        self._is_scheduled = False
        self._is_open = False

    def __enter__(self) -> t.Self:
        """Starts to receive."""
        self._loop = asyncio.get_running_loop()
        self._descriptor = self._socket.getsockopt(zmq.FD)
        self._loop.add_reader(self._descriptor, self._drain)
        self._is_open = True
        self.check()
        return self

    def __exit__(self, *_: object) -> None:
        """Stops to receive."""
        if self._is_open:
            self._is_open = False
            self._loop.remove_reader(self._descriptor)

    def check(self) -> None:
        """Looks for messages soon; to be called after each write.

        The socket's descriptor is edge-triggered, and a write may take the
        edge of a message that has arrived.
        """
        if self._is_open and not self._is_scheduled:
            self._is_scheduled = True
            self._loop.call_soon(self._drain_scheduled)

    def _drain_scheduled(self) -> None:
        self._is_scheduled = False
        self._drain()

    def _drain(self) -> None:
        for _ in range(MAX_PER_TURN):
            # A handler may have closed the socket.
            if not self._is_open or not self._has_message():
                return
            parts = self._socket.recv_multipart(zmq.NOBLOCK)
            try:
                self._handle(parts)
            except Exception as error:
                supervision.log_unexpected("handle a frame", error)
        self.check()

    def _has_message(self) -> bool:
        return bool(self._socket.getsockopt(zmq.EVENTS) & zmq.POLLIN)


def send_or_drop(socket: zmq.Socket[bytes], parts: list[bytes]) -> None:
    """Writes a message, or drops it if the socket can't take it now."""
    try:
        socket.send_multipart(parts, zmq.NOBLOCK)
    except zmq.ZMQError:
        # The session sends what is not acknowledged again.
        return
