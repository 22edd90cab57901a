"""The log entries that a replica holds in memory."""

from __future__ import annotations

import typing as t

from skylarkcleat.consensus import entry as entry_lib
from skylarkcleat.consensus import membership as membership_lib


class EntryLog:
    """The log entries after a base position.

    The latest snapshot covers the entries up to the base position, and often
    some of those after it, which are kept for followers that lag.

    Attributes:
        base_index: The position before the first entry.
        base_term: The term of that position.
        size: The total size of the entries' data, in bytes.
    """

    def __init__(
        self,
        base_index: int,
        base_term: int,
        entries: t.Iterable[entry_lib.Entry] = (),
    ) -> None:
        self.base_index = base_index
        self.base_term = base_term
        self.size = 0
        self._entries: list[entry_lib.Entry] = []
        self._memberships: list[tuple[int, membership_lib.Membership]] = []
        for entry in entries:
            self._append(entry)

    @property
    def last_index(self) -> int:
        """The position of the last entry; the base position without entries."""
        return self.base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """The term of the last position."""
        return self._entries[-1].term if self._entries else self.base_term

    def term_at(self, index: int) -> int | None:
        """Returns the term of a position, or None if it is not held."""
        if index == self.base_index:
            return self.base_term
        if not self.base_index < index <= self.last_index:
            return None
        return self._entries[index - self.base_index - 1].term

    def first_of_term(self, index: int) -> int:
        """Returns the first held position that has the term of a position."""
        term = self.term_at(index)
        while index > self.base_index and self.term_at(index - 1) == term:
            index -= 1
        return index

    def slice(self, first: int, last: int) -> tuple[entry_lib.Entry, ...]:
        """Returns the entries at the positions from `first` to `last`."""
        base = self.base_index + 1
        return tuple(self._entries[first - base : last + 1 - base])

    def batch(
        self, first: int, entries: int, size: int
    ) -> tuple[entry_lib.Entry, ...]:
        """Returns entries from a position on, at least one if there is one.

        Args:
            first: The position of the first entry.
            entries: The largest number of entries.
            size: The largest total size of their data, in bytes; a first
                entry that exceeds it is returned alone.
        """
        chosen = []
        for entry in self.slice(first, first + entries - 1):
            size -= len(entry.data)
            if chosen and size < 0:
                break
            chosen.append(entry)
        return tuple(chosen)

    def find_new_entries(
        self, entries: tuple[entry_lib.Entry, ...]
    ) -> tuple[entry_lib.Entry, ...]:
        """Returns the entries from the first one that is not held yet."""
        for offset, entry in enumerate(entries):
            if self.term_at(entry.index) != entry.term:
                return entries[offset:]
        return ()

    def extend(self, entries: tuple[entry_lib.Entry, ...]) -> None:
        """Appends entries, and drops held ones from their first index on."""
        if entries:
            self._truncate(entries[0].index)
        for entry in entries:
            self._append(entry)

    def compact(self, index: int) -> None:
        """Drops the entries up to a position, which becomes the base."""
        term = self.term_at(index)
        if term is None:
            return
        count = index - self.base_index
        self.size -= sum(len(e.data) for e in self._entries[:count])
        del self._entries[:count]
        self._memberships = [m for m in self._memberships if m[0] > index]
        self.base_index = index
        self.base_term = term

    def latest_membership(
        self, index: int | None = None
    ) -> tuple[int, membership_lib.Membership] | None:
        """Returns the last membership entry, up to a position if given."""
        for position, membership in reversed(self._memberships):
            if index is None or position <= index:
                return position, membership
        return None

    def _append(self, entry: entry_lib.Entry) -> None:
        self._entries.append(entry)
        self.size += len(entry.data)
        if entry.kind is entry_lib.EntryKind.MEMBERSHIP:
            membership = membership_lib.decode(entry.data)
            self._memberships.append((entry.index, membership))

    def _truncate(self, index: int) -> None:
        start = index - self.base_index - 1
        self.size -= sum(len(e.data) for e in self._entries[start:])
        del self._entries[start:]
        self._memberships = [m for m in self._memberships if m[0] < index]
