"""A process's own copy of the directory, updated by polls and pushes."""

from __future__ import annotations

import typing as t

from skylarkcleat.directory import change_list
from skylarkcleat.directory import freshness as freshness_lib
from skylarkcleat.directory import source
from skylarkcleat.directory import view as view_lib
from skylarkcleat.protocol import subscribing

# Answers to polls before the last few are ignored for the lease: an answer to
# a later poll renews it further.
MAX_PENDING_POLLS = 16

_Kind = subscribing.ChangeKind


class Subscriber(source.Source):
    """Replicates the directory and tracks whether the copy is in force.

    The copy's revision never decreases, whichever replica answers. All times
    are in seconds of one clock that keeps running while the machine is
    suspended.

    Attributes:
        freshness: Until when the copy is in force.
        wants_more: Whether the next poll should be sent at once.
    """

    def __init__(
        self,
        name: str,
        incarnation: int,
        freshness: freshness_lib.Freshness | None = None,
    ):
        """Creates an empty copy.

        Args:
            name: The process's name.
            incarnation: Its incarnation.
            freshness: The lease; one of the default length if omitted.
        """
        self.freshness = freshness or freshness_lib.Freshness()
        self.wants_more = False
        self._name = name
        self._incarnation = incarnation
        self._view = view_lib.View()
        self._changes = change_list.ChangeList()
        self._sequence = 0
        self._sent_at: dict[int, float] = {}
        self._chunks: list[subscribing.SnapshotChunk] = []
        self._was_listed = False

    @property
    def view(self) -> view_lib.View:
        """The copy."""
        return self._view

    @property
    def changes(self) -> change_list.ChangeList:
        """The latest changes of the copy, for publishers that relay it."""
        return self._changes

    def is_in_force(self, now: float) -> bool:
        """Returns whether the process may take new work."""
        return self.freshness.is_in_force(now)

    def is_listed(self) -> bool:
        """Returns whether the copy lists this incarnation.

        A copy may be in force earlier, while the former incarnation or none
        is listed.
        """
        member = self._view.members.get(self._name)
        return member is not None and member.incarnation == self._incarnation

    def is_fenced(self) -> bool:
        """Returns whether the directory excludes this incarnation.

        It was declared dead or replaced, and the process has to restart with
        a new incarnation.
        """
        member = self._view.members.get(self._name)
        if member is None:
            return self._was_listed
        return member.incarnation > self._incarnation

    def make_poll(self, now: float) -> subscribing.Poll:
        """Returns the next poll, which has to be sent immediately.

        Its answer renews the lease from `now`.
        """
        self._sequence += 1
        self._sent_at[self._sequence] = now
        self._sent_at.pop(self._sequence - MAX_PENDING_POLLS, None)
        self.wants_more = False
        poll = subscribing.Poll(
            self._name,
            self._incarnation,
            self._sequence,
            self._view.revision,
        )
        if not self._chunks:
            return poll
        return poll._replace(
            snapshot_revision=self._chunks[0].revision, chunk=len(self._chunks)
        )

    def receive(
        self, message: subscribing.Delta | subscribing.SnapshotChunk
    ) -> tuple[subscribing.Change, ...]:
        """Applies a message to the copy.

        Returns:
            The changes of the copy, in order.
        """
        if isinstance(message, subscribing.SnapshotChunk):
            changes = self._receive_chunk(message)
        else:
            changes = self._receive_delta(message)
        if self.is_listed():
            self._was_listed = True
        return changes

    def _receive_delta(
        self, delta: subscribing.Delta
    ) -> tuple[subscribing.Change, ...]:
        known = self._view.revision
        if not delta.from_revision <= known:
            return ()
        fresh = tuple(
            change for change in delta.changes if change.revision > known
        )
        for change in fresh:
            self._view.apply(change)
            self._changes.append(change)
        self._renew(delta)
        return fresh

    def _renew(self, delta: subscribing.Delta) -> None:
        sent_at = self._sent_at.pop(delta.sequence, None)
        if sent_at is None:
            return
        if self._view.revision < delta.revision:
            self.wants_more = True
            return
        # A sender at a lower revision than this copy lags or has lost accepted
        # changes, so its answer does not prove that this copy is current.
        if delta.age_ms is None or self._view.revision > delta.revision:
            return
        self.freshness.renew(sent_at, delta.age_ms / 1000)

    def _receive_chunk(
        self, chunk: subscribing.SnapshotChunk
    ) -> tuple[subscribing.Change, ...]:
        if chunk.revision <= self._view.revision:
            self._chunks = []
            return ()
        if self._chunks and self._chunks[0].revision != chunk.revision:
            self._chunks = []
        if chunk.number != len(self._chunks):
            return ()
        self._chunks.append(chunk)
        self.wants_more = True
        if len(self._chunks) < chunk.count:
            return ()
        return self._install()

    def _install(self) -> tuple[subscribing.Change, ...]:
        before = self._view
        self._view = view_lib.View()
        for chunk in self._chunks:
            for change in chunk.changes:
                self._view.apply(change)
        self._view.revision = self._chunks[0].revision
        self._changes = change_list.ChangeList(self._view.revision)
        self._chunks = []
        return tuple(_list_differences(before, self._view))


def _list_differences(
    before: view_lib.View, after: view_lib.View
) -> t.Iterator[subscribing.Change]:
    for name in before.profiles.keys() - after.profiles.keys():
        yield subscribing.Change(after.revision, _Kind.PROFILE_REMOVED, name)
    for name in before.members.keys() - after.members.keys():
        yield subscribing.Change(after.revision, _Kind.MEMBER_GONE, name)
    for change in after.list_changes():
        if not _holds(before, change):
            yield change


def _holds(view: view_lib.View, change: subscribing.Change) -> bool:
    if change.kind is _Kind.PROFILE:
        return view.profiles.get(change.name) == change.profile
    if change.kind is _Kind.MEMBER:
        return view.members.get(change.name) == change.member
    shard = change.shard
    return shard is not None and view.shards.get(shard.number) == shard
