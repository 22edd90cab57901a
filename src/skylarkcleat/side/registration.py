"""Finds the owner, registers with it and renews the lease."""

from __future__ import annotations

import asyncio
import random
import typing as t

from skylarkcleat.discovery import peer_table as peer_table_lib
from skylarkcleat.platform import settings as settings_lib
from skylarkcleat.protocol import leasing
from skylarkcleat.protocol import locating
from skylarkcleat.protocol import owning
from skylarkcleat.scheduling import lease
from skylarkcleat.side import state as state_lib

OWNER_SEARCH_AFTER_S = 0.25
"""After this time without an answer of the owner, other fronts are queried."""

OWNER_SEARCH_INTERVAL_S = 0.1
"""How often they are queried."""

SEARCH_RESAMPLE_S = 0.4
"""After this time others are queried: all of the first may be unreachable."""

GOSSIP_INTERVAL_S = 1.0
"""How often the owner is queried for the list of fronts."""


class Registration:
    """Keeps a lease from the owner that fronts report.

    Args:
        state: What it shares with the side process's other parts.
        settings: The settings of the process.
        generator: Picks the fronts that it asks at random.
    """

    def __init__(
        self,
        state: state_lib.SideState,
        settings: settings_lib.Settings,
        generator: random.Random,
    ) -> None:
        self._state = state
        self._local_name = settings.ip
        self._zone = settings.zone
        seeds = settings_lib.list_seed_ips(settings)
        self._peers = peer_table_lib.PeerTable(seeds, generator)
        self._searched_at = 0.0
        self._sampled_at = float("-inf")
        self._targets: list[str] = []
        self._gossiped_at = 0.0

    def update_seeds(self, seeds: t.Sequence[str]) -> None:
        """Replaces the seeds that are asked for the owner."""
        self._peers.update_seeds(seeds)

    async def run(self) -> None:
        """Renews the lease, or looks for an owner while there is none."""
        while True:
            now = self._state.now()
            self._query_fronts(now)
            if self._state.lease.is_valid(now):
                self.renew()
            else:
                self.register_with_known_owner()
            await asyncio.sleep(lease.RENEW_INTERVAL_S)

    def handle_view(self, view: locating.View) -> None:
        """Handles a front's view of the others and of the owner."""
        self._peers.merge(view, self._state.now())
        self.register_with_known_owner()

    def handle_found(self, found: locating.OwnerFound) -> None:
        """Handles the announcement of an owner."""
        self._register_if_needed(found.owner)

    def handle_moved(self, sender: str, moved: owning.OwnershipMoved) -> None:
        """Handles the end of an owner, which names its successor."""
        if sender == self._state.lease.owner.name:
            self._state.lease.record_owner_ended()
            self._register(locating.OwnerRef(moved.owner, moved.term))

    def handle_unregistered(self, message: leasing.Unregistered) -> None:
        """Registers anew with an owner that asks for it."""
        if message.epoch == self._state.lease.epoch:
            self._register(self._state.lease.owner)

    def register_with_known_owner(self) -> None:
        """Registers with the latest owner that any front reports."""
        found = self._peers.find_owner(self._state.now())
        if found.name:
            self._register_if_needed(found)

    def renew(self) -> None:
        """Asks the owner to renew the lease."""
        self._state.send_owner(
            leasing.Renew(
                self._state.lease.epoch,
                self._state.now(),
                self._state.run_table.runner,
            )
        )

    async def renew_after(self, delay_s: float) -> None:
        """Renews the lease a while later, if it is still held."""
        await asyncio.sleep(delay_s)
        if self._state.lease.is_valid(self._state.now()):
            self.renew()

    def _register_if_needed(self, found: locating.OwnerRef) -> None:
        """Registers with an owner unless the current one is responsive."""
        now = self._state.now()
        held = self._state.lease
        is_unresponsive = now - held.last_seen_at >= OWNER_SEARCH_AFTER_S
        is_newer = found.term > held.owner.term
        if not held.is_valid(now) or (is_unresponsive and is_newer):
            self._register(found)

    def _register(self, owner: locating.OwnerRef) -> None:
        if not owner.name:
            return
        register = leasing.Register(
            self._local_name,
            self._zone,
            self._state.lease.request(owner),
            self._state.run_table.runner,
            self._state.now(),
        )
        self._state.send(owner.name, register)

    def _query_fronts(self, now: float) -> None:
        held = self._state.lease
        owner = held.owner.name
        if now - held.last_seen_at >= OWNER_SEARCH_AFTER_S or not owner:
            if now - self._searched_at >= OWNER_SEARCH_INTERVAL_S:
                self._searched_at = now
                self._search(now)
        elif now - self._gossiped_at >= GOSSIP_INTERVAL_S:
            self._gossiped_at = now
            self._state.disconnect_others(owner)
            self._request_views([owner])

    def _search(self, now: float) -> None:
        """Asks a few fronts for the owner.

        The first answer of each lists the fronts. Their number doesn't grow
        with the fleet: all side processes search at the same time.
        """
        is_brief = now - self._sampled_at < SEARCH_RESAMPLE_S
        if not is_brief:
            self._sampled_at = now
            self._replace_targets(self._peers.sample_names(now))
        self._request_views(self._targets, is_brief)

    def _replace_targets(self, targets: list[str]) -> None:
        keep = {*targets, self._state.lease.owner.name}
        for name in self._targets:
            if name not in keep:
                self._state.disconnect(name)
        self._targets = targets

    def _request_views(
        self, names: t.Iterable[str], is_brief: bool = False
    ) -> None:
        for name in names:
            self._state.send(name, locating.ViewRequest(None, is_brief))
