"""The side processes that hold leases from one owner, or from its predecessor.

A worker is the owner's record of one side process and its runner.
"""

from __future__ import annotations

import collections
import collections.abc
import math

import eliot

from skylarkcleat import containment as containment_lib
from skylarkcleat.protocol import leasing
from skylarkcleat.scheduling import fleet_rooms
from skylarkcleat.scheduling import placed_run
from skylarkcleat.scheduling import room_index as room_index_lib
from skylarkcleat.scheduling import settling as settling_lib
from skylarkcleat.scheduling import speed as speed_lib
from skylarkcleat.scheduling import worker as worker_lib
from skylarkcleat.scheduling import worker_changes as worker_changes_lib
from skylarkcleat.scheduling import worker_obstacle
from skylarkcleat.scheduling import worker_phase
from skylarkcleat.scheduling import workers_log
from skylarkcleat.scheduling import zones_in_use
from skylarkcleat.wire import session as session_lib

PACKED_SHARE = 0.8
"""The part of a runner's cores that a full runner's tasks use: tasks of a tenth
of its cores, as on the large deployments, leave half of one free on average."""

GROWTH_WINDOW_S = 1.0
"""The fleet is growing while half of the side processes, and more than one,
have joined within this time, as after a power loss of all VMs: they start
within about a second."""


