"""The directory: the state machine that the control replicas' log drives."""

from __future__ import annotations

import typing as t

import xxhash

from skylarkcleat.consensus import state_machine
from skylarkcleat.directory import answers as answers_lib
from skylarkcleat.directory import change_list
from skylarkcleat.directory import command as command_lib
from skylarkcleat.directory import history as history_lib
from skylarkcleat.directory import member_changes
from skylarkcleat.directory import profile_changes
from skylarkcleat.directory import result as result_lib
from skylarkcleat.directory import shard_changes
from skylarkcleat.directory import snapshot as snapshot_lib
from skylarkcleat.directory import source
from skylarkcleat.directory import state as state_lib
from skylarkcleat.directory import view as view_lib
from skylarkcleat.model import keeper_shard

DEFAULT_SHARD_COUNT = 16
# Revision 0 denotes a subscriber with an empty copy.
FIRST_REVISION = 1


class Directory(state_machine.StateMachine, source.Source):
    """Profiles, members and keeper shards, with who changed them.

    Commands are deterministic: the same ones in the same order produce the
    same state and results on every replica. Therefore every time is read
    from a command, never from a clock.
    """

    def __init__(
        self,
        shard_count: int = DEFAULT_SHARD_COUNT,
        changes_kept: int = change_list.CHANGES_KEPT,
    ):
        """Creates an empty directory.

        Args:
            shard_count: Into how many shards the job ids are divided; must
                be the same on every replica and never change.
            changes_kept: How many changes to keep for incremental updates.
        """
        self._shard_count = shard_count
        self._changes_kept = changes_kept
        self._state = state_lib.State(FIRST_REVISION, changes_kept)
        self._listeners: list[t.Callable[[], None]] = []
        for number in range(shard_count):
            shard = keeper_shard.KeeperShard(number, 0, (), (), 0)
            self.view.shards[number] = shard

    @property
    def view(self) -> view_lib.View:
        """The part that every process replicates."""
        return self._state.view

    @property
    def changes(self) -> change_list.ChangeList:
        """The latest changes of the view."""
        return self._state.changes

    @property
    def history(self) -> history_lib.History:
        """Who changed what, when and why."""
        return self._state.history

    def find_last_change(
        self, name: str
    ) -> snapshot_lib.LastProfileChange | None:
        """Returns the last change or removal of a profile."""
        return self._state.last_profile_changes.get(name)

    def add_listener(self, listener: t.Callable[[], None]) -> None:
        """Registers a function to call after each change of the view."""
        self._listeners.append(listener)

    def apply(self, index: int, command: bytes) -> bytes:
        """Executes one committed command and returns its encoded result."""
        decoded = command_lib.decode(command)
        self._state.time_ms = max(self._state.time_ms, decoded.at_ms)
        before = self.view.revision
        result = self._execute_command(decoded)
        if self.view.revision != before:
            self._notify()
        return result

    def capture(self) -> bytes:
        """Returns the whole state, for a snapshot."""
        state = self._state
        return snapshot_lib.encode(
            snapshot_lib.Snapshot(
                snapshot_lib.FORMAT,
                self._shard_count,
                state.view.revision,
                state.time_ms,
                state.view.list_changes(),
                list(state.last_profile_changes.values()),
                state.list_fences(),
                state.history.list_entries(),
                state.answers.list_answers(),
            )
        )

    def restore(self, snapshot: bytes) -> None:
        """Replaces the state with one that `capture` returned.

        Raises:
            snapshot_lib.UnusableSnapshotError: It is of another format or
                has another number of shards.
        """
        captured = snapshot_lib.decode(snapshot)
        if captured.shard_count != self._shard_count:
            raise snapshot_lib.UnusableSnapshotError(
                f"directory snapshot has {captured.shard_count} shards; "
                f"the settings specify {self._shard_count}"
            )
        self._state = _restore_state(captured, self._changes_kept)
        self._notify()

    def _notify(self) -> None:
        for listener in self._listeners:
            listener()

    def _execute_command(self, command: t.Any) -> bytes:
        author = getattr(command, "author", None)
        if author is None or not author.key:
            return self._execute(command)
        return self._execute_once(command, author)

    def _execute_once(
        self, command: t.Any, author: command_lib.Author
    ) -> bytes:
        digest = _digest(command)
        kept = self._state.answers.find(author.operator, author.key)
        if kept is None:
            answer = self._execute(command)
            self._state.answers.keep(
                answers_lib.KeptAnswer(
                    author.operator,
                    author.key,
                    digest,
                    self._state.time_ms,
                    answer,
                )
            )
            return answer
        if kept.digest != digest:
            return result_lib.encode(result_lib.KeyReused(author.key))
        return kept.result

    def _execute(self, command: command_lib.Command) -> bytes:
        applier = _APPLIERS[type(command)]
        return result_lib.encode(applier(self._state, command))


def _record_refusal(
    state: state_lib.State, command: command_lib.RecordRefusal
) -> result_lib.Result:
    state.record(
        command.at_ms,
        history_lib.Verb.REFUSED,
        command.subject,
        command.author,
        command.detail,
    )
    return result_lib.Accepted(state.view.revision)


_Applier = t.Callable[[state_lib.State, t.Any], result_lib.Result]

_APPLIERS: dict[type, _Applier] = {
    command_lib.ApplyProfile: profile_changes.apply_profile,
    command_lib.RemoveProfile: profile_changes.remove_profile,
    command_lib.DrainMember: member_changes.drain_member,
    command_lib.UpdateMembers: member_changes.update_members,
    command_lib.UpdateShards: shard_changes.update_shards,
    command_lib.RecordRefusal: _record_refusal,
}


def _restore_state(
    captured: snapshot_lib.Snapshot, changes_kept: int
) -> state_lib.State:
    state = state_lib.State(captured.revision, changes_kept)
    state.time_ms = captured.time_ms
    for change in captured.entries:
        state.view.apply(change)
    for last_change in captured.last_profile_changes:
        state.last_profile_changes[last_change.name] = last_change
    for ref in captured.fences:
        state.fence(ref)
    for entry in captured.history:
        state.history.record(entry)
    for answer in captured.answers:
        state.answers.keep(answer)
    return state


def _digest(command: t.Any) -> int:
    """Returns a digest of a command without its time and reason.

    A resend may differ in these and still is the same command.
    """
    author = command.author._replace(reason="")
    content = command._replace(at_ms=0, author=author)
    return xxhash.xxh3_64_intdigest(command_lib.encode(content))
