"""Messages between the replicas of one cluster."""

from __future__ import annotations

import typing as t

from skylarkcleat.consensus import entry as entry_lib
from skylarkcleat.consensus import identity as identity_lib
from skylarkcleat.consensus import snapshot as snapshot_lib


class VoteRequest(t.NamedTuple):
    """Asks for a vote.

    Attributes:
        term: The term to lead.
        last_index: The last position of the candidate's log.
        last_term: The term of that position.
        trial: Whether this only asks if the vote would be given (pre-vote).
        forced: Whether the leader asked for this election, so that hearing
            it is no reason to refuse.
    """

    term: int
    last_index: int
    last_term: int
    pre_vote: bool
    forced: bool = False


class VoteReply(t.NamedTuple):
    """Answers a `VoteRequest`; `term` is the requested one if granted."""

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
        round: The leader's latest read round, for the answer.
        sent_at: The leader's clock, for the answer.
    """

    term: int
    previous_index: int
    previous_term: int
    entries: tuple[entry_lib.Entry, ...]
    commit: int
    read_round: int
    sent_at: float


class AppendReply(t.NamedTuple):
    """Answers an `AppendRequest` or the last piece of a snapshot.

    Attributes:
        term: The follower's term.
        matched: Whether the follower's durable log equals the leader's up
            to `index`.
        index: The matched position, or the position after which the leader
            tries again; -1 asks for a snapshot.
        round: The read round of the request.
        sent_at: The clock of the request.
    """

    term: int
    matched: bool
    index: int
    read_round: int
    sent_at: float


class HeartbeatReply(t.NamedTuple):
    """Says that the sender follows; it leaves without waiting for a sync.

    Attributes:
        term: The follower's term.
        round: The read round of the request.
        sent_at: The clock of the request.
    """

    term: int
    read_round: int
    sent_at: float


class SnapshotChunk(t.NamedTuple):
    """Carries a part of a snapshot.

    Attributes:
        term: The leader's term.
        header: The snapshot without its data.
        checksum: The crc32c of all the data.
        size: The bytes of all the data.
        offset: Where this part begins.
        data: This part.
        round: The leader's latest read round.
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
    """Asks for the next part of a snapshot.

    Attributes:
        term: The follower's term.
        index: The position of the snapshot.
        offset: Where the next part begins.
        round: The read round of the request.
        sent_at: The clock of the request.
    """

    term: int
    index: int
    offset: int
    read_round: int
    sent_at: float


class ReadRequest(t.NamedTuple):
    """Asks the leader how far the log was committed when it got this."""

    number: int


class ReadReply(t.NamedTuple):
    """Answers a `ReadRequest` once a majority still follows the leader.

    Attributes:
        number: The number of the request.
        index: The last committed position.
    """

    number: int
    index: int


class Announcement(t.NamedTuple):
    """Says that the sender's disk is empty.

    Attributes:
        founding: Whether the sender may found a new cluster.
    """

    may_bootstrap: bool


class Bootstrap(t.NamedTuple):
    """Hands the snapshot that founds a cluster to an empty replica in it."""

    snapshot: snapshot_lib.Snapshot


class Campaign(t.NamedTuple):
    """Asks a follower to campaign at once, since its leader is stopping."""

    term: int


Replication = AppendRequest | SnapshotChunk
"""What a leader sends its followers."""

FollowerReply = AppendReply | HeartbeatReply | SnapshotReply
"""What followers answer."""

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
    | Bootstrap
    | Campaign
)


class Envelope(t.NamedTuple):
    """A message on its way.

    Attributes:
        cluster: The sender's cluster; empty if it is in none.
        sender: Who sends it.
        receiver: Whom it is for; an empty disk means any of that name.
        message: The message.
    """

    cluster: str
    sender: identity_lib.Identity
    receiver: identity_lib.Identity
    message: Message
