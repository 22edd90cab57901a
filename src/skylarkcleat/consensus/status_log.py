"""Logs what a replica knows: its leader, the members and their margin."""

from __future__ import annotations

import collections.abc
import typing as t

import eliot

from skylarkcleat.consensus import margin as margin_lib
from skylarkcleat.consensus import membership as membership_lib
from skylarkcleat.consensus import membership_plan as membership_plan_lib
from skylarkcleat.consensus import replica as replica_lib

LEADERLESS_INTERVAL_S = 5.0
"""How often a member that knows no leader writes so."""


class StatusLog:
    """Writes a line whenever a replica's view of its cluster changes.

    Args:
        name: The replica's name.
        replica: The replica.
        list_linked: Returns the names of the replicas that this one has a link
            to.
        now: The time, in seconds of a monotonic clock.
    """

    def __init__(
        self,
        name: str,
        replica: replica_lib.Replica,
        list_linked: t.Callable[[], collections.abc.Collection[str]],
        now: float,
    ) -> None:
        self._name = name
        self._replica = replica
        self._list_linked = list_linked
        self._leader: tuple[int, str] = (0, "")
        self._members: membership_lib.Membership | None = None
        self._margin: margin_lib.Margin | None = None
        self._change: membership_plan_lib.Change | None = None
        self._leader_known_at = now
        self._leaderless_logged_at = now

    def record_leader(self) -> None:
        """Writes the term and the leader if either has changed."""
        known = (self._replica.context.term, self._replica.leader)
        if known == self._leader:
            return
        self._leader = known
        eliot.log_message(
            "consensus:leader",
            replica=self._name,
            term=known[0],
            leader=known[1],
        )

    def record_cluster(self, now: float) -> None:
        """Writes the members, the margin and the lack of a leader."""
        self._record_members()
        self._record_margin()
        self._record_change()
        self._record_leaderless(now)

    def _record_members(self) -> None:
        context = self._replica.context
        if context.snapshot is None or context.membership == self._members:
            return
        members = self._members = context.membership
        eliot.log_message(
            "consensus:members",
            index=context.membership_index,
            voters=[voter.name for voter in members.voters],
            learners=[learner.name for learner in members.learners],
            votes=context.is_voter,
        )

    def _record_margin(self) -> None:
        margin = self._replica.margin
        if margin == self._margin:
            return
        self._margin = margin
        if margin is not None:
            eliot.log_message("consensus:margin", **margin._asdict())

    def _record_change(self) -> None:
        change = self._replica.last_change
        if change is None or change is self._change:
            return
        self._change = change
        eliot.log_message(
            "consensus:change",
            replica=change.replica.name,
            votes=change.replica in change.membership.voters,
            reason=change.reason.value,
        )

    def _record_leaderless(self, now: float) -> None:
        if self._replica.leader or self._replica.context.snapshot is None:
            self._leader_known_at = self._leaderless_logged_at = now
            return
        if now - self._leaderless_logged_at < LEADERLESS_INTERVAL_S:
            return
        self._leaderless_logged_at = now
        voters = [
            voter.name for voter in self._replica.context.membership.voters
        ]
        reachable = {self._name, *self._list_linked()}
        eliot.log_message(
            "consensus:leaderless",
            seconds=round(now - self._leader_known_at, 1),
            voters=voters,
            unlinked=[name for name in voters if name not in reachable],
        )
