"""The part of the directory that every process replicates."""

from __future__ import annotations

import typing as t

from skylarkcleat.model import keeper_shard
from skylarkcleat.model import member as member_lib
from skylarkcleat.model import profile as profile_lib
from skylarkcleat.protocol import subscribing

_Kind = subscribing.ChangeKind


class View:
    """Profiles, members and keeper shards at one revision.

    Attributes:
        revision: Increases by one with each change.
        profiles: The profiles by name.
        members: The members by name.
        shards: The keeper shards by number; one without keepers is absent.
    """

    def __init__(self):
        self.revision = 0
        self.profiles: dict[str, profile_lib.Profile] = {}
        self.members: dict[str, member_lib.Member] = {}
        self.shards: dict[int, keeper_shard.KeeperShard] = {}

    def apply(self, change: subscribing.Change) -> None:
        """Applies a change and sets the view's revision to the change's."""
        self.revision = change.revision
        if change.kind is _Kind.PROFILE:
            self.profiles[change.name] = t.cast(
                profile_lib.Profile, change.profile
            )
        elif change.kind is _Kind.PROFILE_REMOVED:
            self.profiles.pop(change.name, None)
        elif change.kind is _Kind.MEMBER:
            self.members[change.name] = t.cast(member_lib.Member, change.member)
        elif change.kind is _Kind.MEMBER_GONE:
            self.members.pop(change.name, None)
        else:
            shard = t.cast(keeper_shard.KeeperShard, change.shard)
            self.shards[shard.number] = shard

    def list_changes(self) -> list[subscribing.Change]:
        """Returns changes that create this view from an empty one."""
        revision = self.revision
        changes = [
            subscribing.Change(revision, _Kind.PROFILE, name, profile=profile)
            for name, profile in self.profiles.items()
        ]
        changes += [
            subscribing.Change(revision, _Kind.MEMBER, name, member=member)
            for name, member in self.members.items()
        ]
        changes += [
            subscribing.Change(revision, _Kind.SHARD, shard=shard)
            for shard in self.shards.values()
        ]
        return changes
