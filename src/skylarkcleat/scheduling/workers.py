"""The side processes that hold leases from one owner."""

from __future__ import annotations

import collections.abc

import eliot

from skylarkcleat.protocol import scheduling
from skylarkcleat.scheduling import lease
from skylarkcleat.scheduling import speed as speed_lib
from skylarkcleat.scheduling import worker as worker_lib
from skylarkcleat.wire import session as session_lib

EPOCHS_PER_OWNER = 1 << 16


class Workers:
    """Gives leases, and knows which of a former owner's may still last.

    Args:
        index: The log position at which the owner became one.
        sides: The side processes that may hold leases of former owners.
        now: The time, in seconds.

    Attributes:
        by_side: The side processes that hold a lease, by name.
    """

    def __init__(
        self, index: int, sides: collections.abc.Iterable[str], now: float
    ) -> None:
        self.by_side: dict[str, worker_lib.Worker] = {}
        self._base = index * EPOCHS_PER_OWNER
        self._epochs = 0
        self._unheard = dict.fromkeys(sides, lease.find_expiry(now))
        self._speeds: dict[str, speed_lib.Speed] = {}

    @property
    def is_settled(self) -> bool:
        """Whether no runner may run what this owner does not know."""
        return not self._unheard

    def register(
        self,
        peer: session_lib.Endpoint,
        message: scheduling.Register,
        now: float,
    ) -> worker_lib.Worker:
        """Gives a side process a lease, in place of any former one.

        Runs under the former lease stay counted until the report.
        """
        self._epochs += 1
        epoch = self._base + self._epochs
        key = message.runner.id if message.runner else message.side
        speed = self._speeds.setdefault(key, speed_lib.Speed())
        former = self.by_side.get(message.side)
        worker = worker_lib.Worker(message, peer, epoch, now, speed)
        if former is not None:
            for placed in former.runs.values():
                worker.add(placed)
        self.by_side[message.side] = worker
        return worker

    def find(self, epoch: int) -> worker_lib.Worker | None:
        """Returns the worker with a lease, or None if it is not in force."""
        for worker in self.by_side.values():
            if worker.epoch == epoch:
                return worker
        return None

    def note_report(self, worker: worker_lib.Worker) -> None:
        """Takes in that all that runs there is known."""
        worker.phase = worker_lib.Phase.READY
        if self._unheard.pop(worker.side, None) and not self._unheard:
            eliot.log_message("owner:settled", reported=worker.side)

    def remove(
        self, worker: worker_lib.Worker, reason: str, now: float
    ) -> None:
        """Ends a lease under which nothing can run any more."""
        del self.by_side[worker.side]
        eliot.log_message(
            "owner:worker-lost",
            side=worker.side,
            epoch=worker.epoch,
            reason=reason,
            runs=len(worker.runs),
            lease_age_ms=round((now - worker.granted_at) * 1000),
        )

    def list_expired(self, now: float) -> list[worker_lib.Worker]:
        """Returns the workers under whose leases nothing can run any more."""
        workers = self.by_side.values()
        return [worker for worker in workers if now >= worker.expires_at]

    def forget_unheard(self, now: float) -> list[str]:
        """Gives up on sides whose leases of a former owner have ended.

        One that has registered may prolong its runs until it has reported.

        Returns:
            Their names.
        """
        gone = [
            side
            for side, until in self._unheard.items()
            if now >= until and side not in self.by_side
        ]
        for side in gone:
            del self._unheard[side]
            eliot.log_message("owner:side-unheard", side=side)
        return gone

    def list_open(self, now: float) -> list[worker_lib.Worker]:
        """Returns the workers that may be sent tasks."""
        return [each for each in self.by_side.values() if each.is_open(now)]

    def list_runs(
        self, task: str
    ) -> list[tuple[worker_lib.Worker, worker_lib.Placed]]:
        """Returns where a task runs."""
        return [
            (worker, worker.runs[task])
            for worker in self.by_side.values()
            if task in worker.runs
        ]
