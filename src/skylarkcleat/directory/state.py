"""The replicated state that the directory's commands change."""

from __future__ import annotations

import collections
import typing as t

from skylarkcleat.directory import answers as answers_lib
from skylarkcleat.directory import change_list
from skylarkcleat.directory import command as command_lib
from skylarkcleat.directory import history as history_lib
from skylarkcleat.directory import snapshot as snapshot_lib
from skylarkcleat.directory import view as view_lib
from skylarkcleat.protocol import subscribing

# Beyond this number of names, the least recently set fence is dropped.
FENCES_KEPT = 16_384
SYSTEM = command_lib.Author("control")


class State:
    """Everything that a snapshot of the directory holds.

    Attributes:
        view: The part that every process replicates.
        changes: The latest changes of the view.
        history: Who changed what, when and why.
        answers: Results of earlier commands, returned for resent ones.
        notes: The last change of each profile,
            including removed profiles.
        time_ms: The latest time of any command, in milliseconds since the
            epoch.
    """

    def __init__(self, revision: int, changes_kept: int):
        """Creates an empty state at a revision.

        Args:
            revision: The revision.
            changes_kept: How many changes to keep for incremental updates.
        """
        self.view = view_lib.View()
        self.view.revision = revision
        self.changes = change_list.ChangeList(revision, changes_kept)
        self.history = history_lib.History()
        self.answers = answers_lib.Answers()
        self.last_profile_changes: dict[
            str, snapshot_lib.LastProfileChange
        ] = {}
        self.time_ms = 0
        self._fences: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )

    def change(
        self, kind: subscribing.ChangeKind, name: str = "", **entry: t.Any
    ) -> None:
        """Applies a change to the view and appends it to `changes`.

        Args:
            kind: What changes.
            name: The profile or member that changes.
            **entry: The field of `Change` that its kind requires.
        """
        change = subscribing.Change(self.view.revision + 1, kind, name, **entry)
        self.view.apply(change)
        self.changes.append(change)

    def record(
        self,
        at_ms: int,
        verb: history_lib.Verb,
        subject: str,
        author: command_lib.Author,
        detail: str,
    ) -> None:
        """Adds an entry to the history."""
        self.history.record(
            history_lib.HistoryEntry(
                self.view.revision,
                at_ms,
                verb,
                subject,
                author.operator,
                author.reason,
                detail,
            )
        )

    def fence(self, ref: subscribing.MemberRef) -> None:
        """Prevents an incarnation and all earlier ones from rejoining."""
        self._fences[ref.name] = ref.incarnation
        self._fences.move_to_end(ref.name)
        if len(self._fences) > FENCES_KEPT:
            self._fences.popitem(last=False)

    def is_fenced(self, ref: subscribing.MemberRef) -> bool:
        """Returns whether an incarnation may not rejoin."""
        return ref.incarnation <= self._fences.get(ref.name, -1)

    def list_fences(self) -> list[subscribing.MemberRef]:
        """Returns the last fenced incarnation of each name, oldest first."""
        return [subscribing.MemberRef(*fence) for fence in self._fences.items()]
