"""The owner's record of one side process and its runner."""

from __future__ import annotations

import enum
import typing as t

from skylarkcleat.protocol import scheduling
from skylarkcleat.scheduling import lease
from skylarkcleat.scheduling import speed as speed_lib
from skylarkcleat.wire import session as session_lib

FACTOR_INTERVAL_S = 0.02
"""The interval at which a runner's duration factor is updated."""

NO_FAULT_REASONS = frozenset(("draining", "room", "silent", "held"))
"""Reasons for a run that didn't start which don't count as failures of its
runner."""

REFUSAL_PAUSE_S = 0.05
"""How long a side process that refused a start for such a reason gets no tasks,
unless a run there ends earlier: the next start would be refused as well."""


REPORT_TIMEOUT_S = 2.0
"""A side process that has not reported this long after it registered has to
register again. A runner that does not answer is given up after 0.9 s."""


class Phase(enum.Enum):
    """Whether a side process has reported its runs and may get tasks.

    `OUTDATED` means that it may have run another owner's tasks since, so that
    it has to register and report again.
    """

    REPORTING = "reporting"
    READY = "ready"
    OUTDATED = "outdated"


class Closed(enum.StrEnum):
    """Why a side process may not be sent tasks."""

    NONE = ""
    REPORTING = "reporting"
    OUTDATED = "outdated"
    NO_RUNNER = "no-runner"
    DRAINING = "draining"
    UNRESPONSIVE = "unresponsive"
    TOO_NEW = "too-new"
    PAUSED = "paused"
    LEASE_LATE = "lease-late"


_CLOSED_PHASES = {
    Phase.REPORTING: Closed.REPORTING,
    Phase.OUTDATED: Closed.OUTDATED,
}


class PlacedRun(t.NamedTuple):
    """A run that was ordered and whose end is not known.

    Attributes:
        task: The task's name.
        run: Its number.
        step: The step, with the resources that the run uses.
        started_at: When it was ordered, in seconds.
        expected_s: Its expected duration on that runner; 0 for a run that this
            owner did not order.
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
        runner: The runner's last description of itself; None before that.
        phase: Whether it has reported its runs.
        registered_at: When the lease was first granted, in seconds.
        granted_at: When the lease was last granted or renewed, in seconds.
        open_at: From when on it may be sent tasks, in seconds.
        unresponsive_since: Since when its runner does not respond, in seconds;
            None if it does.
        has_restarted: Whether its runner has started anew since the runs that
            its former lease left.
        paused_until: Until when it gets no tasks, since it refused one for
            lack of room that is not known here, in seconds.
        trial_until: Until when it gets no other task that may have crashed a
            runner, in seconds: if it crashes, one of them is to blame.
        runs: The runs there, by task.
        speed: The measured speed of the runner.
        factor: The expected duration of tasks there relative to the average
            runner, as of the last `update_factor`.
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
        self.registered_at = now
        self.granted_at = now
        self.open_at = open_at
        self.unresponsive_since: float | None = None
        self.has_restarted = False
        self.paused_until = 0.0
        self.trial_until = 0.0
        self.runs: dict[str, PlacedRun] = {}
        self.speed = speed
        self.factor = speed.find_factor(now)
        self._factor_updated_at = now
        self._used_cpu = 0
        self._used_memory_mb = 0
        self._used_gpu = 0

    @property
    def expires_at(self) -> float:
        """From when on no task started under the lease can still run."""
        return lease.find_expiry(self.granted_at)

    @property
    def rack(self) -> str:
        """The rack of the runner: its last label."""
        if self.runner is None or not self.runner.labels:
            return ""
        return self.runner.labels[-1]

    @property
    def is_unresponsive(self) -> bool:
        """Whether its runner does not respond."""
        return self.unresponsive_since is not None

    def inherit(self, previous: Worker) -> None:
        """Takes over the runs of an earlier lease, until they are reported."""
        for placed in previous.runs.values():
            self.add(placed)
        self.unresponsive_since = previous.unresponsive_since
        self.has_restarted = _identify(self.runner) != _identify(
            previous.runner
        )

    def must_register_again(self, now: float) -> bool:
        """Returns whether only another registration can open it."""
        if self.phase is Phase.REPORTING:
            return now - self.registered_at >= REPORT_TIMEOUT_S
        return self.phase is Phase.OUTDATED

    def is_open(self, now: float) -> bool:
        """Returns whether tasks may be sent."""
        return self.find_obstacle(now) is Closed.NONE

    def find_obstacle(self, now: float) -> Closed:
        """Returns why no tasks may be sent."""
        if self.phase is not Phase.READY:
            return _CLOSED_PHASES[self.phase]
        if self.runner is None:
            return Closed.NO_RUNNER
        if self.runner.draining:
            return Closed.DRAINING
        if self.is_unresponsive:
            return Closed.UNRESPONSIVE
        if now >= self.granted_at + lease.FRONT_LEASE_S:
            return Closed.LEASE_LATE
        if now < self.open_at:
            return Closed.TOO_NEW
        return Closed.PAUSED if now < self.paused_until else Closed.NONE

    def record_refusal(self, reason: str, now: float) -> None:
        """Records that the side process refused a start."""
        if reason in NO_FAULT_REASONS:
            self.paused_until = now + REFUSAL_PAUSE_S
        else:
            self.speed.record_failure(now)

    def update_factor(self, now: float) -> None:
        """Updates `factor` unless it is recent."""
        if now - self._factor_updated_at < FACTOR_INTERVAL_S:
            return
        self._factor_updated_at = now
        lateness: dict[str, float] = {}
        for run in self.runs.values():
            if run.expected_s > 0:
                # The tasks of a job share the error of its estimate, so only
                # the least late of them counts.
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
        """Returns how many tasks of a step the free cores have room for."""
        free = self.runner.cpu - self._used_cpu
        return max(free // max(step.cpu, 1), 0) if self.fits(step) else 0

    def could_run(self, upstream: str, step: scheduling.Step) -> bool:
        """Returns whether the runner, if idle, could run a task of a step."""
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
        """Adds a run and the resources that it uses."""
        self.runs[placed.task] = placed
        self._adjust_usage(placed.step, 1)

    def remove(self, task: str, run: int) -> PlacedRun | None:
        """Removes a run that is over; returns it, or None if unknown."""
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


def _identify(runner: scheduling.Runner | None) -> tuple[str, int]:
    """Returns what tells one life of a runner from another."""
    return (runner.id, runner.born_ms) if runner else ("", 0)
