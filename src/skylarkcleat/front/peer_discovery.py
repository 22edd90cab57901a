"""Discovers other fronts, the owner of the jobs and the log's leader."""

from __future__ import annotations

import asyncio
import collections
import typing as t

from skylarkcleat import clock as clock_lib
from skylarkcleat.consensus import driver as driver_lib
from skylarkcleat.discovery import election as election_lib
from skylarkcleat.discovery import peer_table as peer_table_lib
from skylarkcleat.front import configuration_cache as configuration_cache_lib
from skylarkcleat.front import log_bootstrap as log_bootstrap_lib
from skylarkcleat.platform import settings as settings_lib
from skylarkcleat.protocol import locating

LEADER_QUERY_INTERVAL_S = 0.2
"""How often a front requests the view of the log's leader."""

GOSSIP_INTERVAL_S = 1.0
"""How often it requests the views of other fronts as well."""

OWNER_SEARCH_INTERVAL_S = 0.08
"""How often it queries other fronts while no owner is reachable."""

SEARCH_RESET_S = 1.0
"""After this time fronts that have not answered in a search are asked again."""

TICK_S = 0.04


class PeerDiscovery:
    """Keeps a front's view of the other fronts and of the log up to date."""

    def __init__(
        self,
        settings: settings_lib.Settings,
        peers: peer_table_lib.PeerTable,
        election: election_lib.Election,
        configuration_cache: configuration_cache_lib.ConfigurationCache,
        log: driver_lib.LogDriver | None,
        bootstrap: log_bootstrap_lib.LogBootstrap,
        send: t.Callable[[str, t.Any], None],
    ) -> None:
        self._settings = settings
        self._peers = peers
        self._election = election
        self._configuration_cache = configuration_cache
        self._log = log
        self._send = send
        self._local_name = settings.ip
        self._bootstrap = bootstrap
        self._queried_at = 0.0
        self._searched_at = 0.0
        self._search_reset_at = 0.0
        self._asked: collections.Counter[str] = collections.Counter()
        self._gossiped_at = 0.0
        self._told_owner = locating.OwnerRef()

    async def run(self) -> None:
        """Queries other fronts and tracks the log's leader."""
        while True:
            now = clock_lib.read_monotonic()
            self._record_log()
            self._search_owner(now)
            if now - self._queried_at >= LEADER_QUERY_INTERVAL_S:
                self._queried_at = now
                self._send_hello(self._choose_targets(now), now)
                self._bootstrap.advance(now)
                self._connect_replicas(now)
            await asyncio.sleep(TICK_S)

    def receive(
        self, sender: str, message: locating.LocatingMessage
    ) -> t.NamedTuple | None:
        """Handles a message; returns the reply, if one is due."""
        now = clock_lib.read_monotonic()
        if isinstance(message, locating.View):
            return self._handle_view(message, now)
        if isinstance(message, locating.FetchConfiguration):
            return self._configuration_cache.handle_fetch(message)
        evacuations = self._configuration_cache.evacuations
        if isinstance(message, locating.FetchEvacuations):
            return evacuations.handle_fetch(message)
        if isinstance(message, locating.GiveEvacuations):
            return evacuations.handle_give(message)
        if isinstance(message, locating.Propose):
            self._bootstrap.receive(message)
        elif (
            isinstance(message, locating.ViewRequest)
            and message.sender is not None
        ):
            self._peers.record_front(message.sender, now)
        if isinstance(message, locating.ViewRequest):
            return self._describe(now, message.is_brief, message.asked_at)
        return self._describe(now)

    def announce_stop(self) -> None:
        """Tells each owner that it follows that it is about to stop.

        An owner asks most fronts for their views about once a second, and must
        hand its jobs over to none that stops meanwhile.
        """
        owner = self._election.followed
        if owner == self._told_owner or owner.name in ("", self._local_name):
            return
        self._told_owner = owner
        now = clock_lib.read_monotonic()
        self._send(owner.name, self._describe(now, is_brief=True))

    def _handle_view(
        self, view: locating.View, now: float
    ) -> locating.FetchConfiguration | None:
        self._peers.merge(view, now)
        self._election.record_view(view, now)
        evacuations = self._configuration_cache.evacuations
        fetch = evacuations.handle_news(view.evacuations, now)
        if fetch is not None:
            self._send(view.sender.name, fetch)
        if not self._configuration_cache.record_version(view.version):
            return None
        return locating.FetchConfiguration(self._configuration_cache.version)

    def _search_owner(self, now: float) -> None:
        """Searches for an owner by querying other fronts."""
        if not self._election.is_searching(now):
            self._asked.clear()
            return
        if now - self._searched_at < OWNER_SEARCH_INTERVAL_S:
            return
        self._searched_at = now
        if now - self._search_reset_at >= SEARCH_RESET_S:
            self._search_reset_at = now
            self._asked.clear()
        names = self._peers.choose_search_targets(
            self._local_name, self._asked, now
        )
        self._asked.update(names)
        self._send_hello(names, now, is_brief=True)

    def _send_hello(
        self, names: t.Iterable[str], now: float, is_brief: bool = False
    ) -> None:
        local = self._describe_local(now)
        self._peers.record_front(local, now)
        for name in names:
            self._send(name, locating.ViewRequest(local, is_brief, now))

    def _choose_targets(self, now: float) -> list[str]:
        peers = self._peers
        leader = peers.log.leader
        if now - self._gossiped_at < GOSSIP_INTERVAL_S and leader:
            return [leader] if leader != self._local_name else []
        self._gossiped_at = now
        targets = peers.choose_targets(self._local_name, now)
        deciders = {*self._bootstrap.deciders} - {self._local_name}
        return sorted({*targets, *deciders})

    def _describe_local(self, now: float) -> locating.FrontRef:
        return locating.FrontRef(
            self._local_name,
            self._settings.zone,
            self._election.find_shown_rank(now),
            self._log is not None,
            self._bootstrap.is_candidate,
            0,
        )

    def _describe(
        self, now: float, is_brief: bool = False, asked_at: float = 0.0
    ) -> locating.View:
        peers = self._peers
        return locating.View(
            self._describe_local(now),
            () if is_brief else tuple(peers.list_fronts(now)),
            self._election.followed,
            self._election.find_last_seen_ms(now),
            peers.log,
            self._bootstrap.promised,
            self._configuration_cache.version,
            self._configuration_cache.evacuations.describe(now, asked_at),
        )

    def _record_log(self) -> None:
        log = self._log
        if log is None or log.is_empty:
            return
        status = log.status
        replicas = tuple(voter.name for voter in status.voters)
        self._peers.record_log(
            locating.LogRef(log.leader, status.term, replicas)
        )

    def _connect_replicas(self, now: float) -> None:
        if self._log is None:
            return
        for ref in self._peers.list_fronts(now):
            if ref.has_disk:
                self._connect_replica(ref.name)
        members = {*self._peers.log.replicas, *self._log.member_names}
        for name in sorted(members):
            self._connect_replica(name)

    def _connect_replica(self, name: str) -> None:
        if name != self._local_name:
            port = self._settings.port_range[0] + 1
            self._log.add_peer(name, f"tcp://{name}:{port}")
