"""The side processes that hold leases from one owner, or from its predecessor.

A worker is the owner's record of one side process and its runner.
"""

from __future__ import annotations

import collections
import collections.abc

import eliot

from skylarkcleat.protocol import scheduling
from skylarkcleat.scheduling import settling as settling_lib
from skylarkcleat.scheduling import speed as speed_lib
from skylarkcleat.scheduling import worker as worker_lib
from skylarkcleat.scheduling import workers_log
from skylarkcleat.wire import session as session_lib

QUARANTINE_S = 0.3
"""How long a side process gets no tasks after its first registration.

Its name is sent to the fronts meanwhile, so that a front that takes over knows
every side process that may run tasks."""


class Workers:
    """Grants leases, and tracks leases of a previous owner that may be valid.

    Args:
        sides: The side processes of the previous owner.
        settled_at: Until this time others may run tasks, in seconds.
        now: The time, in seconds.

    Attributes:
        by_side: The side processes that hold a lease, by name.
        settling: Those that may run tasks of a previous owner.
    """

    def __init__(
        self,
        sides: collections.abc.Iterable[str],
        settled_at: float,
        now: float,
    ) -> None:
        self.by_side: dict[str, worker_lib.Worker] = {}
        self.settling = settling_lib.Settling(settled_at, now)
        self._announced_at: dict[str, float] = {}
        self._speeds: dict[str, speed_lib.RunnerSpeed] = {}
        self._log = workers_log.WorkersLog(now)
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
            self._announced_at[side] = now - QUARANTINE_S
            self.settling.expect(side, now)
            worker = self.by_side.get(side)
            if worker is not None:
                worker.phase = worker_lib.Phase.OUTDATED
                outdated.append(worker)
        return outdated

    def list_names(self) -> tuple[str, ...]:
        """Returns the names of all side processes that may run tasks."""
        return tuple(sorted({*self.by_side, *self.settling.sides}))

    def register(
        self,
        peer: session_lib.Endpoint,
        message: scheduling.Register,
        now: float,
    ) -> worker_lib.Worker:
        """Grants a side process a lease, replacing any earlier one.

        Runs under the earlier lease keep using capacity until the report.
        """
        key = message.runner.id if message.runner else message.side
        speed = self._speeds.setdefault(key, speed_lib.RunnerSpeed())
        previous = self.by_side.get(message.side)
        open_at = (
            self._announced_at.setdefault(message.side, now) + QUARANTINE_S
        )
        worker = worker_lib.Worker(message, peer, now, open_at, speed)
        if previous is not None:
            worker.inherit(previous)
        self.by_side[message.side] = worker
        return worker

    def find(self, side: str, epoch: int) -> worker_lib.Worker | None:
        """Returns the worker with a lease, or None if that is not current."""
        worker = self.by_side.get(side)
        return worker if worker and worker.epoch == epoch else None

    def record_report(self, worker: worker_lib.Worker) -> None:
        """Records that a worker has reported all its runs."""
        if worker.phase is worker_lib.Phase.OUTDATED:
            return
        worker.phase = worker_lib.Phase.READY
        self.settling.record_report(worker.side)

    def remove(
        self, worker: worker_lib.Worker, reason: str, now: float
    ) -> None:
        """Removes a worker under whose lease no task can run any more."""
        del self.by_side[worker.side]
        self._announced_at.pop(worker.side, None)
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
        workers = self.by_side.values()
        return [worker for worker in workers if now >= worker.expires_at]

    def expire_unreported(self, now: float) -> None:
        """Drops sides whose leases from a previous owner have expired."""
        for side in self.settling.expire(self.by_side, now):
            self._announced_at.pop(side, None)

    def update_factors(self, now: float) -> None:
        """Updates the workers' duration factors."""
        for worker in self.by_side.values():
            worker.update_factor(now)

    def list_open(self, now: float) -> list[worker_lib.Worker]:
        """Returns the workers that may be sent tasks."""
        return [each for each in self.by_side.values() if each.is_open(now)]

    def log_closed(self, now: float) -> None:
        """Logs at intervals how many side processes get no tasks, and why."""
        obstacles = [each.find_obstacle(now) for each in self.by_side.values()]
        self._log.record(collections.Counter(obstacles), now)

    def list_runs(
        self, task: str
    ) -> list[tuple[worker_lib.Worker, worker_lib.PlacedRun]]:
        """Returns the runs of a task, with their workers."""
        return [
            (worker, worker.runs[task])
            for worker in self.by_side.values()
            if task in worker.runs
        ]
