"""The link: the socket and session that this process opened to one peer."""

from __future__ import annotations

import collections.abc
import typing as t

import zmq

from skylarkcleat.wire import dealer
from skylarkcleat.wire import frame as frame_lib
from skylarkcleat.wire import receiver as receiver_lib
from skylarkcleat.wire import session as session_lib

OnFrame = collections.abc.Callable[["Link", bytes], None]


class Link:
    """A connection that is replaced whenever the peer is unresponsive.

    A new connection helps where the network path of the old one has failed,
    for instance at a middlebox that dropped its state.
    """

    def __init__(
        self,
        context: zmq.Context[zmq.Socket[bytes]],
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
        self._open()

    def write(self, frames: t.Iterable[frame_lib.Frame]) -> None:
        """Writes frames; those that the socket drops are resent later."""
        for frame in frames:
            data = frame_lib.encode_frame(frame)
            receiver_lib.send_or_drop(self._socket, [data])
        self._receiver.check()

    def reconnect_if_unresponsive(self, now: float, stamp: int) -> None:
        """Opens a new connection if the peer does not answer on this one."""
        if not self.session.is_unresponsive(now, self._replaced_at):
            return
        self._replaced_at = now
        self.close()
        self._open()
        self.write(self.session.resend(now, stamp))

    def close(self) -> None:
        """Closes the connection and drops frames not yet written."""
        self._receiver.__exit__()
        self._socket.close(linger=0)

    def _open(self) -> None:
        self._socket = dealer.open_dealer(self._context)
        limit_queues(self._socket)
        self._socket.connect(self.address)
        self._receiver = receiver_lib.Receiver(self._socket, self._receive)
        self._receiver.__enter__()

    def _receive(self, parts: list[bytes]) -> None:
        self._on_frame(self, parts[-1])


def limit_queues(socket: zmq.Socket[bytes]) -> None:
    """Limits a socket's send queue and the size of received messages."""
    socket.setsockopt(zmq.LINGER, 0)
    socket.setsockopt(zmq.SNDHWM, session_lib.MAX_BATCHES_IN_FLIGHT * 4)
    socket.setsockopt(zmq.MAXMSGSIZE, frame_lib.MAX_FRAME_BYTES)
