"""How the ownership of jobs goes from front to front."""

from __future__ import annotations

import asyncio
import typing as t

import eliot

from skylarkcleat import clock as clock_lib
from skylarkcleat.discovery import election as election_lib
from skylarkcleat.discovery import peer_table as peer_table_lib
from skylarkcleat.front import configurations as configurations_lib
from skylarkcleat.front import ownership as ownership_lib
from skylarkcleat.protocol import locating
from skylarkcleat.protocol import owning
from skylarkcleat.scheduling import lease
from skylarkcleat.scheduling import owner as owner_lib
from skylarkcleat.wire import session as session_lib

TICK_S = 0.02
HEIR_S = 1.0
"""How often an owner looks for a front that suits better."""

FRESH_S = lease.OWNER_TIMEOUT_S + 0.15
"""A front that heard the former owner so lately knows its side processes: it
gives a new one no tasks for `QUARANTINE_S`."""

RESTART_S = 2.0
"""A front that became the owner so soon after its start, and hears of no
owner before, follows a restart of all: what ran before has lapsed."""


class Succession:
    """Carries out this front's part in the choice of an owner.

    Args:
        me: This front.
        election: Decides whom to follow.
        knowledge: What this front knows of others.
        configurations: Its copy of the configuration.
        ownership: The owner, while it is here.
        send: Sends a message to a process by name.
    """

    def __init__(
        self,
        me: session_lib.Endpoint,
        election: election_lib.Election,
        knowledge: peer_table_lib.PeerTable,
        configurations: configurations_lib.Configurations,
        ownership: ownership_lib.Ownership,
        send: t.Callable[[str, t.Any], None],
    ) -> None:
        self._me = me
        self._election = election
        self._knowledge = knowledge
        self._configurations = configurations
        self._ownership = ownership
        self._send = send
        self._begun_at = clock_lib.read_monotonic()
        self._beaten_at = float("-inf")
        self._heir_sought_at = float("-inf")
        self._told: dict[session_lib.Endpoint, owning.SideNames] = {}
        self._former_sides = owning.SideNames(0, ())
        self._followed_at: dict[int, float] = {}
        self._versions: dict[str, int] = {}

    async def run(self) -> None:
        """Claims the ownership when it is due, and keeps it."""
        while True:
            now = clock_lib.read_monotonic()
            former = self._election.followed
            silence_s = now - self._election.last_seen_at
            if self._election.tick(now):
                self._begin(former, silence_s, now)
            if self._election.is_owner:
                self._keep(now)
            await asyncio.sleep(TICK_S)

    def find_lapse(self, former_term: int) -> float:
        """Returns in how many seconds nothing runs under a former owner."""
        election = self._election
        is_same = former_term == election.followed.term
        if is_same or former_term in election.inherited:
            return 0.0
        now = clock_lib.read_monotonic()
        followed_at = self._followed_at.get(former_term, now)
        return max(0.0, lease.RUN_EXPIRY_S - (now - followed_at))

    def find_version(self, owner: str) -> int:
        """Returns the version of the configuration that an owner has."""
        return self._versions.get(owner, 0)

    def note_version(self, owner: str, version: int) -> None:
        """Takes in that an owner has a configuration."""
        known = self._versions.get(owner, 0)
        self._versions[owner] = max(known, version)

    def receive(
        self, peer: session_lib.Endpoint, message: owning.OwningMessage
    ) -> None:
        """Takes in a message of an owner or for one."""
        now = clock_lib.read_monotonic()
        if isinstance(message, owning.OwnerHeartbeat):
            self._take_beat(peer.name, message, now)
        elif isinstance(message, owning.OwnerHeartbeatReply):
            if self._election.handle_heartbeat_reply(peer.name, message, now):
                self._ownership.note_answer(peer, message)
                self._tell_sides(peer)
        elif isinstance(message, owning.SideNames):
            if message.term >= self._former_sides.term:
                self._former_sides = message
        elif isinstance(message, owning.Handover):
            self._take_handover(message, now)

    def release(self) -> None:
        """Hands the ownership over, if it is here: this front will stop."""
        self._election.rank = election_lib.UNSUITABLE_RANK
        now = clock_lib.read_monotonic()
        if self._election.is_owner:
            self._hand_over(self._election.find_successor(now, True), now)

    def _take_beat(
        self, sender: str, beat: owning.OwnerHeartbeat, now: float
    ) -> None:
        election = self._election
        former = election.followed
        inherited = election.inherited
        was_owner = election.is_owner
        sides = len(self._ownership.sides)
        reply = election.handle_heartbeat(sender, beat, sides, now)
        self.note_version(sender, beat.version)
        if self._configurations.note_version(beat.version):
            version = self._configurations.version
            self._send(sender, locating.FetchConfiguration(version))
        if reply is None:
            return
        if was_owner:
            # The other owner has more side processes.
            reason = f"{sender} owns the jobs too"
            self._leave(reason, sender, former.term, inherited, now)
        self._note_followed(self._election.followed.term, now)
        self._send(sender, reply)

    def _note_followed(self, term: int, now: float) -> None:
        """Takes in that jobs of this front may run in a term until now."""
        self._followed_at[term] = now
        while len(self._followed_at) > election_lib.KEPT_TERMS:
            del self._followed_at[min(self._followed_at)]

    def _begin(
        self, former: locating.OwnerRef, silence_s: float, now: float
    ) -> None:
        """Takes over from an owner that is not heard any more."""
        election = self._election
        known = self._former_sides
        is_complete = (
            former.term > 0
            and known.term == former.term
            and silence_s < FRESH_S
        )
        is_restart = election.is_first and now - self._begun_at < RESTART_S
        is_settled = is_complete or is_restart
        predecessor = owner_lib.Predecessor(
            former.term,
            known.names if is_complete else (),
            now if is_settled else now + lease.TAKEOVER_WAIT_S,
            self._list_fronts(now),
        )
        self._ownership.begin(election.followed.term, predecessor)
        self._announce(known.names, now)

    def _take_handover(self, handover: owning.Handover, now: float) -> None:
        was_owner = self._election.is_owner
        if not self._election.handle_handover(handover, now):
            return
        term = self._election.followed.term
        if was_owner:
            self._ownership.extend(term, handover.sides)
        else:
            predecessor = owner_lib.Predecessor(
                handover.term, handover.sides, now, self._list_fronts(now)
            )
            self._ownership.begin(term, predecessor)
        self._announce(handover.sides, now)

    def _hand_over(self, heir: str, now: float) -> None:
        if not heir:
            return
        term = self._election.followed.term
        inherited = self._election.inherited
        self._election.resign(heir, now)
        self._leave(f"handed over to {heir}", heir, term, inherited, now)

    def _leave(
        self,
        reason: str,
        heir: str,
        term: int,
        inherited: tuple[int, ...],
        now: float,
    ) -> None:
        """Gives what was owned in a term to the front that owns the jobs."""
        sides = self._ownership.end(reason)
        self._note_followed(term, now)
        self._send(heir, owning.Handover(term, inherited, sides))
        for side in sides:
            self._send(side, owning.OwnershipMoved(heir, term))

    def _announce(self, sides: t.Iterable[str], now: float) -> None:
        """Tells fronts and side processes at once who owns the jobs."""
        eliot.log_message("front:claimed", term=self._election.followed.term)
        self._told.clear()
        self._note_followed(self._election.followed.term, now)
        self._beat(now)
        found = locating.OwnerFound(self._election.followed)
        for side in sides:
            self._send(side, found)

    def _keep(self, now: float) -> None:
        if now - self._beaten_at >= lease.HEARTBEAT_INTERVAL_S:
            self._beat(now)
        self._ownership.tick()
        if now - self._heir_sought_at >= HEIR_S:
            self._heir_sought_at = now
            self._hand_over(self._election.find_successor(now, False), now)

    def _beat(self, now: float) -> None:
        self._beaten_at = now
        election = self._election
        sides = self._ownership.sides
        beat = owning.OwnerHeartbeat(
            election.followed.term,
            election.inherited,
            now,
            len(sides),
            self._configurations.version,
        )
        for name in self._list_fronts(now):
            self._send(name, beat)

    def _list_fronts(self, now: float) -> tuple[str, ...]:
        """Returns the names of the other fronts that are known."""
        return tuple(self._knowledge.list_names(self._me.name, now))

    def _tell_sides(self, front: session_lib.Endpoint) -> None:
        term = self._election.followed.term
        message = owning.SideNames(term, self._ownership.sides)
        if self._told.get(front) != message:
            self._told[front] = message
            self._send(front.name, message)
