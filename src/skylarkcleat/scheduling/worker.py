"""The owner's record of one side process and its runner."""

from __future__ import annotations

from skylarkcleat.protocol import leasing
from skylarkcleat.protocol import reporting
from skylarkcleat.protocol import scheduling
from skylarkcleat.scheduling import cold_start
from skylarkcleat.scheduling import duration_factor
from skylarkcleat.scheduling import lease
from skylarkcleat.scheduling import placed_run
from skylarkcleat.scheduling import recent_starts
from skylarkcleat.scheduling import runner_life
from skylarkcleat.scheduling import speed as speed_lib
from skylarkcleat.scheduling import worker_changes as worker_changes_lib
from skylarkcleat.scheduling import worker_phase
from skylarkcleat.wire import session as session_lib

NO_FAULT_REASONS = frozenset(
    ("draining", "room", "silent", "held", reporting.UNSENT)
)
"""Reasons for a run that didn't start which don't count as failures of its
runner."""

REFUSAL_PAUSE_S = 0.05
"""How long a side process that refused a start for such a reason gets no tasks,
unless a run there ends earlier: the next start would be refused as well."""

REPORT_TIMEOUT_S = 2.0
"""A side process that has not reported this long after it registered has to
register again. A runner that does not answer is given up after 0.9 s."""


