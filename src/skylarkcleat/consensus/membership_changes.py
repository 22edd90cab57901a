"""How replicas bootstrap a cluster, join it and are removed from it."""

from __future__ import annotations

import typing as t

from skylarkcleat.consensus import context as context_lib
from skylarkcleat.consensus import entry as entry_lib
from skylarkcleat.consensus import follower as follower_lib
from skylarkcleat.consensus import founding as founding_lib
from skylarkcleat.consensus import identity as identity_lib
from skylarkcleat.consensus import leadership as leadership_lib
from skylarkcleat.consensus import membership as membership_lib
from skylarkcleat.consensus import membership_plan as membership_plan_lib
from skylarkcleat.consensus import message as message_lib
from skylarkcleat.consensus import proposal as proposal_lib

REMOVED_ELECTIONS = 2
"""A replica that hears no leader for this many election timeouts may have been
removed; an election takes up to two."""


class MembershipChanges:
    """A replica's part in changes of the membership.

    An empty replica announces itself. It takes part in the founding of a
    cluster if it may, or the leader of one adds it as a learner. Where
    `Limits.voters` says how many replicas should vote, a replica that was
    removed announces itself too once no leader contacts it. `MembershipPlan`
    decides who votes.

    Attributes:
        last_change: The latest change that this replica made as the leader.
    """

    def __init__(
        self,
        context: context_lib.Context,
        names: t.Iterable[str],
        may_bootstrap: bool,
    ) -> None:
        self._context = context
        self._names = frozenset(names)
        self._founding = founding_lib.Founding(
            context, self._names, may_bootstrap
        )
        self._announced_at = float("-inf")
        self._is_leaving = False
        self._leaving: dict[identity_lib.Identity, float] = {}
        self.last_change: membership_plan_lib.Change | None = None

    def add_name(self, name: str) -> None:
        """Allows a replica that was discovered at run time to join."""
        self._names |= {name}

    def allow_bootstrap(self, initial_names: t.Iterable[str]) -> None:
        """Allows this replica to bootstrap a cluster with other empty ones."""
        self._founding.allow(initial_names)

    def begin_leaving(self) -> None:
        """Tells the leader from now on that this replica is about to stop."""
        self._is_leaving = True

    def announce(self, follower: follower_lib.Follower) -> None:
        """Announces what the others have to know of this replica."""
        context = self._context
        if context.now < self._announced_at + context.limits.announce_s:
            return
        self._announced_at = context.now
        if self._is_leaving:
            self._announce_leaving()
            return
        self._founding.advance(follower)
        if context.snapshot is None or self._seems_removed():
            self._announce_presence()

    def _announce_leaving(self) -> None:
        context = self._context
        if context.is_voter and context.leader is not None:
            context.send_now(context.leader, message_lib.Leaving())

    def _announce_presence(self) -> None:
        context = self._context
        message = message_lib.Announcement(self._founding.may_take_part)
        for name in sorted(self._names - {context.identity.name}):
            receiver = identity_lib.Identity(name, "")
            context.send_after_sync(receiver, message)

    def _seems_removed(self) -> bool:
        """Whether no leader contacts this replica, though it has a log."""
        context = self._context
        unheard_s = context.now - context.leader_seen_at
        return (
            context.limits.voters > 0
            and context.role is context_lib.Role.FOLLOWER
            and unheard_s > REMOVED_ELECTIONS * context.limits.election_s
        )

    def handle_announcement(
        self,
        sender: identity_lib.Identity,
        announcement: message_lib.Announcement,
        leadership: leadership_lib.Leadership | None,
    ) -> None:
        """Handles the announcement of a replica that is in no cluster.

        An empty replica records it for the bootstrap. A member whose
        snapshot is still the one of the bootstrap sends it to the sender if
        that is a voter of it; otherwise a leader adds a sender that is not a
        member as a learner.
        """
        context = self._context
        if context.snapshot is None:
            self._founding.handle_announcement(sender, announcement)
            return
        membership = context.membership
        at_bootstrap = context.snapshot.index == 0
        if at_bootstrap and sender in context.snapshot.membership.voters:
            self._founding.send_bootstrap(sender, context.snapshot)
        elif sender not in membership.replicas:
            self._add_learner(sender, leadership)

    def handle_bootstrap(
        self,
        sender: identity_lib.Identity,
        bootstrap: message_lib.Bootstrap,
        follower: follower_lib.Follower,
    ) -> None:
        """Joins a new cluster in which this empty replica is a voter."""
        self._founding.join(sender, bootstrap.snapshot, follower)

    def handle_leaving(self, sender: identity_lib.Identity) -> None:
        """Records that a replica is about to stop."""
        now = self._context.now
        for replica, announced_at in list(self._leaving.items()):
            if now - announced_at > self._context.limits.silent_s:
                del self._leaving[replica]
        self._leaving[sender] = now

    def list_leaving(self) -> set[identity_lib.Identity]:
        """Returns the replicas that are about to stop or have just stopped."""
        return {r for r in self._leaving if self._is_stopping(r)}

    def advance(self, leadership: leadership_lib.Leadership) -> None:
        """Makes the next change of the membership, if one is due."""
        if not self._may_change(leadership):
            return
        context = self._context
        plan = membership_plan_lib.MembershipPlan(
            context.membership,
            {r: self._judge(leadership, r) for r in leadership.peers},
            context.identity,
        )
        voters = context.limits.voters
        change = plan.find_change(voters) if voters else plan.find_repair()
        if change is not None:
            self.last_change = change
            self._append_membership(leadership, change.membership)

    def _judge(
        self,
        leadership: leadership_lib.Leadership,
        replica: identity_lib.Identity,
    ) -> membership_plan_lib.Standing:
        return membership_plan_lib.Standing(
            leadership.is_silent(replica) or not replica.is_known,
            self._is_stopping(replica),
            self._has_caught_up(leadership, replica),
        )

    def _is_stopping(self, replica: identity_lib.Identity) -> bool:
        """Whether a replica has announced recently that it is to stop."""
        context = self._context
        announced_at = self._leaving.get(replica, float("-inf"))
        return context.now - announced_at < context.limits.silent_s

    def admit(
        self, leadership: leadership_lib.Leadership, name: str
    ) -> proposal_lib.ProposalResult:
        """Makes a learner a voter.

        Returns:
            The position of the change in the log, or why it was rejected.
        """
        membership = self._context.membership
        learner = membership.find_learner(name)
        if learner is None:
            return proposal_lib.Rejection(f"no learner is named {name!r}")
        if not self._may_change(leadership):
            return proposal_lib.Rejection(
                "another membership change is in progress"
            )
        if not self._has_caught_up(leadership, learner):
            return proposal_lib.Rejection(f"learner {name!r} has not caught up")
        return self._append_membership(leadership, membership.promote(learner))

    def expel(
        self, leadership: leadership_lib.Leadership, name: str
    ) -> proposal_lib.ProposalResult:
        """Removes a voter or learner.

        Returns:
            The position of the change in the log, or why it was rejected.
        """
        membership = self._context.membership
        replica = membership.find_voter(name) or membership.find_learner(name)
        if replica is None:
            return proposal_lib.Rejection(f"no replica is named {name!r}")
        if membership.voters == (replica,):
            return proposal_lib.Rejection(f"replica {name!r} is the last voter")
        if not self._may_change(leadership):
            return proposal_lib.Rejection(
                "another membership change is in progress"
            )
        return self._append_membership(leadership, membership.remove(replica))

    def _add_learner(
        self,
        sender: identity_lib.Identity,
        leadership: leadership_lib.Leadership | None,
    ) -> None:
        if leadership is None or sender.name not in self._names:
            return
        if self._may_change(leadership):
            membership = self._context.membership
            self._append_membership(leadership, membership.add_learner(sender))

    def _may_change(self, leadership: leadership_lib.Leadership) -> bool:
        context = self._context
        settled = context.membership_index <= context.commit
        return settled and leadership.is_established

    def _has_caught_up(
        self,
        leadership: leadership_lib.Leadership,
        replica: identity_lib.Identity,
    ) -> bool:
        context = self._context
        peer = leadership.peers[replica]
        lag = context.log.last_index - peer.match
        recent = context.now - peer.answered_at < context.limits.election_s
        caught_up = lag <= context.limits.learner_lag_entries
        return peer.match >= 0 and recent and caught_up

    def _append_membership(
        self,
        leadership: leadership_lib.Leadership,
        membership: membership_lib.Membership,
    ) -> proposal_lib.Position:
        data = membership_lib.encode(membership)
        index = leadership.append(entry_lib.EntryKind.MEMBERSHIP, data)
        return proposal_lib.Position(index, self._context.term)
