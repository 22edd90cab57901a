"""The encoding of the whole directory in a snapshot.

Fields are written by position, so their order is part of the format.
"""

from __future__ import annotations

import typing as t

import msgspec

from skylarkcleat.directory import answers as answers_lib
from skylarkcleat.directory import history as history_lib
from skylarkcleat.protocol import subscribing

FORMAT = 1


class LastProfileChange(t.NamedTuple):
    """Who last changed or removed a profile.

    Attributes:
        name: The profile's name.
        version: The version that the change made or removed.
        operator: Who made it.
        at_ms: When.
        reason: Why.
    """

    name: str
    version: int
    operator: str
    at_ms: int
    reason: str


class Snapshot(t.NamedTuple):
    """The whole state of a directory.

    Attributes:
        format: `FORMAT`.
        shard_count: Into how many shards the job ids are divided.
        revision: The directory's revision.
        time_ms: The latest time of any command.
        entries: Changes that create the view from an empty one.
        notes: The last change of each profile,
            including removed profiles.
        fences: The last fenced incarnation of each name, which may not
            rejoin, oldest first.
        history: The history, oldest first.
        answers: The answers kept for resent commands, oldest first.
    """

    format: int
    shard_count: int
    revision: int
    time_ms: int
    entries: list[subscribing.Change]
    last_profile_changes: list[LastProfileChange]
    fences: list[subscribing.MemberRef]
    history: tuple[history_lib.HistoryEntry, ...]
    answers: tuple[answers_lib.KeptAnswer, ...]


class UnusableSnapshotError(ValueError):
    """A snapshot of another format or with another number of shards."""


_DECODER = msgspec.msgpack.Decoder(Snapshot)


def encode(snapshot: Snapshot) -> bytes:
    """Returns the bytes that hold a snapshot."""
    return msgspec.msgpack.encode(snapshot)


def decode(data: bytes) -> Snapshot:
    """Returns the snapshot that the bytes hold.

    Raises:
        UnusableSnapshotError: The bytes hold no snapshot of this format.
    """
    try:
        snapshot = _DECODER.decode(data)
    except msgspec.MsgspecError as error:
        raise UnusableSnapshotError(
            f"directory snapshot of {len(data)} bytes can't be read: {error}"
        ) from error
    if snapshot.format != FORMAT:
        raise UnusableSnapshotError(
            f"directory snapshot has format {snapshot.format}; "
            f"this process reads format {FORMAT}"
        )
    return snapshot
