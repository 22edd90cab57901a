"""The owner's view of one side process and its runner."""

from __future__ import annotations

import enum
import typing as t

from skylarkcleat.protocol import scheduling
from skylarkcleat.scheduling import lease
from skylarkcleat.scheduling import speed as speed_lib
from skylarkcleat.wire import session as session_lib

FACTOR_INTERVAL_S = 0.02
"""How often a runner's slowness is worked out."""


class Phase(enum.Enum):
    """What may be sent to a side process."""

    REPORTING = "reporting"
    READY = "ready"


class PlacedRun(t.NamedTuple):
    """A run that was ordered and whose end is not known.

    Attributes:
        task: The task's name.
        run: Its number.
        step: What it takes.
        started_at: When it was ordered, in seconds.
        expected_s: How long it was expected to take there.
    """

    task: str
    run: int
    step: scheduling.Step
    started_at: float
    expected_s: float


class Worker:
    """One side process under one lease.

    Attributes:
        side: The side process's name.
        peer: Its incarnation.
        epoch: The fencing token of its lease.
        zone: Its availability zone.
        runner: What its runner last said; None before that.
        phase: Whether its report has come.
        granted_at: When the lease was last prolonged, in seconds.
        open_at: From when on it may be sent tasks, in seconds.
        is_unresponsive: Whether its runner does not answer.
        runs: What runs there, by task.
        speed: How fast the runner is.
        factor: How much longer tasks take there than elsewhere, as of the
            last `update_factor`.
    """

    def __init__(
        self,
        register: scheduling.Register,
        peer: session_lib.Endpoint,
        now: float,
        open_at: float,
        speed: speed_lib.RunnerSpeed,
    ) -> None:
        self.side = register.side
        self.peer = peer
        self.epoch = register.epoch
        self.zone = register.zone
        self.runner = register.runner
        self.phase = Phase.REPORTING
        self.granted_at = now
        self.open_at = open_at
        self.is_unresponsive = False
        self.runs: dict[str, PlacedRun] = {}
        self.speed = speed
        self.factor = speed.find_factor(now)
        self._factor_updated_at = now
        self._used_cpu = 0
        self._used_memory_mb = 0
        self._used_gpu = 0

    @property
    def expires_at(self) -> float:
        """When nothing started under the lease can still run."""
        return lease.find_expiry(self.granted_at)

    @property
    def rack(self) -> str:
        """The rack of the runner: its last label."""
        if self.runner is None or not self.runner.labels:
            return ""
        return self.runner.labels[-1]

    def is_open(self, now: float) -> bool:
        """Returns whether tasks may be sent."""
        if self.phase is not Phase.READY or self.runner is None:
            return False
        if self.runner.draining or self.is_unresponsive or now < self.open_at:
            return False
        return now < self.granted_at + lease.FRONT_LEASE_S

    def update_factor(self, now: float) -> None:
        """Renews `factor`, unless it is new enough."""
        if now - self._factor_updated_at < FACTOR_INTERVAL_S:
            return
        self._factor_updated_at = now
        lateness: dict[str, float] = {}
        for run in self.runs.values():
            if run.expected_s > 0:
                # A job's estimate is off for all its tasks: they count once.
                job = run.task.partition(".")[0]
                late = (now - run.started_at) / run.expected_s
                lateness[job] = min(late, lateness.get(job, late))
        self.factor = self.speed.find_current_factor(now, lateness.values())

    def fits(self, step: scheduling.Step) -> bool:
        """Returns whether the runner has room for a task of a step."""
        runner = self.runner
        return (
            self._used_cpu + step.cpu <= runner.cpu
            and self._used_memory_mb + step.memory_mb <= runner.memory_mb
            and self._used_gpu + step.gpu <= runner.gpu
        )

    def count_room(self, step: scheduling.Step) -> int:
        """Returns how many tasks of a step the runner has room for."""
        free = self.runner.cpu - self._used_cpu
        return max(free // max(step.cpu, 1), 0) if self.fits(step) else 0

    def could_run(self, upstream: str, step: scheduling.Step) -> bool:
        """Returns whether an idle runner of this kind could run a task."""
        runner = self.runner
        return (
            runner is not None
            and runner.upstream == upstream
            and step.cpu <= runner.cpu
            and step.memory_mb <= runner.memory_mb
            and step.gpu <= runner.gpu
            and (not step.requirement or step.requirement in runner.labels)
        )

    def add(self, placed: PlacedRun) -> None:
        """Takes in that a task was ordered."""
        self.runs[placed.task] = placed
        self._adjust_usage(placed.step, 1)

    def remove(self, task: str, run: int) -> PlacedRun | None:
        """Takes in that a run is over, and returns it if it was known."""
        placed = self.runs.get(task)
        if placed is None or placed.run != run:
            return None
        del self.runs[task]
        self._adjust_usage(placed.step, -1)
        return placed

    def _adjust_usage(self, step: scheduling.Step, sign: int) -> None:
        self._used_cpu += sign * step.cpu
        self._used_memory_mb += sign * step.memory_mb
        self._used_gpu += sign * step.gpu
