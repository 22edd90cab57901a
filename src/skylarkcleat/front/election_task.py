"""Takes over, keeps and hands over the ownership of all jobs.

One front owns all jobs in a term. It sends heartbeats to the other fronts;
one of them takes over when the heartbeats stop.
"""

from __future__ import annotations

import asyncio
import typing as t

import eliot

from skylarkcleat import clock as clock_lib
from skylarkcleat.discovery import election as election_lib
from skylarkcleat.discovery import peer_table as peer_table_lib
from skylarkcleat.discovery import rank as rank_lib
from skylarkcleat.front import configuration_cache as configuration_cache_lib
from skylarkcleat.front import load_log as load_log_lib
from skylarkcleat.front import owner_heartbeats
from skylarkcleat.front import ownership as ownership_lib
from skylarkcleat.front import pause as pause_lib
from skylarkcleat.protocol import locating
from skylarkcleat.protocol import owning
from skylarkcleat.scheduling import lease
from skylarkcleat.scheduling import predecessor as predecessor_lib
from skylarkcleat.wire import session as session_lib

TICK_S = 0.02
SUCCESSOR_CHECK_INTERVAL_S = 1.0
"""How often the owner checks at most for a front that is better suited."""

RESTART_WINDOW_S = 2.0
"""If a front becomes the owner within this time after its start, and no owner
before it is known, all processes have restarted, and the leases of all earlier
runs have expired."""


