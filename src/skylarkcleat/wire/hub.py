"""The hub: all sessions of one process and their sockets."""

from __future__ import annotations

import asyncio
import collections
import collections.abc
import typing as t

import zmq

from skylarkcleat import clock as clock_lib
from skylarkcleat import loop_lag
from skylarkcleat import supervision
from skylarkcleat.wire import acceptor as acceptor_lib
from skylarkcleat.wire import codec as codec_lib
from skylarkcleat.wire import connector as connector_lib
from skylarkcleat.wire import frame as frame_lib
from skylarkcleat.wire import inbox as inbox_lib
from skylarkcleat.wire import session as session_lib
from skylarkcleat.wire import stamper as stamper_lib

TICK_S = 0.05
MAX_HEARTBEATS_PER_S = 200


class Hub:
    """Sends typed messages to members by name and queues those received.

    Messages to one peer that are sent in one iteration of the event loop
    share a frame. A context manager: leaving it closes every socket.
    """

    def __init__(
        self,
        local: session_lib.Endpoint,
        bind: str,
        codec: codec_lib.Codec,
        stamper: stamper_lib.Stamper,
        mailbox: asyncio.Queue,
    ) -> None:
        """Initializes a hub; entering it opens its sockets.

        Args:
            local: This process.
            bind: The `tcp://ip:port` to listen on; empty for none.
            codec: Encodes and decodes messages.
            stamper: The process's hybrid logical clock.
            mailbox: Receives the hub's events.
        """
        self.local = local
        self.events = mailbox
        self.frames_sent = 0
        self.bytes_sent = 0
        self.messages_sent: collections.Counter[str] = collections.Counter()
        self._codec = codec
        self._stamper = stamper
        self._inbox = inbox_lib.Inbox(codec, stamper, mailbox)
        self._dirty: set[tuple[str, bool]] = set()
        self._flush_scheduled = False
        self._context: zmq.Context[zmq.Socket[bytes]] = zmq.Context()
        self._connector = connector_lib.Connector(
            self._context, local, self._inbox, stamper
        )
        self._acceptor: acceptor_lib.Acceptor | None = None
        if bind:
            self._acceptor = acceptor_lib.Acceptor(
                self._context, local, bind, self._inbox, stamper
            )
        self._task: asyncio.Task | None = None

    async def __aenter__(self) -> t.Self:
        """Opens the listening socket and starts the hub's tasks.

        Raises:
            OSError: The address cannot be bound.
        """
        if self._acceptor is not None:
            await self._acceptor.__aenter__()
        self._task = asyncio.create_task(self._tick())
        return self

    async def __aexit__(self, *details: object) -> None:
        """Flushes queued messages, then closes every socket."""
        self._flush()
        await asyncio.sleep(TICK_S)
        self._task.cancel()
        self._connector.close()
        if self._acceptor is not None:
            await self._acceptor.__aexit__(*details)
        self._context.destroy(linger=0)

    @property
    def address(self) -> str:
        """The address that the hub listens on, with the bound port."""
        return self._acceptor.address if self._acceptor is not None else ""

    def connect(self, peer: session_lib.Endpoint, address: str) -> None:
        """Opens a session with a peer, replacing one with another incarnation.

        Args:
            peer: The peer; an incarnation of 0 means whichever answers.
            address: The peer's `tcp://ip:port`.
        """
        self._connector.connect(peer, address)

    def disconnect(self, name: str) -> None:
        """Closes the connection to a peer, without a `Lost` event."""
        self._connector.disconnect(name)

    def disconnect_others(self, name: str) -> None:
        """Closes every connection that this process opened, except one."""
        self._connector.disconnect_others(name)

    def has_session(self, peer: session_lib.Endpoint) -> bool:
        """Returns whether messages for an incarnation can be queued."""
        session = self._find_session(peer.name)
        return session is not None and session.remote == peer

    def count_backlog(self) -> int:
        """Returns the number of messages not yet acknowledged by peers."""
        backlog = self._connector.count_backlog()
        if self._acceptor is None:
            return backlog
        return backlog + self._acceptor.count_backlog()

    def send(
        self, peer: session_lib.Endpoint, message: codec_lib.Message
    ) -> session_lib.Overflow | None:
        """Queues a message for one incarnation of a peer.

        Returns:
            None, or why the message was not queued: it will not arrive.
        """
        name = peer.name
        for is_link in (True, False):
            session = self._get_session(name, is_link)
            if session is not None and session.remote == peer:
                return self._push(session, message, is_link)
        return session_lib.Overflow(
            name, f"no session with incarnation {peer.incarnation}"
        )

    def send_any(
        self, name: str, address: str, message: codec_lib.Message
    ) -> session_lib.Overflow | None:
        """Queues a message for whichever incarnation answers.

        Args:
            name: The peer's name.
            address: The peer's `tcp://ip:port`; connected to if necessary.
            message: What to send.

        Returns:
            None, or why the message was not queued: it will not arrive.
        """
        session = self._connector.find_session(name)
        if session is None:
            peer = session_lib.Endpoint(name, 0)
            session = self._connector.connect(peer, address)
        return self._push(session, message, True)

    def _push(
        self,
        session: session_lib.Session,
        message: codec_lib.Message,
        is_link: bool,
    ) -> session_lib.Overflow | None:
        kind, body = self._codec.encode(message)
        refusal = session.enqueue(kind, body)
        if refusal is None:
            self.messages_sent[kind] += 1
            self.bytes_sent += len(body)
            self._schedule_flush(session.remote.name, is_link)
        return refusal

    def _get_session(
        self, name: str, is_link: bool
    ) -> session_lib.Session | None:
        ends = self._connector if is_link else self._acceptor
        return ends.find_session(name) if ends is not None else None

    def _find_session(self, name: str) -> session_lib.Session | None:
        found = self._get_session(name, True)
        return found or self._get_session(name, False)

    def _schedule_flush(self, name: str, is_link: bool) -> None:
        self._dirty.add((name, is_link))
        if not self._flush_scheduled:
            self._flush_scheduled = True
            asyncio.get_running_loop().call_soon(self._flush)

    def _flush(self) -> None:
        self._flush_scheduled = False
        dirty, self._dirty = self._dirty, set()
        now = clock_lib.read_monotonic()
        for name, is_link in dirty:
            session = self._get_session(name, is_link)
            if session is not None:
                frames = session.collect(now, self._stamper.read())
                self._write(name, is_link, frames)

    def _write(
        self,
        name: str,
        is_link: bool,
        frames: collections.abc.Sequence[frame_lib.Frame],
    ) -> None:
        self.frames_sent += len(frames)
        if is_link:
            self._connector.write(name, frames)
        elif self._acceptor is not None:
            self._acceptor.write(name, frames)

    async def _tick(self) -> None:
        ticked_at = clock_lib.read_monotonic()
        lag = loop_lag.LagMeter(ticked_at)
        while True:
            await asyncio.sleep(TICK_S)
            now = clock_lib.read_monotonic()
            lag.record(now - ticked_at - TICK_S, now)
            ticked_at = now
            try:
                self._maintain(now)
            except Exception as error:
                supervision.log_unexpected("maintain the sessions", error)

    def _maintain(self, now: float) -> None:
        heartbeat_s = self._find_heartbeat_s()
        self._connector.maintain(now, heartbeat_s)
        if self._acceptor is not None:
            self._acceptor.maintain(now, heartbeat_s)

    def _find_heartbeat_s(self) -> float:
        """Returns the heartbeat interval of each session, in seconds.

        It grows with the number of sessions, so that the process sends at
        most `MAX_HEARTBEATS_PER_S`.
        """
        sessions = len(self._connector)
        if self._acceptor is not None:
            sessions += len(self._acceptor)
        spread_s = sessions / MAX_HEARTBEATS_PER_S
        return max(session_lib.HEARTBEAT_INTERVAL_S, spread_s)


def create_hub(
    local: session_lib.Endpoint,
    bind: str,
    types: t.Iterable[type],
    stamper: stamper_lib.Stamper,
    mailbox: asyncio.Queue | None = None,
) -> Hub:
    """Returns a hub that is not yet open.

    Args:
        local: This process's member name and incarnation.
        bind: The `tcp://ip:port` to listen on; empty for none.
        types: The message types that may be sent.
        stamper: The process's hybrid logical clock.
        mailbox: Receives the hub's events; a new queue by default.
    """
    codec = codec_lib.Codec(types)
    return Hub(local, bind, codec, stamper, mailbox or asyncio.Queue())