class Worker:
    """One side process under one lease.

    Args:
        register: The request for the lease.
        peer: The incarnation that sent it.
        now: The time, in seconds.
        open_at: From when on it may be sent tasks, in seconds; infinite until
            the fronts know it that may take over.
        speed: The measured speed of the runner.
        changes: Is told of each change of its room, runner or phase.
        order: Its number among the owner's side processes.

    Attributes:
        side: The side process's name.
        peer: Its incarnation.
        epoch: The fencing token of its lease.
        zone: Its availability zone.
        registered_at: When the lease was first granted, in seconds.
        granted_at: When the lease was last granted or renewed, in seconds.
        open_at: From when on it may be sent tasks, in seconds.
        has_restarted: Whether its runner has started anew since the runs that
            its former lease left.
        paused_until: Until when it gets no tasks, since it refused one for
            lack of room that is not known here, in seconds.
        trial_until: Until when it gets no other task, in seconds: the last
            one may have crashed a runner, and is to blame if this one crashes.
        zone_obstacle: Why its zone gets no tasks; `NONE` if it is in use.
        runs: The runs there, by task.
        speed: The measured speed of the runner.
        factor: The expected duration of tasks there relative to the average
            runner, as of the last `update_factor`.
        factor_due_at: From when on `factor` may be out of date, in seconds.
        free_cpu: The cores that no run uses, in thousandths of a core; 0
            without a runner, negative if its capacity has shrunk.
        order: Its number among the owner's side processes.
    """

    def __init__(
        self,
        register: leasing.Register,
        peer: session_lib.Endpoint,
        now: float,
        open_at: float,
        speed: speed_lib.RunnerSpeed,
        changes: worker_changes_lib.WorkerChanges | None = None,
        order: int = 0,
    ) -> None:
        self._changes = changes or worker_changes_lib.WorkerChanges()
        self.order = order
        self.side = register.side
        self.peer = peer
        self.epoch = register.epoch
        self.zone = register.zone
        self._runner = register.runner
        self._last_runner = register.runner
        self._phase = worker_phase.Phase.REPORTING
        self.registered_at = now
        self.granted_at = now
        self.open_at = open_at
        self._unresponsive_since: float | None = None
        self.has_restarted = False
        self.paused_until = 0.0
        self.trial_until = 0.0
        self._zone_obstacle = worker_phase.Closed.NONE
        self._recent_starts = recent_starts.RecentStarts()
        self.runs: dict[str, placed_run.PlacedRun] = {}
        self.speed = speed
        self._cold_start = cold_start.ColdStart()
        self._cold_start.record(register.runner, now)
        self.factor = speed.find_factor(now)
        self.factor_due_at = now
        self._used_cpu = 0
        self._used_memory_mb = 0
        self._used_gpu = 0
        self.free_cpu = 0
        self._update_room()

    @property
    def runner(self) -> leasing.Runner | None:
        """The runner's last description of itself; None before that."""
        return self._runner

    @runner.setter
    def runner(self, runner: leasing.Runner | None) -> None:
        self._runner = runner_life.keep_draining(self._last_runner, runner)
        self._last_runner = self._runner or self._last_runner
        self._update_room()

    def update_runner(self, runner: leasing.Runner, now: float) -> None:
        """Replaces the runner's description by one that has just arrived."""
        self.runner = runner
        self._cold_start.record(runner, now)
        self._expire_factor(now)

    @property
    def phase(self) -> worker_phase.Phase:
        """Whether it has reported its runs."""
        return self._phase

    @phase.setter
    def phase(self, phase: worker_phase.Phase) -> None:
        self._phase = phase
        self._changes.record(self.side)

    @property
    def zone_obstacle(self) -> worker_phase.Closed:
        """Why its zone gets no tasks; `NONE` if it is in use."""
        return self._zone_obstacle

    @zone_obstacle.setter
    def zone_obstacle(self, obstacle: worker_phase.Closed) -> None:
        self._zone_obstacle = obstacle
        self._changes.record(self.side)

    @property
    def unresponsive_since(self) -> float | None:
        """Since when its runner does not respond, in seconds, if so."""
        return self._unresponsive_since

    @unresponsive_since.setter
    def unresponsive_since(self, since: float | None) -> None:
        self._unresponsive_since = since
        self._changes.record(self.side)

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

    def inherit(self, previous: Worker) -> None:
        """Takes over the runs of an earlier lease, until they are reported."""
        for placed in previous.runs.values():
            self.add(placed)
        self._recent_starts = previous._recent_starts
        self.trial_until = previous.trial_until
        self._last_runner = previous._last_runner
        self.runner = self._runner
        self.unresponsive_since = previous.unresponsive_since
        former = runner_life.identify(previous.runner)
        self.has_restarted = runner_life.identify(self.runner) != former

    def must_register_again(self, now: float) -> bool:
        """Returns whether only another registration can open it."""
        if self.phase is worker_phase.Phase.REPORTING:
            return now - self.registered_at >= REPORT_TIMEOUT_S
        return self.phase is worker_phase.Phase.OUTDATED

    @property
    def may_open(self) -> bool:
        """Whether it may be sent tasks as far as that depends on no time."""
        return (
            self._phase is worker_phase.Phase.READY
            and self._runner is not None
            and not self._runner.draining
            and self._unresponsive_since is None
            and self._zone_obstacle is worker_phase.Closed.NONE
        )

    def is_open(self, now: float) -> bool:
        """Returns whether tasks may be sent."""
        return (
            self.may_open
            and now < self.granted_at + lease.FRONT_LEASE_S
            and now >= self.open_at
            and now >= self.paused_until
            and now >= self.trial_until
        )

    def record_refusal(self, reason: str, now: float) -> None:
        """Records that the side process refused a start."""
        if reason in NO_FAULT_REASONS:
            self.paused_until = now + REFUSAL_PAUSE_S
        else:
            self.speed.record_failure(now)

    def record_duration(self, took_s: float, base_s: float, now: float) -> None:
        """Records the duration of a run that was done here.

        Args:
            took_s: The duration, in seconds.
            base_s: The expected duration on an average runner, in seconds.
            now: The time, in seconds.
        """
        warm_s = took_s / self._cold_start.find_factor(now)
        self.speed.record_duration(warm_s, base_s, now)
        self._expire_factor(now)

    def update_factor(self, now: float) -> None:
        """Updates `factor` if it may have changed, and when it may next."""
        if now < self.factor_due_at:
            return
        self.factor, self.factor_due_at = duration_factor.measure_factor(
            self.speed, self._cold_start, self.runs.values(), now
        )

    def fits(self, step: scheduling.Step) -> bool:
        """Returns whether the runner has room for a task of a step."""
        runner = self._runner
        return (
            self._used_cpu + step.cpu <= runner.cpu
            and self._used_memory_mb + step.memory_mb <= runner.memory_mb
            and self._used_gpu + step.gpu <= runner.gpu
        )

    def count_room(self, step: scheduling.Step) -> int:
        """Returns how many tasks of a step the free cores have room for."""
        free = self._runner.cpu - self._used_cpu
        return max(free // max(step.cpu, 1), 0) if self.fits(step) else 0

    def could_run(self, step: scheduling.Step) -> bool:
        """Returns whether the runner, if idle, could run a task of a step."""
        runner = self._runner
        return (
            runner is not None
            and step.cpu <= runner.cpu
            and step.memory_mb <= runner.memory_mb
            and step.gpu <= runner.gpu
            and (not step.requirement or step.requirement in runner.labels)
        )

    def add(self, placed: placed_run.PlacedRun) -> None:
        """Adds a run and the resources that it uses."""
        self.runs[placed.task] = placed
        self._changes.record_run(placed.task, self.side)
        if placed.expected_s > 0:
            self._expire_factor(placed_run.find_late_at(placed))
        self._adjust_usage(placed.step, 1)

    def record_start(self, now: float) -> None:
        """Records that a start was ordered."""
        self._recent_starts.record(now)

    def count_recent_starts(self, now: float) -> int:
        """Returns how many starts were ordered only a moment before a time."""
        return self._recent_starts.count(now)

    def remove(self, task: str, run: int) -> placed_run.PlacedRun | None:
        """Removes a run that is over; returns it, or None if unknown."""
        placed = self.runs.get(task)
        if placed is None or placed.run != run:
            return None
        del self.runs[task]
        self._changes.discard_run(task, self.side)
        if placed.expected_s > 0:
            self.factor_due_at = 0.0
        self._adjust_usage(placed.step, -1)
        return placed

    def _adjust_usage(self, step: scheduling.Step, sign: int) -> None:
        self._used_cpu += sign * step.cpu
        self._used_memory_mb += sign * step.memory_mb
        self._used_gpu += sign * step.gpu
        self._update_room()

    def _expire_factor(self, at: float) -> None:
        self.factor_due_at = min(self.factor_due_at, at)

    def _update_room(self) -> None:
        cpu = self._runner.cpu if self._runner else 0
        self.free_cpu = cpu - self._used_cpu
        self._changes.record(self.side)
