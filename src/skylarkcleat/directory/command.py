"""The commands that change the directory, and their encoding in the log.

Times are read from the proposer's wall clock, in milliseconds since the epoch.
A command is encoded as a number for its type and its fields by position.
"""

from __future__ import annotations

import typing as t

from skylarkcleat.model import keeper_shard
from skylarkcleat.model import member as member_lib
from skylarkcleat.model import profile as profile_lib
from skylarkcleat.protocol import subscribing
from skylarkcleat.protocol import tagged

VERSION = 1


class Author(t.NamedTuple):
    """Who requests a change, and why.

    Attributes:
        operator: The operator's name, or the process that acts by itself.
        reason: The reason that the operator gave.
        key: The idempotency key: a repeated command with the same operator
            and key returns the first one's result; empty for none.
    """

    operator: str
    reason: str = ""
    key: str = ""


class ApplyProfile(t.NamedTuple):
    """Creates or replaces a profile.

    Attributes:
        author: Who requests it.
        at_ms: When.
        expected_version: The version to replace; 0 to create.
        profile: The new content; its version is ignored.
    """

    author: Author
    at_ms: int
    expected_version: int
    profile: profile_lib.Profile


class RemoveProfile(t.NamedTuple):
    """Removes a profile of the expected version."""

    author: Author
    at_ms: int
    expected_version: int
    name: str


class DrainMember(t.NamedTuple):
    """Marks a member as leaving, so that it is assigned no new work."""

    author: Author
    at_ms: int
    name: str


class UpdateMembers(t.NamedTuple):
    """Adds, marks and removes members, as the leader observed them.

    Attributes:
        at_ms: When.
        announced: Members that started.
        leaving: Incarnations that are about to stop.
        dead: Incarnations that stopped polling.
    """

    at_ms: int
    announced: tuple[member_lib.Member, ...] = ()
    leaving: tuple[subscribing.MemberRef, ...] = ()
    dead: tuple[subscribing.MemberRef, ...] = ()


class UpdateShards(t.NamedTuple):
    """Changes the keepers of shards.

    Attributes:
        at_ms: When.
        assigned: Shards with new keepers; a shard is ignored unless its
            epoch is exactly one past the directory's.
        ready: Shards whose claims the new keepers have copied.
    """

    at_ms: int
    assigned: tuple[keeper_shard.KeeperShard, ...] = ()
    ready: tuple[subscribing.ShardReady, ...] = ()


class RecordRefusal(t.NamedTuple):
    """Records that a change was refused before it was proposed.

    Attributes:
        author: Who requested it, as far as that is known.
        at_ms: When.
        subject: What was to be changed.
        detail: Why it was refused.
    """

    author: Author
    at_ms: int
    subject: str
    detail: str


Command = (
    ApplyProfile
    | RemoveProfile
    | DrainMember
    | UpdateMembers
    | UpdateShards
    | RecordRefusal
)

_CODEC = tagged.TaggedCodec(
    "directory command",
    VERSION,
    {
        1: ApplyProfile,
        2: RemoveProfile,
        3: DrainMember,
        4: UpdateMembers,
        5: UpdateShards,
        6: RecordRefusal,
    },
)


def encode(command: Command) -> bytes:
    """Returns the log entry that holds a command."""
    return _CODEC.encode(command)


def decode(entry: bytes) -> Command:
    """Returns the command that a log entry holds.

    Raises:
        tagged.MalformedMessageError: The entry holds no command.
    """
    return _CODEC.decode(entry)
