"""Decides which replica to promote or remove next.

A voter that does not answer may be gone for good, cut off or frozen. It is
exchanged for a learner: the learner is promoted first, so that a voter that
comes back still counts if another one loses its disk meanwhile. A voter whose
disk is known to be lost is removed first, so that no majority ever needs it.
Each step follows from the membership alone, so that a new leader completes
what its predecessor began.
"""

from __future__ import annotations

import enum
import typing as t

from skylarkcleat.consensus import identity as identity_lib
from skylarkcleat.consensus import membership as membership_lib

MIN_VOTERS = 3
"""Fewer would not outlast the loss of one."""


class Reason(enum.StrEnum):
    """Why a replica is promoted or removed."""

    DISK_LOST = "its disk is lost"
    LEAVING = "it is about to stop"
    SILENT = "it does not answer"
    SURPLUS = "there are more voters than needed"
    SUCCESSOR = "it has caught up"


class Standing(t.NamedTuple):
    """What the leader knows of a replica.

    Attributes:
        is_silent: Whether it has not answered for `Limits.silent_s`.
        is_leaving: Whether it is about to stop.
        has_caught_up: Whether it answers and lacks few entries.
    """

    is_silent: bool = False
    is_leaving: bool = False
    has_caught_up: bool = False


class Change(t.NamedTuple):
    """A change of the membership.

    Attributes:
        membership: The next membership.
        replica: The replica that it concerns.
        reason: Why.
    """

    membership: membership_lib.Membership
    replica: identity_lib.Identity
    reason: Reason


Standings = t.Mapping[identity_lib.Identity, Standing]


def count_voters(borne_losses: int) -> int:
    """Returns how many replicas have to vote for some losses to be borne."""
    return max(MIN_VOTERS, 2 * borne_losses + 1)


class MembershipPlan:
    """Picks the next change, one replica at a time.

    Args:
        membership: The present membership.
        standings: What the leader knows of all other replicas.
        leader: The leader, which is never removed.
    """

    def __init__(
        self,
        membership: membership_lib.Membership,
        standings: Standings,
        leader: identity_lib.Identity,
    ) -> None:
        self._membership = membership
        self._standings = standings
        self._leader = leader

    def find_repair(self) -> Change | None:
        """Returns the next step of replacing a voter by one of its name.

        For clusters whose operators decide who votes.
        """
        membership = self._membership
        for learner in self._list_successors():
            voter = membership.find_voter(learner.name)
            if voter is not None:
                next_membership = membership.begin_replacement(voter)
                return Change(next_membership, voter, Reason.DISK_LOST)
            if learner.name in membership.replacing:
                return self._promote(learner)
        return None

    def find_change(self, voters: int) -> Change | None:
        """Returns the next step towards a number of voters that all answer.

        Never leads to fewer voters, but for the time between the removal of
        a lost disk and the promotion of the learner that is ready for it.

        Args:
            voters: How many replicas should vote.
        """
        count = len(self._membership.voters)
        if count > voters:
            return self._remove_surplus()
        successors = self._list_successors()
        if successors and count < voters:
            return self._promote(successors[0])
        if successors:
            return self._begin_exchange(successors[0])
        return self._drop_silent_learner()

    def _begin_exchange(
        self, successor: identity_lib.Identity
    ) -> Change | None:
        """Begins to exchange a voter for a learner that is ready."""
        found = self._find_unfit()
        if found is None:
            return self._drop_silent_learner()
        if found.reason is Reason.DISK_LOST:
            return found
        return self._promote(successor)

    def _remove_surplus(self) -> Change | None:
        found = self._find_unfit()
        if found is not None:
            return found
        newest = [v for v in self._membership.voters if v != self._leader][-1]
        demoted = self._membership.remove(newest).add_learner(newest)
        return Change(demoted, newest, Reason.SURPLUS)

    def _find_unfit(self) -> Change | None:
        """Returns the removal of the voter that is of least use, if any."""
        for reason, is_unfit in (
            (Reason.DISK_LOST, self._has_lost_disk),
            (Reason.SILENT, self._is_silent),
            (Reason.LEAVING, self._is_leaving),
        ):
            for voter in self._membership.voters:
                if voter != self._leader and is_unfit(voter):
                    return self._remove(voter, reason)
        return None

    def _drop_silent_learner(self) -> Change | None:
        for learner in self._membership.learners:
            if self._is_silent(learner):
                return self._remove(learner, Reason.SILENT)
        return None

    def _list_successors(self) -> list[identity_lib.Identity]:
        """Returns the learners that can vote at once."""
        return [
            learner
            for learner in self._membership.learners
            if self._standing(learner).has_caught_up
            and not self._is_leaving(learner)
        ]

    def _promote(self, learner: identity_lib.Identity) -> Change:
        promoted = self._membership.promote(learner)
        return Change(promoted, learner, Reason.SUCCESSOR)

    def _remove(self, replica: identity_lib.Identity, reason: Reason) -> Change:
        return Change(self._membership.remove(replica), replica, reason)

    def _has_lost_disk(self, voter: identity_lib.Identity) -> bool:
        return self._membership.find_learner(voter.name) is not None

    def _is_silent(self, replica: identity_lib.Identity) -> bool:
        return self._standing(replica).is_silent

    def _is_leaving(self, replica: identity_lib.Identity) -> bool:
        return self._standing(replica).is_leaving

    def _standing(self, replica: identity_lib.Identity) -> Standing:
        return self._standings.get(replica, Standing())
