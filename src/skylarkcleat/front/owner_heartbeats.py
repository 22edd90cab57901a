"""What an owner of the jobs tells the other fronts, and opens in turn.

With its heartbeats it sends them the names of its side processes. It uses a
side process once each front that may take over knows it.
"""

from __future__ import annotations

import typing as t

from skylarkcleat.discovery import election as election_lib
from skylarkcleat.discovery import peer_table as peer_table_lib
from skylarkcleat.discovery import side_list_leases
from skylarkcleat.front import configuration_cache as configuration_cache_lib
from skylarkcleat.front import ownership as ownership_lib
from skylarkcleat.protocol import owning
from skylarkcleat.scheduling import lease


class OwnerHeartbeats:
    """Keeps the other fronts informed while this front owns the jobs.

    Args:
        local_name: The name of this front.
        election: Tells the term of this owner.
        peers: The fronts that are known.
        configuration_cache: The copy of the configuration here.
        ownership: The owner.
        send: Sends a message to a process by name.
    """

    def __init__(
        self,
        local_name: str,
        election: election_lib.Election,
        peers: peer_table_lib.PeerTable,
        configuration_cache: configuration_cache_lib.ConfigurationCache,
        ownership: ownership_lib.Ownership,
        send: t.Callable[[str, t.Any], None],
    ) -> None:
        self._local_name = local_name
        self._election = election
        self._peers = peers
        self._configuration_cache = configuration_cache
        self._ownership = ownership
        self._send = send
        self._sent_at = float("-inf")
        self._published: tuple[str, ...] = ()
        self._leases = side_list_leases.SideListLeases()

    def begin(self, now: float) -> None:
        """Begins a term."""
        self._leases.clear()
        self._send_all(now)

    def run(self, now: float) -> None:
        """Sends heartbeats that are due, and opens side processes."""
        if now - self._sent_at >= lease.HEARTBEAT_INTERVAL_S:
            self._send_all(now)
        self._open_sides(now)

    def handle_reply(
        self, front: str, reply: owning.OwnerHeartbeatReply, now: float
    ) -> None:
        """Handles a front's reply to a heartbeat of this term."""
        self._leases.record_reply(front, reply.sent_at, self._published, now)
        self._send_sides(front, now)

    def forget_sent(self, front: str) -> None:
        """Forgets what a front was sent: it may not have arrived."""
        self._leases.forget_sent(front)

    def list_fronts(self, now: float) -> tuple[str, ...]:
        """Returns the names of the other fronts that are known."""
        return tuple(self._peers.list_names(self._local_name, now))

    def _send_all(self, now: float) -> None:
        self._sent_at = now
        self._published = self._ownership.sides
        election = self._election
        heartbeat = owning.OwnerHeartbeat(
            election.followed.term,
            election.inherited,
            now,
            len(self._published),
            self._configuration_cache.version,
            self._configuration_cache.evacuations.revision,
        )
        for front in self.list_fronts(now):
            self._send_sides(front, now)
            self._send(front, heartbeat)
            self._confirm(front, now)

    def _send_sides(self, front: str, now: float) -> None:
        if self._leases.record_sent(front, self._published, now):
            term = self._election.followed.term
            self._send(front, owning.SideNames(term, self._published))

    def _confirm(self, front: str, now: float) -> None:
        confirmation = self._leases.confirm(front, now)
        if confirmation is not None:
            term = self._election.followed.term
            self._send(front, owning.SideNamesConfirmed(term, *confirmation))

    def _open_sides(self, now: float) -> None:
        """Opens the side processes that every successor knows.

        Only those in the published list: every list that is sent later, and
        so every list that is confirmed, has their names.
        """
        unknown = self._ownership.unknown_sides
        if not unknown:
            return
        published = frozenset(self._published)
        listed = [side for side in unknown if side in published]
        known = self._leases.list_known(listed, now)
        if known:
            self._ownership.open_sides(known)
