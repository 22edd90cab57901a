"""Messages that decide which entry owns a job, and join other entries to it.

An entry is a process that accepts jobs. It becomes a job's owner by a claim,
which a shard's keepers (agents that replicate claims) decide. An entry that
receives a copy of the job joins it: it asks the owner for the outcome.
"""

from __future__ import annotations

import typing as t

from skylarkcleat.model import cause as cause_lib
from skylarkcleat.model import failure as failure_lib


class MemberRef(t.NamedTuple):
    """Identifies one incarnation of a member."""

    name: str
    incarnation: int


class Claim(t.NamedTuple):
    """Makes an entry the owner of a job for one epoch.

    Attributes:
        job: The job's identifier.
        epoch: 1 for the first claim; each later claim of the job adds one.
        digest: The digest of the job's body.
        owner: The entry that owns the job.
        address: The owner's address.
        nonce: Distinguishes the owner's records of the same job.
        cohort: The agents that the job's tasks may be sent to; includes every
            agent of the previous claim.
        tasks: The number of tasks of the job.
        profile: The profile's name.
        repeatable: Whether its task may start again after a failure; if
            False, it stays so in later claims.
        closed: Why the job ended permanently without a start; None if it has
            not.
    """

    job: str
    epoch: int
    digest: str
    owner: MemberRef
    address: str
    nonce: int
    cohort: tuple[MemberRef, ...]
    tasks: int
    profile: str
    repeatable: bool = False
    closed: cause_lib.Cause | None = None


class Propose(t.NamedTuple):
    """Asks a shard's primary keeper to decide a claim.

    Attributes:
        shard: The number of the shard that holds the job's identifier.
        shard_epoch: The latest epoch of the shard that the entry received.
        claim: Decided if its epoch is one more than that of the job's last
            claim.
    """

    shard: int
    shard_epoch: int
    claim: Claim


class Decided(t.NamedTuple):
    """Sends an entry the claim in force, its own or another entry's."""

    claim: Claim


class ProposalRefused(t.NamedTuple):
    """Reports that the keepers can't decide a claim for a job, ever."""

    job: str
    nonce: int
    failure: failure_lib.Failure


class Redirect(t.NamedTuple):
    """Reports that a keeper does not serve a shard at the requested epoch."""

    job: str
    shard: int
    shard_epoch: int


class Replicate(t.NamedTuple):
    """Asks a backup keeper to record a claim."""

    shard: int
    shard_epoch: int
    claim: Claim


class Replicated(t.NamedTuple):
    """Confirms to the primary keeper that a backup recorded a claim."""

    shard: int
    shard_epoch: int
    job: str
    epoch: int


class Collect(t.NamedTuple):
    """Asks a keeper of the previous epoch for a chunk of its claims.

    The receiver refuses every lower shard epoch from then on.
    """

    shard: int
    shard_epoch: int
    offset: int


class Collected(t.NamedTuple):
    """Carries a chunk of a keeper's claims.

    Attributes:
        shard: The shard's number.
        shard_epoch: The epoch that collects.
        installed: The epoch whose claims the sender holds; 0 for none.
        offset: The position of the first claim of the chunk.
        total: The number of claims in all chunks.
        claims: The chunk.
    """

    shard: int
    shard_epoch: int
    installed: int
    offset: int
    total: int
    claims: tuple[Claim, ...]


class Install(t.NamedTuple):
    """Carries a chunk of the claims that a new epoch starts from."""

    shard: int
    shard_epoch: int
    offset: int
    total: int
    claims: tuple[Claim, ...]


class Installed(t.NamedTuple):
    """Reports to the primary keeper how many claims a backup received.

    Attributes:
        shard: The shard's number.
        shard_epoch: The epoch that is installed.
        received: Claims received without a gap.
        done: Whether the backup holds them all.
    """

    shard: int
    shard_epoch: int
    received: int
    done: bool


class Join(t.NamedTuple):
    """Asks a job's owner for the outcome, now or once it is available.

    Attributes:
        job: The job's identifier.
        epoch: The epoch of the claim that names the receiver as owner.
        nonce: The nonce of that claim.
        budget_ms: How long the sender waits, in milliseconds.
    """

    job: str
    epoch: int
    nonce: int
    budget_ms: int


class JoinPending(t.NamedTuple):
    """Reports that the job is in progress at its owner."""

    job: str
    nonce: int


class JoinUnknown(t.NamedTuple):
    """Reports that the receiver of a `Join` has no record of the claim."""

    job: str
    epoch: int
    nonce: int


class Answers(t.NamedTuple):
    """A job's complete answer: the runners' bodies in task order."""

    bodies: tuple[bytes, ...]


class JoinAnswers(t.NamedTuple):
    """Sends a job's complete answer to an entry that joined it."""

    job: str
    nonce: int
    bodies: tuple[bytes, ...]


class JoinFailure(t.NamedTuple):
    """Reports to an entry that joined a job why it has no answer."""

    job: str
    nonce: int
    failure: failure_lib.Failure


KeeperMessage = (
    Propose | Replicate | Replicated | Collect | Collected | Install | Installed
)
EntryMessage = (
    Decided
    | ProposalRefused
    | Redirect
    | Join
    | JoinPending
    | JoinUnknown
    | JoinAnswers
    | JoinFailure
)