class ElectionTask:
    """Runs the election of the owner on this front.

    Args:
        local: The endpoint of this front.
        election: Decides which owner to follow.
        peers: The fronts that are known.
        configuration_cache: The copy of the configuration here.
        ownership: The owner, while it is here.
        pauses: Is ticked here.
        load: Measures and logs the load of the owner here.
        send: Sends a message to a process by name.
    """

    def __init__(
        self,
        local: session_lib.Endpoint,
        election: election_lib.Election,
        peers: peer_table_lib.PeerTable,
        configuration_cache: configuration_cache_lib.ConfigurationCache,
        ownership: ownership_lib.Ownership,
        pauses: pause_lib.PauseWatch,
        load: load_log_lib.LoadLog,
        send: t.Callable[[str, t.Any], None],
    ) -> None:
        self._local = local
        self._election = election
        self._peers = peers
        self._configuration_cache = configuration_cache
        self._ownership = ownership
        self._pauses = pauses
        self._load = load
        self._plain_rank = election.rank
        self._send = send
        self._started_at = clock_lib.read_monotonic()
        self._heartbeats = owner_heartbeats.OwnerHeartbeats(
            local.name, election, peers, configuration_cache, ownership, send
        )
        self._successor_checked_at = float("-inf")
        self._announced_sides = 0
        self._last_followed_at: dict[int, float] = {}
        self._owner_versions: dict[str, int] = {}

    async def run(self) -> None:
        """Claims the ownership when it is due and runs it while it is held."""
        while True:
            now = clock_lib.read_monotonic()
            self._pauses.tick(now)
            previous = self._election.followed
            if self._election.tick(now):
                self._begin_ownership(previous, now)
            if self._election.is_owner:
                self._run_ownership(now)
            self._update_rank(now)
            await asyncio.sleep(TICK_S)

    def find_expiry_s(self, previous_term: int) -> float:
        """Returns the seconds until no run of a previous owner is left."""
        election = self._election
        is_same = previous_term == election.followed.term
        if is_same or previous_term in election.inherited:
            return 0.0
        now = clock_lib.read_monotonic()
        followed_at = self._last_followed_at.get(previous_term, now)
        return max(0.0, lease.RUN_EXPIRY_S - (now - followed_at))

    def find_owner_version(self, owner: str) -> int:
        """Returns the configuration version that an owner reported."""
        return self._owner_versions.get(owner, 0)

    def record_owner_version(self, owner: str, version: int) -> None:
        """Records the configuration version that an owner has."""
        known = self._owner_versions.get(owner, 0)
        self._owner_versions[owner] = max(known, version)

    def forget_sent(self, front: str) -> None:
        """Forgets what a front was sent: it may not have arrived."""
        self._owner_versions.pop(front, None)
        self._heartbeats.forget_sent(front)

    def receive(
        self, peer: session_lib.Endpoint, message: owning.OwningMessage
    ) -> None:
        """Handles a message from or to an owner."""
        now = clock_lib.read_monotonic()
        if isinstance(message, owning.OwnerHeartbeat):
            self._handle_heartbeat(peer.name, message, now)
        elif isinstance(message, owning.OwnerHeartbeatReply):
            if self._election.handle_heartbeat_reply(peer.name, message, now):
                self._ownership.handle_heartbeat_reply(peer, message)
                self._heartbeats.handle_reply(peer.name, message, now)
                self._check_successor(peer.name, now)
        elif isinstance(message, owning.SideNames):
            self._handle_side_names(message)
        elif isinstance(message, owning.SideNamesConfirmed):
            self._election.side_list.confirm(message)
        elif isinstance(message, owning.Handover):
            self._handle_handover(message, now)

    def resign(self) -> None:
        """Hands over the ownership, if it is here, before this front stops."""
        self._election.rank = rank_lib.UNSUITABLE_RANK
        now = clock_lib.read_monotonic()
        if self._election.is_owner:
            self._hand_over(self._election.find_successor(now, True), now)

    def _handle_heartbeat(
        self, sender: str, heartbeat: owning.OwnerHeartbeat, now: float
    ) -> None:
        election = self._election
        previous = election.followed
        inherited = election.inherited
        was_owner = election.is_owner
        if was_owner and sender != self._local.name:
            # An owner that stood still has side processes whose leases have
            # expired meanwhile: another one would wait for them to register.
            self._ownership.tick()
        sides = len(self._ownership.sides)
        reply = election.handle_heartbeat(sender, heartbeat, sides, now)
        self.record_owner_version(sender, heartbeat.version)
        if self._configuration_cache.record_version(heartbeat.version):
            version = self._configuration_cache.version
            self._send(sender, locating.FetchConfiguration(version))
        evacuations = self._configuration_cache.evacuations
        message = evacuations.handle_owner_revision(heartbeat.evacuations)
        if message is not None:
            self._send(sender, message)
        if reply is None:
            return
        if was_owner:
            # The other owner has more side processes.
            reason = f"{sender} owns the jobs too"
            self._end_ownership(reason, sender, previous.term, inherited, now)
        self._announced_sides = heartbeat.sides
        self._record_followed(self._election.followed.term, now)
        self._send(sender, reply)

    def _handle_side_names(self, message: owning.SideNames) -> None:
        is_followed = message.term == self._election.followed.term
        side_list = self._election.side_list
        if message.term < side_list.term and not is_followed:
            return
        side_list.update(message)
        eliot.log_message(
            "front:sides", term=message.term, sides=len(message.names)
        )

    def _record_followed(self, term: int, now: float) -> None:
        """Records that jobs of this front may run in a term up to now."""
        self._last_followed_at[term] = now
        while len(self._last_followed_at) > election_lib.KEPT_TERMS:
            del self._last_followed_at[min(self._last_followed_at)]

    def _begin_ownership(self, previous: locating.OwnerRef, now: float) -> None:
        """Takes over from an owner that has become unresponsive."""
        election = self._election
        listed = election.side_list
        is_complete = listed.is_complete(previous.term, now)
        is_restart = (
            election.is_first and now - self._started_at < RESTART_WINDOW_S
        )
        is_settled = is_complete or is_restart
        predecessor = predecessor_lib.Predecessor(
            previous.term,
            listed.names if is_complete else (),
            now if is_settled else now + lease.TAKEOVER_WAIT_S,
            self._heartbeats.list_fronts(now),
        )
        remaining_s = listed.find_remaining_s(previous.term, now)
        eliot.log_message(
            "front:takeover",
            term=election.followed.term,
            former_term=previous.term,
            listed_term=listed.term,
            listed=len(listed.names),
            announced=self._announced_sides,
            remaining_ms=remaining_s and round(remaining_s * 1000),
            complete=is_complete,
        )
        self._ownership.begin(election.followed.term, predecessor)
        self._announce_ownership(listed.names, now)

    def _handle_handover(self, handover: owning.Handover, now: float) -> None:
        was_owner = self._election.is_owner
        if not self._election.handle_handover(handover, now):
            return
        term = self._election.followed.term
        if was_owner:
            self._ownership.extend(term, handover.sides)
        else:
            predecessor = predecessor_lib.Predecessor(
                handover.term,
                handover.sides,
                now,
                self._heartbeats.list_fronts(now),
            )
            self._ownership.begin(term, predecessor)
        self._announce_ownership(handover.sides, now)

    def _hand_over(self, successor: str, now: float) -> None:
        if not successor:
            return
        term = self._election.followed.term
        inherited = self._election.inherited
        self._election.resign(successor, now)
        self._end_ownership(
            f"handed over to {successor}", successor, term, inherited, now
        )

    def _end_ownership(
        self,
        reason: str,
        successor: str,
        term: int,
        inherited: tuple[int, ...],
        now: float,
    ) -> None:
        """Hands the side processes of a term over to its successor."""
        sides = self._ownership.end(reason)
        self._record_followed(term, now)
        self._send(successor, owning.Handover(term, inherited, sides))
        for side in sides:
            self._send(side, owning.OwnershipMoved(successor, term))

    def _announce_ownership(self, sides: t.Iterable[str], now: float) -> None:
        """Notifies fronts and side processes at once of the new owner."""
        eliot.log_message("front:claimed", term=self._election.followed.term)
        self._load.begin(now)
        self._record_followed(self._election.followed.term, now)
        self._heartbeats.begin(now)
        found = locating.OwnerFound(self._election.followed)
        for side in sides:
            self._send(side, found)

    def _run_ownership(self, now: float) -> None:
        self._heartbeats.run(now)
        self._ownership.tick()
        self._load.record(self._election.followed.term, now)

    def _update_rank(self, now: float) -> None:
        """Lets stronger fronts go first while this one was overloaded."""
        if self._election.rank == rank_lib.UNSUITABLE_RANK:
            return
        rank = self._plain_rank
        if self._load.is_overloaded(now):
            rank = rank_lib.find_overloaded_rank(rank)
        self._election.rank = rank

    def _check_successor(self, follower: str, now: float) -> None:
        """Hands over if a follower that has just replied suits better.

        Not in a tick: while this front is overloaded, its last replies are
        old by then.
        """
        checked_at = self._successor_checked_at
        if now - checked_at < SUCCESSOR_CHECK_INTERVAL_S:
            return
        if self._election.is_outranked_by(follower):
            self._successor_checked_at = now
            self._hand_over(self._election.find_successor(now, False), now)
