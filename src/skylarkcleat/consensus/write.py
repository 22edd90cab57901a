"""The writes that a replica's storage makes durable, and what it loads."""

from __future__ import annotations

import typing as t

from skylarkcleat.consensus import entry as entry_lib
from skylarkcleat.consensus import identity as identity_lib
from skylarkcleat.consensus import snapshot as snapshot_lib


class SaveVote(t.NamedTuple):
    """Replaces the stored term and vote.

    Attributes:
        term: The latest term that the replica has seen.
        candidate: The replica that it voted for in that term, if any.
    """

    term: int
    candidate: identity_lib.Identity | None = None


class SaveEntries(t.NamedTuple):
    """Stores entries, replacing stored ones from the first index on."""

    entries: tuple[entry_lib.Entry, ...]


class SaveSnapshot(t.NamedTuple):
    """Replaces the stored snapshot, log and vote.

    Attributes:
        snapshot: The new snapshot.
        base_index: The position before the first entry that is kept.
        base_term: The term at that position.
        entries: The entries that are kept.
        vote: The term and vote.
    """

    snapshot: snapshot_lib.Snapshot
    base_index: int
    base_term: int
    entries: tuple[entry_lib.Entry, ...]
    vote: SaveVote


Write = SaveVote | SaveEntries | SaveSnapshot


class Stored(t.NamedTuple):
    """The content of a data folder.

    Attributes:
        identity: The replica that the folder belongs to.
        vote: The term and vote.
        snapshot: The latest snapshot; None on a replica that has not yet
            bootstrapped or joined a cluster.
        base_index: The position before the first entry.
        base_term: The term at that position.
        entries: The entries after that position.
    """

    identity: identity_lib.Identity
    vote: SaveVote = SaveVote(0)
    snapshot: snapshot_lib.Snapshot | None = None
    base_index: int = 0
    base_term: int = 0
    entries: tuple[entry_lib.Entry, ...] = ()
