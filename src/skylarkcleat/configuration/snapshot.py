"""The state of the replicated log as bytes.

Without evacuations the bytes are those of the configuration, as in versions
that had no evacuations; such versions can't read the others.
"""

from __future__ import annotations

import typing as t

import msgspec

from skylarkcleat.configuration import content
from skylarkcleat.configuration import evacuations as evacuations_lib

_MARK = b"\xc1\x01"
"""Begins a snapshot with evacuations; msgpack never begins with 0xc1."""


class Snapshot(t.NamedTuple):
    """All that the log holds.

    Attributes:
        configuration: The configuration, encoded.
        evacuations: The evacuations.
    """

    configuration: bytes
    evacuations: evacuations_lib.Evacuations


_DECODER = msgspec.msgpack.Decoder(Snapshot)


def encode(snapshot: Snapshot) -> bytes:
    """Returns the bytes that `decode` takes."""
    if not snapshot.evacuations.revision:
        return snapshot.configuration
    return _MARK + msgspec.msgpack.encode(snapshot)


def decode(data: bytes) -> Snapshot:
    """Returns the snapshot that `encode` was given.

    Raises:
        ContentError: The bytes are no snapshot.
    """
    if not data.startswith(_MARK):
        return Snapshot(data, evacuations_lib.Evacuations())
    try:
        return _DECODER.decode(data[len(_MARK) :])
    except (msgspec.MsgspecError, RecursionError) as error:
        raise content.ContentError(f"not a snapshot: {error}") from error
