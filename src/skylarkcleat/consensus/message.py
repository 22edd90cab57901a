"""Messages between the replicas of one cluster."""

from __future__ import annotations

import typing as t

from skylarkcleat.consensus import entry as entry_lib
from skylarkcleat.consensus import identity as identity_lib
from skylarkcleat.consensus import snapshot as snapshot_lib


class VoteRequest(t.NamedTuple):
    """Requests a vote.

    Attributes:
        term: The term in which the candidate would lead.
        last_index: The last position of the candidate's log.
        last_term: The term of that position.
        pre_vote: Whether this only asks if the vote would be granted.
        forced: Whether the leader requested this election, so that a recent
            message from the leader is no reason to refuse.
    """

    term: int
    last_index: int
    last_term: int
    pre_vote: bool
    forced: bool = False


class VoteReply(t.NamedTuple):
    """Answers a `VoteRequest`.

    `term` is the requested term if the vote is granted, else the voter's own.
    """

    term: int
    granted: bool
    pre_vote: bool


class AppendRequest(t.NamedTuple):
    """Replicates entries; without entries it is a heartbeat.

    Attributes:
        term: The leader's term.
        previous_index: The position before the first entry.
        previous_term: The term of that position.
        entries: Consecutive entries.
        commit: The last position that the leader knows to be committed.
        read_round: The leader's latest read round, which the reply repeats.
        sent_at: The leader's clock, which the reply repeats.
    """

    term: int
    previous_index: int
    previous_term: int
    entries: tuple[entry_lib.Entry, ...]
    commit: int
    read_round: int
    sent_at: float


class AppendReply(t.NamedTuple):
    """Answers an `AppendRequest` or the last chunk of a snapshot.

    Attributes:
        term: The follower's term.
        matched: Whether the follower's durable log equals the leader's up
            to `index`.
        index: The matched position, or else the position after which the
            leader tries again; -1 requests a snapshot.
        read_round: The read round of the request.
        sent_at: The clock of the request.
    """

    term: int
    matched: bool
    index: int
    read_round: int
    sent_at: float


class HeartbeatReply(t.NamedTuple):
    """Confirms that the sender follows, without waiting for its disk.

    Attributes:
        term: The follower's term.
        read_round: The read round of the request.
        sent_at: The clock of the request.
    """

    term: int
    read_round: int
    sent_at: float


class SnapshotChunk(t.NamedTuple):
    """Carries a part of a snapshot's data.

    Attributes:
        term: The leader's term.
        header: The snapshot without its data.
        checksum: The crc32c of the whole data.
        size: The size of the whole data, in bytes.
        offset: The position of this part in the data, in bytes.
        data: This part of the data.
        read_round: The leader's latest read round.
        sent_at: The leader's clock.
    """

    term: int
    header: snapshot_lib.Snapshot
    checksum: int
    size: int
    offset: int
    data: bytes
    read_round: int
    sent_at: float


class SnapshotReply(t.NamedTuple):
    """Requests the next chunk of a snapshot.

    Attributes:
        term: The follower's term.
        index: The position of the snapshot in the log.
        offset: The position of the next chunk in the data, in bytes.
        read_round: The read round of the request.
        sent_at: The clock of the request.
    """

    term: int
    index: int
    offset: int
    read_round: int
    sent_at: float


class ReadRequest(t.NamedTuple):
    """Asks the leader for a commit position no older than this request."""

    number: int


class ReadReply(t.NamedTuple):
    """Answers a `ReadRequest` once a majority has confirmed the leader.

    Attributes:
        number: The number of the request.
        index: The last committed position.
    """

    number: int
    index: int


class Announcement(t.NamedTuple):
    """Announces that the sender is in no cluster, or was removed from it.

    Attributes:
        may_bootstrap: Whether the sender may bootstrap a new cluster.
    """

    may_bootstrap: bool


class Leaving(t.NamedTuple):
    """Tells the leader that the sender is about to stop."""


class Bootstrap(t.NamedTuple):
    """Sends an empty replica the first snapshot of its new cluster."""

    snapshot: snapshot_lib.Snapshot


class Campaign(t.NamedTuple):
    """Asks a follower to campaign at once, since its leader is resigning."""

    term: int


Replication = AppendRequest | SnapshotChunk
"""Messages from a leader to its followers."""

FollowerReply = AppendReply | HeartbeatReply | SnapshotReply
"""Replies of followers to their leader."""

Message = (
    VoteRequest
    | VoteReply
    | AppendRequest
    | AppendReply
    | HeartbeatReply
    | SnapshotChunk
    | SnapshotReply
    | ReadRequest
    | ReadReply
    | Announcement
    | Leaving
    | Bootstrap
    | Campaign
)


class Envelope(t.NamedTuple):
    """A message with its sender and receiver.

    Attributes:
        cluster: The sender's cluster; empty if it is in none.
        sender: The replica that sends the message.
        receiver: The replica that it is for; an empty disk means any replica
            of that name.
        message: The message.
    """

    cluster: str
    sender: identity_lib.Identity
    receiver: identity_lib.Identity
    message: Message
