"""The frame: the unit that one process writes to another."""

from __future__ import annotations

import typing as t

import msgspec

PROTOCOL_VERSION = 1
MAX_FRAME_BYTES = 4 << 20

HEARTBEAT = 0
RESET = -1


class Frame(t.NamedTuple):
    """A numbered batch of messages, or a heartbeat.

    Attributes:
        version: The protocol version of the sender.
        sender: The sender's member name.
        incarnation: The sender's incarnation.
        receiver: The incarnation that the frame is addressed to; 0 while the
            sender does not know it.
        session: A number that the connecting side chooses for each session.
        sequence: 1 for the session's first batch; `HEARTBEAT` for a frame
            without messages; `RESET` from a process that does not know the
            session.
        acknowledged: The last batch received in order.
        stamp: The sender's hybrid logical clock.
        heartbeat_ms: The longest time between the sender's frames, in
            milliseconds.
        messages: Pairs of a message kind and its encoded body.
    """

    version: int
    sender: str
    incarnation: int
    receiver: int
    session: int
    sequence: int
    acknowledged: int
    stamp: int
    heartbeat_ms: int
    messages: tuple[tuple[str, msgspec.Raw], ...] = ()


class MalformedFrameError(ValueError):
    """Bytes from a peer that are no frame of this protocol version."""


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Frame)


def encode_frame(frame: Frame) -> bytes:
    """Returns the frame's bytes."""
    return _ENCODER.encode(frame)


def decode_frame(data: bytes) -> Frame:
    """Returns the frame in some bytes.

    Raises:
        MalformedFrameError: The bytes are over the limit, are no frame, or
            have another protocol version.
    """
    if len(data) > MAX_FRAME_BYTES:
        raise MalformedFrameError(
            f"frame of {len(data)} bytes is over the limit of "
            f"{MAX_FRAME_BYTES} bytes"
        )
    try:
        frame = _DECODER.decode(data)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise MalformedFrameError(f"not a frame: {error}") from error
    if frame.version != PROTOCOL_VERSION:
        raise MalformedFrameError(
            f"frame of protocol version {frame.version} from "
            f"{frame.sender!r}; this process supports {PROTOCOL_VERSION}"
        )
    return frame
