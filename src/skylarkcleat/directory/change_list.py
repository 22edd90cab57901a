"""The latest changes of a view, for incremental updates of copies."""

from __future__ import annotations

import collections
import itertools

from skylarkcleat.protocol import subscribing

# A copy that lacks more changes receives the whole view.
CHANGES_KEPT = 8_192


class ChangeList:
    """The latest changes in the order of their revisions, without gaps.

    Attributes:
        start: The revision before the first kept change.
        end: The revision of the last change; `start` if there is none.
    """

    def __init__(self, revision: int = 0, limit: int = CHANGES_KEPT):
        """Creates an empty list that starts after a revision."""
        self.start = revision
        self.end = revision
        self._limit = limit
        self._changes: collections.deque[subscribing.Change] = (
            collections.deque()
        )

    def append(self, change: subscribing.Change) -> None:
        """Adds the next change; evicts the oldest one if the list is full."""
        self._changes.append(change)
        self.end = change.revision
        if len(self._changes) > self._limit:
            self.start = self._changes.popleft().revision

    def list_after(
        self, revision: int, limit: int
    ) -> tuple[subscribing.Change, ...]:
        """Returns the changes that follow a revision from `start` to `end`.

        Args:
            revision: The revision of the copy.
            limit: The maximum number of changes to return.
        """
        missing = self.end - revision
        first = len(self._changes) - missing
        if missing <= len(self._changes) // 2:
            tail = itertools.islice(reversed(self._changes), missing)
            return tuple(tail)[::-1][:limit]
        return tuple(itertools.islice(self._changes, first, first + limit))
