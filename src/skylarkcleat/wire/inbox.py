"""The inbox: turns frames from peers into events for a hub's owner."""

from __future__ import annotations

import asyncio

from skylarkcleat import clock as clock_lib
from skylarkcleat.wire import codec as codec_lib
from skylarkcleat.wire import event as event_lib
from skylarkcleat.wire import frame as frame_lib
from skylarkcleat.wire import session as session_lib
from skylarkcleat.wire import stamper as stamper_lib


class Inbox:
    """Decodes what peers send; what can't be decoded is dropped."""

    def __init__(
        self,
        codec: codec_lib.Codec,
        stamper: stamper_lib.Stamper,
        mailbox: asyncio.Queue,
    ) -> None:
        """Initializes an inbox.

        Args:
            codec: The messages that may travel.
            stamper: The process's hybrid logical clock.
            mailbox: Where the events go.
        """
        self._codec = codec
        self._stamper = stamper
        self._mailbox = mailbox

    def decode(self, data: bytes) -> frame_lib.Frame | None:
        """Returns the frame in some bytes, or None if there is none."""
        try:
            frame = frame_lib.decode_frame(data)
        except frame_lib.MalformedFrameError:
            return None
        self._stamper.merge(frame.sender, frame.stamp)
        return frame

    def deliver(
        self, session: session_lib.Session, frame: frame_lib.Frame
    ) -> None:
        """Hands on the messages that a frame brings to its session."""
        now = clock_lib.read_monotonic()
        for kind, body in session.receive(frame, now):
            try:
                message = self._codec.decode(kind, body)
            except codec_lib.UnknownMessageError:
                continue
            received = event_lib.Received(session.remote, message)
            self._mailbox.put_nowait(received)

    def report_lost(self, peer: session_lib.Endpoint, detail: str) -> None:
        """Says that a session ended."""
        self._mailbox.put_nowait(event_lib.Lost(peer, detail))
