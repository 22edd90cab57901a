"""The acceptor: the listening socket and the sessions that peers open."""

from __future__ import annotations

import typing as t

import zmq

from skylarkcleat import clock as clock_lib
from skylarkcleat.wire import frame as frame_lib
from skylarkcleat.wire import inbox as inbox_lib
from skylarkcleat.wire import link as link_lib
from skylarkcleat.wire import receiver as receiver_lib
from skylarkcleat.wire import session as session_lib
from skylarkcleat.wire import stamper as stamper_lib

_MAX_SESSIONS = 100_000

SUCCESSION_S = 1.0
"""After this time without a frame a session may be replaced by an incarnation
with a smaller number, as that of a process whose clock was set back before it
started again. A process that runs sends heartbeats more often."""


class _Accepted:
    """A session and the ROUTER identity of the peer's latest connection."""

    def __init__(self, route: bytes, session: session_lib.Session) -> None:
        self.route = route
        self.session = session


class Acceptor:
    """A listening socket and its sessions; a context manager.

    Attributes:
        address: The `tcp://ip:port` that it listens on, with its real port.
    """

    def __init__(
        self,
        context: zmq.Context[zmq.Socket[bytes]],
        local: session_lib.Endpoint,
        bind: str,
        inbox: inbox_lib.Inbox,
        stamper: stamper_lib.Stamper,
    ) -> None:
        """Initializes an acceptor; entering it opens the socket.

        Args:
            context: The process's ZeroMQ context.
            local: This process.
            bind: The `tcp://ip:port` to listen on.
            inbox: Decodes and delivers received frames.
            stamper: The process's hybrid logical clock.
        """
        self.address = ""
        self._local = local
        self._bind = bind
        self._inbox = inbox
        self._stamper = stamper
        self._socket = context.socket(zmq.ROUTER)
        self._accepted: dict[str, _Accepted] = {}
        self._receiver = receiver_lib.Receiver(self._socket, self._receive)

    async def __aenter__(self) -> t.Self:
        """Opens the socket.

        Raises:
            OSError: The address cannot be bound.
        """
        link_lib.limit_queues(self._socket)
        _bind(self._socket, self._bind)
        self.address = self._socket.getsockopt_string(zmq.LAST_ENDPOINT)
        self._receiver.__enter__()
        return self

    async def __aexit__(self, *_: object) -> None:
        """Closes the socket."""
        self._receiver.__exit__()
        self._socket.close(linger=0)

    def find_session(self, name: str) -> session_lib.Session | None:
        """Returns the session that a peer has open, or None."""
        accepted = self._accepted.get(name)
        return accepted.session if accepted is not None else None

    def count_backlog(self) -> int:
        """Returns the number of messages that peers have not acknowledged."""
        return sum(each.session.backlog for each in self._accepted.values())

    def write(self, name: str, frames: t.Iterable[frame_lib.Frame]) -> None:
        """Writes frames to a peer that has a session open."""
        accepted = self._accepted.get(name)
        if accepted is not None:
            self._write(accepted.route, frames)

    def __len__(self) -> int:
        """Returns the number of open sessions."""
        return len(self._accepted)

    def maintain(self, now: float, heartbeat_s: float) -> None:
        """Sends due resends and heartbeats, and ends lost sessions.

        Args:
            now: The monotonic clock, in seconds.
            heartbeat_s: The longest time between frames to a peer, in seconds.
        """
        for accepted in list(self._accepted.values()):
            session = accepted.session
            if session.due_at > now:
                continue
            session.heartbeat_s = heartbeat_s
            if session.is_lost(now):
                self._end(accepted, "the peer was unresponsive for too long")
                continue
            frames = session.maintain(now, self._stamper.read())
            self._write(accepted.route, frames)

    def _receive(self, parts: list[bytes]) -> None:
        frame = self._inbox.decode(parts[-1])
        if frame is not None:
            self._handle_frame(parts[0], frame)

    def _handle_frame(self, route: bytes, frame: frame_lib.Frame) -> None:
        if frame.receiver not in (0, self._local.incarnation):
            self._reset(route, frame)
            return
        accepted = self._accepted.get(frame.sender)
        if accepted is None or not accepted.session.owns(frame):
            accepted = self._accept(route, frame)
        if accepted is None:
            self._reset(route, frame)
            return
        accepted.route = route
        self._inbox.deliver(accepted.session, frame)

    def _accept(self, route: bytes, frame: frame_lib.Frame) -> _Accepted | None:
        if frame.sequence > 1 or frame.acknowledged:
            return None
        previous = self._accepted.get(frame.sender)
        if previous is not None:
            is_older = previous.session.remote.incarnation > frame.incarnation
            silent_s = (
                clock_lib.read_monotonic() - previous.session.last_seen_at
            )
            if is_older and silent_s < SUCCESSION_S:
                return None
            self._end(previous, "the peer opened a new session")
        if len(self._accepted) >= _MAX_SESSIONS:
            return None
        remote = session_lib.Endpoint(frame.sender, frame.incarnation)
        now = clock_lib.read_monotonic()
        session = session_lib.Session(self._local, remote, frame.session, now)
        accepted = _Accepted(route, session)
        self._accepted[frame.sender] = accepted
        return accepted

    def _end(self, accepted: _Accepted, detail: str) -> None:
        del self._accepted[accepted.session.remote.name]
        self._inbox.report_lost(accepted.session.remote, detail)

    def _reset(self, route: bytes, frame: frame_lib.Frame) -> None:
        answer = frame_lib.Frame(
            version=frame_lib.PROTOCOL_VERSION,
            sender=self._local.name,
            incarnation=self._local.incarnation,
            receiver=frame.incarnation,
            session=frame.session,
            sequence=frame_lib.RESET,
            acknowledged=0,
            stamp=self._stamper.read(),
            heartbeat_ms=0,
        )
        self._write(route, [answer])

    def _write(self, route: bytes, frames: t.Iterable[frame_lib.Frame]) -> None:
        for frame in frames:
            data = frame_lib.encode_frame(frame)
            receiver_lib.send_or_drop(self._socket, [route, data])
        self._receiver.check()


def _bind(socket: zmq.Socket[bytes], address: str) -> None:
    try:
        socket.bind(address)
    except zmq.ZMQError as error:
        raise OSError(
            error.errno, f"{address} cannot be bound: {error.strerror}"
        ) from error