class Workers:
    """Grants leases, and tracks leases of a previous owner that may be valid.

    Args:
        sides: The side processes of the previous owner.
        settled_at: Until this time others may run tasks, in seconds.
        now: The time, in seconds.
        containment: Contains the errors of single steps.

    Attributes:
        by_side: The side processes that hold a lease, by name.
        settling: Those that may run tasks of a previous owner.
        zones: The zones that get tasks.
    """

    def __init__(
        self,
        sides: collections.abc.Iterable[str],
        settled_at: float,
        now: float,
        containment: containment_lib.Containment | None = None,
    ) -> None:
        self.by_side: dict[str, worker_lib.Worker] = {}
        self.settling = settling_lib.Settling(settled_at, now)
        self.zones = zones_in_use.ALL_IN_USE
        self._joined_at: dict[str, float] = {}
        self._unknown: dict[str, None] = {}
        self._speeds: dict[str, speed_lib.RunnerSpeed] = {}
        self._log = workers_log.WorkersLog(now)
        self._changes = worker_changes_lib.WorkerChanges()
        self._rooms = fleet_rooms.FleetRooms(
            self.by_side,
            self._changes,
            containment or containment_lib.Containment(),
        )
        self._registered = 0
        self._expiry_due_at = now
        self.expect_sides(sides, now)

    def expect_sides(
        self, sides: collections.abc.Iterable[str], now: float
    ) -> list[worker_lib.Worker]:
        """Adds side processes that may run tasks of a previous owner.

        Returns:
            Those that hold a lease from this owner as well. They may have had
            one from the other owner since they reported, so they have to
            register again.
        """
        outdated = []
        for side in sides:
            self._joined_at[side] = now
            self._unknown.pop(side, None)
            self.settling.expect(side, now)
            worker = self.by_side.get(side)
            if worker is not None:
                worker.phase = worker_phase.Phase.OUTDATED
                outdated.append(worker)
        return outdated

    def list_names(self) -> tuple[str, ...]:
        """Returns the names of all side processes that may run tasks."""
        return tuple(sorted({*self.by_side, *self.settling.sides}))

    def register(
        self,
        peer: session_lib.Endpoint,
        message: leasing.Register,
        now: float,
    ) -> worker_lib.Worker:
        """Grants a side process a lease, replacing any earlier one.

        Runs under the earlier lease keep using capacity until the report.
        """
        key = message.runner.id if message.runner else message.side
        speed = self._speeds.setdefault(key, speed_lib.RunnerSpeed())
        previous = self.by_side.get(message.side)
        if message.side not in self._joined_at:
            self._joined_at[message.side] = now
            self._unknown[message.side] = None
        open_at = math.inf if message.side in self._unknown else now
        self._registered += 1
        order = previous.order if previous else self._registered
        worker = worker_lib.Worker(
            message, peer, now, open_at, speed, self._changes, order
        )
        worker.zone_obstacle = self.zones.find_obstacle(worker.zone)
        if previous is not None:
            worker.inherit(previous)
        self.by_side[message.side] = worker
        return worker

    def list_unknown(self) -> list[str]:
        """Returns the side processes that a successor may not know.

        They get no tasks until they are opened.
        """
        return list(self._unknown)

    def open(self, sides: collections.abc.Iterable[str], now: float) -> None:
        """Lets side processes get tasks that every successor knows."""
        for side in sides:
            del self._unknown[side]
            self.by_side[side].open_at = now

    def update_zones(self, zones: zones_in_use.ZonesInUse) -> None:
        """Sends tasks to the given zones only from now on."""
        self.zones = zones
        for worker in self.by_side.values():
            worker.zone_obstacle = zones.find_obstacle(worker.zone)

    def find(self, side: str, epoch: int) -> worker_lib.Worker | None:
        """Returns the worker with a lease, or None if that is not current."""
        worker = self.by_side.get(side)
        return worker if worker and worker.epoch == epoch else None

    def record_report(self, worker: worker_lib.Worker) -> None:
        """Records that a worker has reported all its runs."""
        if worker.phase is worker_phase.Phase.OUTDATED:
            return
        worker.phase = worker_phase.Phase.READY
        self.settling.record_report(worker.side)

    def remove(
        self, worker: worker_lib.Worker, reason: str, now: float
    ) -> None:
        """Removes a worker under whose lease no task can run any more."""
        del self.by_side[worker.side]
        self._joined_at.pop(worker.side, None)
        self._unknown.pop(worker.side, None)
        self._changes.record(worker.side)
        for task in worker.runs:
            self._changes.discard_run(task, worker.side)
        eliot.log_message(
            "owner:worker-lost",
            side=worker.side,
            epoch=worker.epoch,
            reason=reason,
            runs=len(worker.runs),
            lease_age_ms=round((now - worker.granted_at) * 1000),
        )

    def list_expired(self, now: float) -> list[worker_lib.Worker]:
        """Returns the workers under whose leases no task can run any more."""
        if now < self._expiry_due_at:
            return []
        workers = self.by_side.values()
        expired = [worker for worker in workers if now >= worker.expires_at]
        # Leases are only ever extended, and a new one lasts longer than all.
        self._expiry_due_at = min(
            (each.expires_at for each in workers if now < each.expires_at),
            default=now,
        )
        return expired

    def expire_unreported(self, now: float) -> None:
        """Drops sides whose leases from a previous owner have expired."""
        for side in self.settling.expire(self.by_side, now):
            self._joined_at.pop(side, None)

    def find_rooms(self, upstream: str, now: float) -> room_index_lib.RoomIndex:
        """Returns the runners of an upstream, up to date.

        Those whose lease is late, or that are paused, are among them.
        """
        return self._rooms.find(upstream, now)

    def list_open(self, now: float) -> list[worker_lib.Worker]:
        """Returns the workers that may be sent tasks."""
        return [each for each in self.by_side.values() if each.is_open(now)]

    def find_capacities(self, now: float) -> dict[str, float]:
        """Returns the work that the open runners of each upstream can do.

        Returns:
            In core-seconds of an average runner a second, by upstream; none
            while many more runners may join, as after the first one has.
        """
        capacities: dict[str, float] = {}
        since = now - GROWTH_WINDOW_S
        recent = sum(self._joined_at[side] > since for side in self.by_side)
        if 2 * recent >= len(self.by_side):
            return capacities
        for worker in self.list_open(now):
            upstream = worker.runner.upstream
            rate = PACKED_SHARE * worker.runner.cpu / 1000 / worker.factor
            capacities[upstream] = capacities.get(upstream, 0.0) + rate
        return capacities

    def is_growing(self, now: float) -> bool:
        """Returns whether many more side processes may join at any moment."""
        since = now - GROWTH_WINDOW_S
        recent = sum(self._joined_at[side] > since for side in self.by_side)
        return recent > 1 and 2 * recent >= len(self.by_side)

    def log_closed(self, now: float) -> None:
        """Logs at intervals how many side processes get no tasks, and why."""
        if not self._log.is_due(now):
            return
        obstacles = [
            worker_obstacle.find_obstacle(each, now)
            for each in self.by_side.values()
        ]
        self._log.record(collections.Counter(obstacles), now)

    def list_runs(
        self, task: str
    ) -> list[tuple[worker_lib.Worker, placed_run.PlacedRun]]:
        """Returns the runs of a task, with their workers."""
        workers = [self.by_side[s] for s in self._changes.list_sides(task)]
        return [(worker, worker.runs[task]) for worker in workers]
