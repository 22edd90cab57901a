"""The connector: the sessions that this process opens to its peers."""

from __future__ import annotations

import secrets
import typing as t

import zmq

from skylarkcleat import clock as clock_lib
from skylarkcleat.wire import frame as frame_lib
from skylarkcleat.wire import inbox as inbox_lib
from skylarkcleat.wire import link as link_lib
from skylarkcleat.wire import session as session_lib
from skylarkcleat.wire import stamper as stamper_lib

_SESSION_BITS = 48


class Connector:
    """The links of one process, one for each peer that it connects to."""

    def __init__(
        self,
        context: zmq.Context[zmq.Socket[bytes]],
        local: session_lib.Endpoint,
        inbox: inbox_lib.Inbox,
        stamper: stamper_lib.Stamper,
    ) -> None:
        """Initializes a connector without links.

        Args:
            context: The process's ZeroMQ context.
            local: This process.
            inbox: Decodes and delivers received frames.
            stamper: The process's hybrid logical clock.
        """
        self._context = context
        self._local = local
        self._inbox = inbox
        self._stamper = stamper
        self._links: dict[str, link_lib.Link] = {}

    def __len__(self) -> int:
        """Returns the number of open sessions."""
        return len(self._links)

    def connect(
        self, peer: session_lib.Endpoint, address: str
    ) -> session_lib.Session:
        """Opens a session with a peer, replacing one with another incarnation.

        Args:
            peer: The peer; an incarnation of 0 means whichever answers.
            address: The peer's `tcp://ip:port`.

        Returns:
            The session, which may have been open before.
        """
        link = self._links.get(peer.name)
        if link is not None:
            if (link.session.remote, link.address) == (peer, address):
                return link.session
            self._end(link, "replaced by a newer incarnation")
        return self._open(peer, address)

    def disconnect(self, name: str) -> None:
        """Closes the connection to a peer, without a `Lost` event."""
        link = self._links.pop(name, None)
        if link is not None:
            link.close()

    def disconnect_others(self, name: str) -> None:
        """Closes every connection except one."""
        for other in [each for each in self._links if each != name]:
            self.disconnect(other)

    def close(self) -> None:
        """Closes every socket."""
        for link in self._links.values():
            link.close()

    def find_session(self, name: str) -> session_lib.Session | None:
        """Returns the session with a peer, or None."""
        link = self._links.get(name)
        return link.session if link is not None else None

    def count_backlog(self) -> int:
        """Returns the number of messages that peers have not acknowledged."""
        return sum(link.session.backlog for link in self._links.values())

    def write(self, name: str, frames: t.Iterable[frame_lib.Frame]) -> None:
        """Writes frames to a peer that has a session open."""
        self._links[name].write(frames)

    def maintain(self, now: float, heartbeat_s: float) -> None:
        """Sends due resends and heartbeats, and ends lost sessions.

        Args:
            now: The monotonic clock, in seconds.
            heartbeat_s: The longest time between frames to a peer, in seconds.
        """
        for link in list(self._links.values()):
            session = link.session
            if session.due_at > now:
                continue
            session.heartbeat_s = heartbeat_s
            if session.is_lost(now):
                self._end(link, "the peer was unresponsive for too long")
                continue
            stamp = self._stamper.read()
            link.reconnect_if_unresponsive(now, stamp)
            link.write(session.maintain(now, stamp))

    def _open(
        self, peer: session_lib.Endpoint, address: str
    ) -> session_lib.Session:
        session = session_lib.Session(
            self._local,
            peer,
            secrets.randbits(_SESSION_BITS),
            clock_lib.read_monotonic(),
        )
        link = link_lib.Link(self._context, address, session, self._receive)
        self._links[peer.name] = link
        link.write(session.maintain(session.last_seen_at, self._stamper.read()))
        return session

    def _end(self, link: link_lib.Link, detail: str) -> None:
        link.close()
        self._links.pop(link.session.remote.name, None)
        self._inbox.report_lost(link.session.remote, detail)

    def _receive(self, link: link_lib.Link, data: bytes) -> None:
        frame = self._inbox.decode(data)
        if frame is None or self._links.get(frame.sender) is not link:
            return
        session = link.session
        if not session.remote.incarnation:
            session.remote = session_lib.Endpoint(
                frame.sender, frame.incarnation
            )
        if frame.incarnation != session.remote.incarnation:
            self._end(link, "the peer started again")
        elif (
            frame.session == session.number
            and frame.sequence == frame_lib.RESET
        ):
            self._end(link, "the peer has no record of the session")
        elif frame.session == session.number:
            self._inbox.deliver(session, frame)
