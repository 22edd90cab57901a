"""Entries of the replicated log."""

from __future__ import annotations

import enum
import typing as t


class EntryKind(enum.StrEnum):
    """The kind of data that an entry carries."""

    COMMAND = "command"
    MEMBERSHIP = "membership"
    NOOP = "noop"


class Entry(t.NamedTuple):
    """One position of the log.

    Attributes:
        index: The position, from 1.
        term: The term of the leader that appended it.
        kind: How `data` is interpreted.
        data: A command for the state machine, or an encoded membership.
    """

    index: int
    term: int
    kind: EntryKind
    data: bytes = b""
