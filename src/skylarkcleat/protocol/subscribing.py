"""Messages between control and the processes that follow its directory.

Control is the replicated service that holds the directory: the profiles, the
members that are up and the keepers of each shard. A subscriber polls a control
replica, which sends changes, or the whole state in chunks.
"""

from __future__ import annotations

import enum
import typing as t

from skylarkcleat.model import keeper_shard
from skylarkcleat.model import member as member_lib
from skylarkcleat.model import profile as profile_lib
from skylarkcleat.protocol import tagged

VERSION = 1


class ChangeKind(enum.StrEnum):
    """What a change to the directory adds, replaces or removes."""

    PROFILE = "profile"
    PROFILE_REMOVED = "profile-removed"
    MEMBER = "member"
    MEMBER_GONE = "member-gone"
    SHARD = "shard"


class Change(t.NamedTuple):
    """One change to the directory.

    Attributes:
        revision: The directory's revision after it.
        kind: What it changes.
        name: The profile or member; empty for a shard.
        profile: The new profile, for `PROFILE`.
        member: The new member, for `MEMBER`.
        shard: The new keepers, for `SHARD`.
    """

    revision: int
    kind: ChangeKind
    name: str = ""
    profile: profile_lib.Profile | None = None
    member: member_lib.Member | None = None
    shard: keeper_shard.KeeperShard | None = None


class Poll(t.NamedTuple):
    """Asks for changes, and shows that the subscriber is alive.

    Attributes:
        name: The subscriber's name.
        incarnation: Its incarnation.
        sequence: Grows with each poll of the subscriber, from 1.
        known_revision: The revision that the subscriber holds.
        snapshot_revision: The revision of the snapshot that the subscriber is
            collecting; 0 if it collects none.
        chunk: The number of the next chunk that it needs.
    """

    name: str
    incarnation: int
    sequence: int
    known_revision: int
    snapshot_revision: int = 0
    chunk: int = 0


class Delta(t.NamedTuple):
    """The changes from one revision to a later one.

    Attributes:
        sequence: The poll that it answers; 0 if it is pushed.
        from_revision: The changes start after this revision.
        to_revision: The revision after the last change.
        revision: The revision that the sender held.
        age_ms: Time since the sender's state was confirmed to be complete, in
            milliseconds; None if it never was, or in a push.
        changes: The changes in the order of their revisions.
    """

    sequence: int
    from_revision: int
    to_revision: int
    revision: int
    age_ms: float | None
    changes: tuple[Change, ...] = ()


class SnapshotChunk(t.NamedTuple):
    """A chunk of the whole state, for a subscriber that is far behind.

    Attributes:
        sequence: The poll that it answers.
        revision: The revision of the snapshot.
        number: The position of this chunk, from 0.
        count: The number of chunks.
        changes: The entries, as changes that would create them.
    """

    sequence: int
    revision: int
    number: int
    count: int
    changes: tuple[Change, ...]


class MemberRef(t.NamedTuple):
    """Identifies one incarnation of a process."""

    name: str
    incarnation: int


class Announce(t.NamedTuple):
    """Announces that a process has started and accepts work."""

    member: member_lib.Member


class Leave(t.NamedTuple):
    """Announces that a process takes no new work and is about to stop."""

    name: str
    incarnation: int


class ShardReady(t.NamedTuple):
    """Reports that the keepers of an epoch hold every claim of the shard.

    Attributes:
        number: The shard's number.
        epoch: The epoch whose keepers have copied the claims.
    """

    number: int
    epoch: int


class ShardLost(t.NamedTuple):
    """Reports that the claims of earlier epochs can't be collected.

    Attributes:
        number: The shard's number.
        epoch: The epoch whose keepers could not copy the claims.
    """

    number: int
    epoch: int


class Report(t.NamedTuple):
    """What a replica received since its last report, for the leader.

    Attributes:
        polled: The incarnations that polled.
        announced: The members that announced themselves.
        leaving: The incarnations that are about to stop.
        ready: The shards whose claims are copied.
        lost: The shards whose claims can't be collected.
    """

    polled: tuple[MemberRef, ...] = ()
    announced: tuple[member_lib.Member, ...] = ()
    leaving: tuple[MemberRef, ...] = ()
    ready: tuple[ShardReady, ...] = ()
    lost: tuple[ShardLost, ...] = ()


Message = (
    Poll
    | Delta
    | SnapshotChunk
    | Announce
    | Leave
    | ShardReady
    | ShardLost
    | Report
)

_CODEC = tagged.TaggedCodec(
    "subscription",
    VERSION,
    {
        1: Poll,
        2: Delta,
        3: SnapshotChunk,
        4: Announce,
        5: Leave,
        6: ShardReady,
        7: ShardLost,
        8: Report,
    },
)


def encode(message: Message) -> bytes:
    """Returns the frame that holds a message."""
    return _CODEC.encode(message)


def decode(frame: bytes) -> Message:
    """Returns the message that a frame holds.

    Raises:
        tagged.MalformedMessageError: The frame holds no message.
    """
    return _CODEC.decode(frame)
