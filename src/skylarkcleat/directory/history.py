"""The history of changes: who changed what, when and why."""

from __future__ import annotations

import collections
import enum
import typing as t

# Operators' entries and members' entries are evicted separately, so that a
# burst of joining members does not evict what operators did.
OPERATOR_ENTRIES_KEPT = 4_096
MEMBER_ENTRIES_KEPT = 1_024


class Verb(enum.StrEnum):
    """What happened to the subject."""

    APPLIED = "applied"
    REMOVED = "removed"
    DRAINED = "drained"
    REFUSED = "refused"
    JOINED = "joined"
    LEAVING = "leaving"
    DEAD = "dead"
    CLAIMS_LOST = "claims-lost"


_OPERATOR_VERBS = frozenset(
    {Verb.APPLIED, Verb.REMOVED, Verb.DRAINED, Verb.REFUSED}
)


class HistoryEntry(t.NamedTuple):
    """One change, or one that was refused.

    Attributes:
        revision: The directory's revision after it.
        at_ms: When, in milliseconds since the epoch.
        verb: What happened.
        subject: The kind and name of the changed object.
        operator: Who requested it; `control` for automatic changes.
        reason: Why.
        detail: What changed, or why it was refused.
    """

    revision: int
    at_ms: int
    verb: Verb
    subject: str
    operator: str
    reason: str
    detail: str


class History:
    """Keeps the latest entries of operators and, separately, of members."""

    def __init__(
        self,
        operator_limit: int = OPERATOR_ENTRIES_KEPT,
        member_limit: int = MEMBER_ENTRIES_KEPT,
    ):
        self._operators = collections.deque(maxlen=operator_limit)
        self._members = collections.deque(maxlen=member_limit)

    def record(self, entry: HistoryEntry) -> None:
        """Adds an entry; evicts the oldest one of its kind at the limit."""
        kept = self._members
        if entry.verb in _OPERATOR_VERBS:
            kept = self._operators
        kept.append(entry)

    def list_entries(self) -> tuple[HistoryEntry, ...]:
        """Returns all entries: those of members, then those of operators."""
        return (*self._members, *self._operators)

    def find_entries(self, subject: str, limit: int) -> list[HistoryEntry]:
        """Returns the latest entries, newest first.

        Args:
            subject: Only entries of this subject; all if empty.
            limit: The maximum number of entries to return.
        """
        found = [
            entry
            for entry in self.list_entries()
            if subject in ("", entry.subject)
        ]
        found.sort(key=lambda entry: (entry.at_ms, entry.revision))
        return found[::-1][:limit]
