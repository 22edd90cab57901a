"""What the leading control replica proposes about members and shards.

It declares members dead that stopped polling, adds and marks those that
announced themselves or are leaving, and assigns keepers to shards.
"""

from __future__ import annotations

from skylarkcleat.directory import change_list
from skylarkcleat.directory import command as command_lib
from skylarkcleat.directory import directory as directory_lib
from skylarkcleat.directory import liveness as liveness_lib
from skylarkcleat.directory import shard_assignment
from skylarkcleat.model import keeper_shard
from skylarkcleat.protocol import subscribing

_PROFILE_KINDS = frozenset(
    {
        subscribing.ChangeKind.PROFILE,
        subscribing.ChangeKind.PROFILE_REMOVED,
    }
)


class Duties:
    """Plans the commands that the leader proposes."""

    def __init__(
        self,
        directory: directory_lib.Directory,
        liveness: liveness_lib.MemberLiveness,
    ):
        """Creates the state of a replica that does not lead yet.

        Args:
            directory: The replica's state.
            liveness: Which members poll.
        """
        self._directory = directory
        self._liveness = liveness
        self._settled_revision = 0

    def start_leading(self, now: float) -> None:
        """Starts to lead.

        Args:
            now: The monotonic clock, in seconds.
        """
        self._liveness.start_leading(now)
        self._settled_revision = 0

    def plan(
        self, report: subscribing.Report, now: float, now_ms: int
    ) -> list[command_lib.Command]:
        """Returns the commands to propose.

        Args:
            report: What all replicas received since the last call.
            now: The monotonic clock, in seconds.
            now_ms: The wall clock, in milliseconds since the epoch.
        """
        self._liveness.record_seen(report.polled, now)
        members = self._directory.view.members.values()
        dead = self._liveness.find_unresponsive(members, now)
        commands: list[command_lib.Command] = []
        if dead or report.announced or report.leaving:
            commands.append(
                command_lib.UpdateMembers(
                    now_ms, report.announced, report.leaving, dead
                )
            )
        assigned = self._assign(self._find_lost(report), now_ms)
        if assigned or report.ready:
            commands.append(
                command_lib.UpdateShards(now_ms, assigned, report.ready)
            )
        return commands

    def _find_lost(self, report: subscribing.Report) -> set[int]:
        shards = self._directory.view.shards
        return {
            lost.number
            for lost in report.lost
            if lost.number in shards and shards[lost.number].epoch == lost.epoch
        }

    def _has_changed(self) -> bool:
        """Returns whether members or shards changed since the last assignment.

        Profile changes do not count: they need no assignment, which would
        cost the leader a pass over all shards.
        """
        changes = self._directory.changes
        if self._settled_revision < changes.start:
            return True
        missing = changes.list_after(
            self._settled_revision, change_list.CHANGES_KEPT
        )
        return any(change.kind not in _PROFILE_KINDS for change in missing)

    def _assign(
        self, lost: set[int], now_ms: int
    ) -> tuple[keeper_shard.KeeperShard, ...]:
        view = self._directory.view
        if not lost and not self._has_changed():
            self._settled_revision = view.revision
            return ()
        assigned = shard_assignment.assign_shards(
            view.members.values(), view.shards.values(), now_ms, lost
        )
        if not assigned:
            self._settled_revision = view.revision
        return assigned
