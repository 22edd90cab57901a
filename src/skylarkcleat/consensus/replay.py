"""The records of a log segment, and how a replica's state is rebuilt."""

from __future__ import annotations

import typing as t

import msgspec

from skylarkcleat.consensus import entry as entry_lib
from skylarkcleat.consensus import entry_log as entry_log_lib
from skylarkcleat.consensus import identity as identity_lib
from skylarkcleat.consensus import snapshot as snapshot_lib
from skylarkcleat.consensus import write as write_lib


class SegmentHeader(t.NamedTuple):
    """The first record of a segment.

    Attributes:
        snapshot_index: The position of the snapshot that the segment relies
            on; -1 if it relies on none.
        base_index: The position before the first entry.
        base_term: The term at that position.
        vote: The term and vote.
        entries: The entries after that position.
    """

    snapshot_index: int
    base_index: int
    base_term: int
    vote: write_lib.SaveVote
    entries: tuple[entry_lib.Entry, ...]


EMPTY_SEGMENT = SegmentHeader(-1, 0, 0, write_lib.SaveVote(0), ())
"""The first record in the data folder of a new replica."""


class WriteGroup(t.NamedTuple):
    """A later record: the writes that were made durable by one sync.

    Attributes:
        vote: The last term and vote among the writes, if any.
        entries: The entries in the order in which they were saved. Each
            replaces all stored entries from its index on.
    """

    vote: write_lib.SaveVote | None
    entries: tuple[entry_lib.Entry, ...]


def encode_group(
    writes: t.Iterable[write_lib.SaveVote | write_lib.SaveEntries],
) -> bytes:
    """Encodes writes as one record."""
    vote = None
    entries: list[entry_lib.Entry] = []
    for write in writes:
        if isinstance(write, write_lib.SaveVote):
            vote = write
        else:
            entries.extend(write.entries)
    return msgspec.msgpack.encode(WriteGroup(vote, tuple(entries)))


def decode_group(data: bytes) -> WriteGroup:
    """Decodes a record that `encode_group` returned."""
    return msgspec.msgpack.decode(data, type=WriteGroup)


def decode_header(data: bytes) -> SegmentHeader:
    """Decodes an encoded `SegmentHeader`."""
    return msgspec.msgpack.decode(data, type=SegmentHeader)


def rebuild(
    identity: identity_lib.Identity,
    snapshot: snapshot_lib.Snapshot | None,
    header: SegmentHeader,
    groups: t.Iterable[WriteGroup],
) -> write_lib.Stored:
    """Rebuilds the stored state from a snapshot and the records of a segment.

    A log that does not reach the snapshot, or has another term at its
    position, is dropped: the replica crashed after it had stored the snapshot
    and before it replaced the log by it.
    """
    log = entry_log_lib.EntryLog(
        header.base_index, header.base_term, header.entries
    )
    vote = header.vote
    for group in groups:
        vote = group.vote or vote
        for entry in group.entries:
            log.extend((entry,))
    if snapshot and log.term_at(snapshot.index) != snapshot.term:
        log = entry_log_lib.EntryLog(snapshot.index, snapshot.term)
    return write_lib.Stored(
        identity,
        vote,
        snapshot,
        log.base_index,
        log.base_term,
        log.slice(log.base_index + 1, log.last_index),
    )
