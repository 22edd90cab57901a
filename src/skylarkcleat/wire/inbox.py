"""The inbox: decodes frames from peers into events for the hub's user."""

from __future__ import annotations

import asyncio

from skylarkcleat import clock as clock_lib
from skylarkcleat.wire import codec as codec_lib
from skylarkcleat.wire import event as event_lib
from skylarkcleat.wire import frame as frame_lib
from skylarkcleat.wire import session as session_lib
from skylarkcleat.wire import stamper as stamper_lib


class Inbox:
    """Decodes frames and messages; drops those that can't be decoded."""

    def __init__(
        self,
        codec: codec_lib.Codec,
        stamper: stamper_lib.Stamper,
        mailbox: asyncio.Queue,
    ) -> None:
        """Initializes an inbox.

        Args:
            codec: Decodes messages.
            stamper: The process's hybrid logical clock.
            mailbox: Receives the events.
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
        """Queues an event for each new message in a session's frame."""
        now = clock_lib.read_monotonic()
        for kind, body in session.receive(frame, now):
            try:
                message = self._codec.decode(kind, body)
            except codec_lib.UnknownMessageError:
                continue
            received = event_lib.Received(session.remote, message)
            self._mailbox.put_nowait(received)

    def report_lost(self, peer: session_lib.Endpoint, detail: str) -> None:
        """Queues an event that a session ended."""
        self._mailbox.put_nowait(event_lib.Lost(peer, detail))
