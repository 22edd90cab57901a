"""The status of one control replica."""

from __future__ import annotations

import typing as t

from skylarkcleat.consensus import context as context_lib
from skylarkcleat.consensus import identity as identity_lib


class Status(t.NamedTuple):
    """The state of one replica and its view of the cluster.

    Attributes:
        identity: The replica.
        cluster: The cluster's name; empty before the replica is in one.
        role: `leader`, `candidate` or `follower`.
        leader: The name of the replica that leads; empty if none is known.
        term: The latest term it has seen.
        voters: The voters in the latest membership of its log.
        learners: The learners in that membership.
        last_index: The last position of its log.
        commit_index: The last position known to be committed.
        snapshot_index: The position of its latest snapshot; -1 if none.
        is_repaired: Whether the replica votes, no membership change is in
            progress, and no voter that was removed because it lost its disk
            still waits for its replacement.
    """

    identity: identity_lib.Identity
    cluster: str
    role: str
    leader: str
    term: int
    voters: tuple[identity_lib.Identity, ...]
    learners: tuple[identity_lib.Identity, ...]
    last_index: int
    commit_index: int
    snapshot_index: int
    is_repaired: bool


def create_status(context: context_lib.Context) -> Status:
    """Creates the status of a replica from its state."""
    membership = context.membership
    settled = context.membership_index <= context.commit
    return Status(
        context.identity,
        context.cluster,
        context.role.value,
        context.leader.name if context.leader else "",
        context.term,
        membership.voters,
        membership.learners,
        context.log.last_index,
        context.commit,
        context.snapshot.index if context.snapshot else -1,
        context.is_voter and settled and not membership.replacing,
    )
