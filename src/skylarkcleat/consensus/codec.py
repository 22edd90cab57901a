"""Encodes the envelopes that control replicas send to each other."""

from __future__ import annotations

import typing as t

import msgspec

from skylarkcleat.consensus import identity as identity_lib
from skylarkcleat.consensus import message as message_lib

VERSION = 1
"""The version of the replication protocol; other versions are rejected."""

_TYPES: dict[str, type] = {
    "vote-request": message_lib.VoteRequest,
    "vote-reply": message_lib.VoteReply,
    "append-request": message_lib.AppendRequest,
    "append-reply": message_lib.AppendReply,
    "heartbeat-reply": message_lib.HeartbeatReply,
    "snapshot-piece": message_lib.SnapshotChunk,
    "snapshot-reply": message_lib.SnapshotReply,
    "read-request": message_lib.ReadRequest,
    "read-reply": message_lib.ReadReply,
    "announcement": message_lib.Announcement,
    "leaving": message_lib.Leaving,
    "founding": message_lib.Bootstrap,
    "campaign": message_lib.Campaign,
}
_KINDS = {kind: name for name, kind in _TYPES.items()}


class _Frame(t.NamedTuple):
    version: int
    kind: str
    cluster: str
    sender: identity_lib.Identity
    receiver: identity_lib.Identity
    body: msgspec.Raw


class DecodeError(ValueError):
    """The bytes are not an envelope of this protocol version."""


_decoder = msgspec.msgpack.Decoder(_Frame)
_bodies = {name: msgspec.msgpack.Decoder(kind) for name, kind in _TYPES.items()}


def encode(envelope: message_lib.Envelope) -> bytes:
    """Encodes an envelope."""
    return msgspec.msgpack.encode(
        _Frame(
            VERSION,
            _KINDS[type(envelope.message)],
            envelope.cluster,
            envelope.sender,
            envelope.receiver,
            msgspec.Raw(msgspec.msgpack.encode(envelope.message)),
        )
    )


def decode(data: bytes) -> message_lib.Envelope:
    """Decodes an envelope that `encode` returned.

    Raises:
        DecodeError: The bytes are not an envelope, or of another version.
    """
    try:
        frame = _decoder.decode(data)
        if frame.version != VERSION:
            raise DecodeError(
                f"replication protocol version {frame.version}, "
                f"expected {VERSION}"
            )
        message = _bodies[frame.kind].decode(frame.body)
    except (msgspec.MsgspecError, KeyError, RecursionError) as error:
        raise DecodeError(f"not a replication message: {error}") from error
    return message_lib.Envelope(
        frame.cluster, frame.sender, frame.receiver, message
    )
