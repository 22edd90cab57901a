"""The sockets between control replicas.

A TCP connection can stop delivering data without being closed. So replicas
ping each other, and a socket whose pings are not echoed in time is replaced by
one with a new connection.
"""

from __future__ import annotations

import asyncio
import time
import typing as t

import msgspec
import zmq

from skylarkcleat.consensus import codec
from skylarkcleat.consensus import message as message_lib
from skylarkcleat.wire import dealer
from skylarkcleat.wire import receiver as receiver_lib

MESSAGE_BYTES = 4 * 1024 * 1024
"""The largest message that a replica sends or receives."""

# The size of each queue; a message to a peer whose queue is full is dropped.
_QUEUE_MESSAGES = 1_000
_PING_INTERVAL_S = 0.2
# A socket is replaced if no ping over it was echoed for this time.
_PING_TIMEOUT_S = 1.0
# The first frame of a message that is a ping and not an envelope.
_PING_TAG = b"ping"


class _Ping(t.NamedTuple):
    """A ping, which also echoes the last ping of its receiver.

    Attributes:
        name: The name of the sender.
        sent_at: The sender's monotonic clock, in seconds.
        echo: The `sent_at` of the last ping received from the receiver.
    """

    name: str
    sent_at: float
    echo: float


class _Link:
    """A link to one peer; its socket is replaced if pings are not echoed."""

    def __init__(self, context: zmq.Context, address: str) -> None:
        self._context = context
        self._address = address
        self.peer_sent_at = 0.0
        self._open()

    def send(self, frames: list[bytes]) -> None:
        """Sends a message, or drops it if that would block."""
        try:
            self._socket.send_multipart(frames, zmq.NOBLOCK)
        except zmq.Again:
            return

    def handle_ping(self, ping: _Ping) -> None:
        """Records a ping of the peer and the echo that it carries."""
        self.peer_sent_at = ping.sent_at
        if ping.echo >= self._opened_at:
            self._echoed_at = max(self._echoed_at, ping.echo)

    def replace_if_unresponsive(self, now: float) -> bool:
        """Replaces the socket if no ping was echoed; returns whether it did."""
        if now - self._echoed_at < _PING_TIMEOUT_S:
            return False
        self.close()
        self._open()
        return True

    def close(self) -> None:
        """Closes the socket."""
        self._socket.close(linger=0)

    def _open(self) -> None:
        self._opened_at = time.monotonic()
        self._echoed_at = self._opened_at
        self._socket = dealer.open_dealer(self._context)
        self._socket.setsockopt(zmq.SNDHWM, _QUEUE_MESSAGES)
        self._socket.setsockopt(zmq.IMMEDIATE, 1)
        self._socket.setsockopt(zmq.LINGER, 0)
        self._socket.connect(self._address)


class Links:
    """The sockets of one replica: one that receives, and one for each peer.

    Args:
        name: The replica's name.
        bind: The `tcp://ip:port` on which it receives.
        peers: The other replicas' names and `tcp://ip:port` addresses.
        receive: Called with each envelope that is received.

    Attributes:
        replaced_sockets: The number of unresponsive sockets replaced.
        tasks: The task that sends pings, while the links are open.
        sent_messages: The number of envelopes sent.
        sent_bytes: The encoded size of these envelopes.
    """

    def __init__(
        self,
        name: str,
        bind: str,
        peers: t.Mapping[str, str],
        receive: t.Callable[[message_lib.Envelope], None],
    ) -> None:
        self._name = name
        self._bind = bind
        self._peers = peers
        self._receive = receive
        self._links: dict[str, _Link] = {}
        self.tasks: list[asyncio.Task[None]] = []
        self.replaced_sockets = 0
        self.sent_messages = 0
        self.sent_bytes = 0

    async def __aenter__(self) -> Links:
        self._context = zmq.Context()
        self._router = self._context.socket(zmq.ROUTER)
        self._router.setsockopt(zmq.MAXMSGSIZE, MESSAGE_BYTES)
        self._router.setsockopt(zmq.RCVHWM, _QUEUE_MESSAGES)
        try:
            self._router.bind(self._bind)
        except zmq.ZMQError:
            self._router.close(linger=0)
            self._context.term()
            raise
        for name, address in self._peers.items():
            self.add_peer(name, address)
        self._receiver = receiver_lib.Receiver(
            self._router, self._handle_message
        )
        self._receiver.__enter__()
        self.tasks = [asyncio.create_task(self._send_pings())]
        return self

    async def __aexit__(self, *exception: object) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for link in self._links.values():
            link.close()
        self._receiver.__exit__()
        self._router.close(linger=0)
        self._context.term()

    @property
    def names(self) -> frozenset[str]:
        """The replicas that there is a link to."""
        return frozenset(self._links)

    def add_peer(self, name: str, address: str) -> None:
        """Opens a link to a peer, unless there is one."""
        if name not in self._links and name != self._name:
            self._links[name] = _Link(self._context, address)

    def send(self, envelope: message_lib.Envelope) -> None:
        """Sends an envelope; drops it if the peer's queue is full.

        An envelope that is too large, or for an unknown peer, is dropped too.
        """
        link = self._links.get(envelope.receiver.name)
        if link is None:
            return
        data = codec.encode(envelope)
        if len(data) <= MESSAGE_BYTES:
            link.send([data])
            self.sent_messages += 1
            self.sent_bytes += len(data)

    def _handle_message(self, frames: list[bytes]) -> None:
        if len(frames) == 2:
            self._handle_envelope(frames[1])
        elif len(frames) == 3 and frames[1] == _PING_TAG:
            self._handle_ping(frames[2])

    def _handle_envelope(self, data: bytes) -> None:
        try:
            envelope = codec.decode(data)
        except codec.DecodeError:
            return
        self._receive(envelope)

    def _handle_ping(self, data: bytes) -> None:
        try:
            ping = msgspec.msgpack.decode(data, type=_Ping)
        except (msgspec.MsgspecError, RecursionError):
            return
        if ping.name in self._links:
            self._links[ping.name].handle_ping(ping)

    async def _send_pings(self) -> None:
        while True:
            now = time.monotonic()
            for link in list(self._links.values()):
                self.replaced_sockets += link.replace_if_unresponsive(now)
                ping = _Ping(self._name, time.monotonic(), link.peer_sent_at)
                link.send([_PING_TAG, msgspec.msgpack.encode(ping)])
            await asyncio.sleep(_PING_INTERVAL_S)
