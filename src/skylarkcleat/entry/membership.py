"""Applies changes of the directory to an entry's jobs and agents."""

from __future__ import annotations

import typing as t

from skylarkcleat import network as network_lib
from skylarkcleat.dispatch import dispatcher as dispatcher_lib
from skylarkcleat.entry import journal as journal_lib
from skylarkcleat.jobs import claim_store
from skylarkcleat.jobs import coordinator as coordinator_lib
from skylarkcleat.jobs import effects as effects_lib
from skylarkcleat.model import member as member_lib
from skylarkcleat.protocol import claiming
from skylarkcleat.protocol import subscribing

_Kind = subscribing.ChangeKind


class Membership:
    """Applies directory changes to the coordinator and the dispatcher."""

    def __init__(
        self,
        network: network_lib.Network,
        coordinator: coordinator_lib.Coordinator,
        claims: claim_store.KeeperClaimStore,
        dispatcher: dispatcher_lib.Dispatcher,
        journal: journal_lib.EntryJournal,
    ) -> None:
        """Initializes a membership without members.

        Args:
            network: Holds the sessions with members.
            coordinator: Runs the job protocol for the entry's jobs.
            claims: Holds the keeper shards that decide on the
                coordinator's claims.
            dispatcher: Places tasks on agents.
            journal: Records which attempts are lost with an agent.
        """
        self._network = network
        self._coordinator = coordinator
        self._claims = claims
        self._dispatcher = dispatcher
        self._journal = journal

    def apply_changes(
        self, changes: t.Iterable[subscribing.Change], now: float
    ) -> list[effects_lib.Effect]:
        """Applies changes and returns the coordinator's effects.

        Args:
            changes: The changes, in the order of their revisions.
            now: The monotonic clock, in seconds.
        """
        effects: list[effects_lib.Effect] = []
        has_new_keepers = False
        for change in changes:
            if change.kind is _Kind.SHARD:
                has_new_keepers |= self._claims.configure(change.shard)
            elif change.kind in (_Kind.MEMBER, _Kind.MEMBER_GONE):
                effects += self._apply_member_change(change, now)
        if has_new_keepers:
            effects += self._coordinator.resend_claims(now)
        return effects

    def _apply_member_change(
        self, change: subscribing.Change, now: float
    ) -> list[effects_lib.Effect]:
        effects: list[effects_lib.Effect] = []
        departed = self._network.update_member(change.name, change.member)
        if departed is not None:
            effects += self._remove_member(departed, now)
        member = change.member
        if member is None or member.role is member_lib.Role.CONTROL:
            return effects
        ref = claiming.MemberRef(member.name, member.incarnation)
        if ref != self._coordinator.ref:
            self._coordinator.add_member(ref)
        if member.role is member_lib.Role.AGENT:
            self._dispatcher.add_agent(member, now)
            self._network.connect(member)
        return effects

    def _remove_member(
        self, departed: member_lib.Member, now: float
    ) -> list[effects_lib.Effect]:
        if departed.role is member_lib.Role.CONTROL:
            return []
        if departed.role is member_lib.Role.AGENT:
            for placement in self._dispatcher.remove_agent(departed.name, now):
                self._dispatcher.withdraw(placement)
                self._journal.record_agent_lost(placement, now)
        ref = claiming.MemberRef(departed.name, departed.incarnation)
        return self._coordinator.remove_member(ref, now)
