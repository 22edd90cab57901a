"""Actions that the job protocol requests from the daemon that runs it."""

from __future__ import annotations

import typing as t

from skylarkcleat.model import failure as failure_lib
from skylarkcleat.protocol import claiming


class SendTo(t.NamedTuple):
    """Requests sending a message to one incarnation of a member."""

    member: claiming.MemberRef
    message: t.NamedTuple


class Ready(t.NamedTuple):
    """Requests choosing agents of the cohort for tasks and placing them.

    Attributes:
        job: The job's identifier.
        tasks: Positions in the job of the tasks that may be placed.
        epoch: The epoch of the claim.
        cohort: The agents that may be chosen.
        profile: The profile's name.
    """

    job: str
    tasks: tuple[int, ...]
    epoch: int
    cohort: tuple[claiming.MemberRef, ...]
    profile: str


class Withdrawn(t.NamedTuple):
    """Requests no further placement for a job: `place` refuses its tasks."""

    job: str


class Finished(t.NamedTuple):
    """Requests answering a caller; issued once for each caller.

    Attributes:
        caller: The caller named in its submission.
        job: The job's identifier.
        outcome: The answers of all tasks, or why there are none.
    """

    caller: str
    job: str
    outcome: claiming.Answers | failure_lib.Failure


class ShardServing(t.NamedTuple):
    """Reports to control that a shard's epoch decides claims."""

    shard: int
    shard_epoch: int


class ShardLost(t.NamedTuple):
    """Reports to control that a shard's claims cannot be recovered.

    Control replies with a new epoch that has no previous keepers and a
    horizon: a time after the last moment at which the previous keepers could
    decide a claim.
    """

    shard: int
    shard_epoch: int


Effect = SendTo | Ready | Withdrawn | Finished | ShardServing | ShardLost
