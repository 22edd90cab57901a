"""Messages between control and the processes that follow its directory."""

from __future__ import annotations

import enum
import typing as t

from skylarkcleat.model import keeper_shard
from skylarkcleat.model import member as member_lib
from skylarkcleat.model import profile as profile_lib
from skylarkcleat.protocol import tagged

VERSION = 1


class ChangeKind(enum.StrEnum):
    """What a change does to the directory."""

    PROFILE = "profile"
    PROFILE_REMOVED = "profile-removed"
    MEMBER = "member"
    MEMBER_GONE = "member-gone"
    SHARD = "shard"


class Change(t.NamedTuple):
    """One effect on the directory.

    Attributes:
        revision: The directory's revision after it.
        kind: What it does.
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
    """Asks for what changed, and tells that the subscriber lives.

    Attributes:
        name: The subscriber's name.
        incarnation: Its incarnation.
        sequence: Grows with each poll of the subscriber, from 1.
        known_revision: The revision that the subscriber holds.
        snapshot_revision: The revision of the whole state that the subscriber
            is collecting; 0 if it collects none.
        chunk: The number of the piece that it lacks next.
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
        age_ms: How long ago the sender's state was known to be complete;
            None if it never was, or in a push.
        changes: The changes in the order of their revisions.
    """

    sequence: int
    from_revision: int
    to_revision: int
    revision: int
    age_ms: float | None
    changes: tuple[Change, ...] = ()


class SnapshotChunk(t.NamedTuple):
    """A part of the whole state, for a subscriber that is far behind.

    Attributes:
        sequence: The poll that it answers.
        revision: The revision of the whole state.
        number: The position of this piece, from 0.
        count: How many pieces there are.
        changes: The entries, as changes that would create them.
    """

    sequence: int
    revision: int
    number: int
    count: int
    changes: tuple[Change, ...]


class MemberRef(t.NamedTuple):
    """Names one incarnation of a process."""

    name: str
    incarnation: int


class Announce(t.NamedTuple):
    """Says that a process has started and can be used."""

    member: member_lib.Member


class Leave(t.NamedTuple):
    """Says that a process takes no new work and is about to stop."""

    name: str
    incarnation: int


class ShardReady(t.NamedTuple):
    """Says that the keepers of an epoch hold every claim of the shard.

    Attributes:
        number: The shard's number.
        epoch: The epoch whose keepers have copied the claims.
    """

    number: int
    epoch: int


class ShardLost(t.NamedTuple):
    """Says that the claims of the epochs before can't be collected.

    Attributes:
        number: The shard's number.
        epoch: The epoch whose keepers could not copy the claims.
    """

    number: int
    epoch: int


class Report(t.NamedTuple):
    """What a replica heard since its last report, for the leader.

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
