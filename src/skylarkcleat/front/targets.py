"""The targets of a front's requests: the owner and the log's leader."""

from __future__ import annotations

import typing as t

from skylarkcleat import clock as clock_lib
from skylarkcleat.configuration import content
from skylarkcleat.discovery import election as election_lib
from skylarkcleat.discovery import peer_table as peer_table_lib
from skylarkcleat.front import configuration_cache as configuration_cache_lib
from skylarkcleat.front import election_task as election_task_lib
from skylarkcleat.front import log_service as log_service_lib
from skylarkcleat.front import obstacle as obstacle_lib
from skylarkcleat.front import ownership as ownership_lib
from skylarkcleat.front import pause as pause_lib
from skylarkcleat.front import target as target_lib
from skylarkcleat.protocol import locating
from skylarkcleat.wire import session as session_lib


class OwnerTarget(target_lib.Target):
    """The front that owns the jobs."""

    def __init__(
        self,
        local: session_lib.Endpoint,
        election: election_lib.Election,
        election_task: election_task_lib.ElectionTask,
        ownership: ownership_lib.Ownership,
        configuration_cache: configuration_cache_lib.ConfigurationCache,
        pauses: pause_lib.PauseWatch,
        send: t.Callable[[str, t.Any], None],
    ) -> None:
        self._local = local
        self._election = election
        self._pauses = pauses
        self._election_task = election_task
        self._ownership = ownership
        self._configuration_cache = configuration_cache
        self._send = send

    def find_term(self) -> int:
        """Returns the owner's term; 0 while its queues may be outdated."""
        return 0 if self.find_obstacle() else self._election.followed.term

    def find_obstacle(self) -> obstacle_lib.Obstacle:
        """Returns why no job can be sent to an owner."""
        now = clock_lib.read_monotonic()
        if self._pauses.is_recovering(now):
            return obstacle_lib.Obstacle.PAUSED
        if not self._election.has_live_owner(now):
            return obstacle_lib.Obstacle.NO_OWNER
        if not self._configuration_cache.version:
            # After all processes restart, it comes from the leader of the log.
            return obstacle_lib.Obstacle.NO_CONFIGURATION
        owner = self._election.followed.name
        has_newest = owner != self._local.name and (
            self._election_task.find_owner_version(owner)
            >= self._configuration_cache.latest_known_version
        )
        if self._configuration_cache.is_behind and not has_newest:
            return obstacle_lib.Obstacle.OUTDATED_CONFIGURATION
        return obstacle_lib.Obstacle.NONE

    def find_expiry_s(self, previous_term: int) -> float:
        """Returns the seconds until no run of a previous owner is left."""
        return self._election_task.find_expiry_s(previous_term)

    def find_heartbeat(self) -> target_lib.LastHeartbeat:
        """Returns the owner's last heartbeat; none if it is this front."""
        if not self._election.heartbeat_at:
            return target_lib.LastHeartbeat()
        age_s = clock_lib.read_monotonic() - self._election.last_seen_at
        return target_lib.LastHeartbeat(self._election.heartbeat_at, age_s)

    def send(self, message: t.NamedTuple) -> None:
        """Sends a message to the owner, preceded by a newer configuration."""
        owner = self._election.followed.name
        if owner == self._local.name:
            self._ownership.receive(self._local, message)
            return
        if not owner:
            return
        version = self._configuration_cache.version
        if self._election_task.find_owner_version(owner) < version:
            self._election_task.record_owner_version(owner, version)
            data = content.encode(self._configuration_cache.current)
            self._send(owner, locating.GiveConfiguration(data))
        self._send(owner, message)


class LogTarget(target_lib.Target):
    """The front that leads the log.

    A new leader takes requests once an entry of its own term is committed.
    """

    retries_refusals = True

    def __init__(
        self,
        local: session_lib.Endpoint,
        peers: peer_table_lib.PeerTable,
        service: log_service_lib.LogService,
        send: t.Callable[[str, t.Any], None],
    ) -> None:
        self._local = local
        self._peers = peers
        self._service = service
        self._send = send

    def find_term(self) -> int:
        """Returns the term of the leader that is known; 0 if none is."""
        return self._peers.log.term

    def find_obstacle(self) -> obstacle_lib.Obstacle:
        """Returns why no request can be sent."""
        if self._peers.log.term:
            return obstacle_lib.Obstacle.NONE
        return obstacle_lib.Obstacle.NO_LEADER

    def find_expiry_s(self, previous_term: int) -> float:
        """Returns 0: the order of the log alone decides its entries."""
        del previous_term
        return 0.0

    def send(self, message: t.NamedTuple) -> None:
        """Sends a message to the leader."""
        leader = self._peers.log.leader
        if leader == self._local.name:
            self._service.receive(self._local, message)
        else:
            self._send(leader, message)
