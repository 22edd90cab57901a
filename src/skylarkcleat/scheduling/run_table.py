"""A side process's table of the runs on its runner, and admission of new ones.

Only the side process admits tasks against the runner's capacity, so that
neither a previous nor a new owner can overload it. A run uses capacity until
the runner reports its end. The module does no I/O and reads no clock.
"""

from __future__ import annotations

from skylarkcleat.protocol import leasing
from skylarkcleat.scheduling import lease
from skylarkcleat.scheduling import local_run
from skylarkcleat.scheduling import probe_result

MAX_OVERTAKEN_MS = 1000
"""How far a later answer can be ahead, in milliseconds of the runner's clock: a
probe times out earlier. A clock that is set back further has started anew."""


class RunTable:
    """The runs of one runner.

    Attributes:
        runner: The runner's last description of itself; None before its
            present life has given one.
        last_acknowledged: The number of the last end that the owner has
            acknowledged.
        runs: The runs that count against the runner's capacity, by task.
    """

    def __init__(self) -> None:
        self.runner: leasing.Runner | None = None
        self.last_acknowledged = 0
        self.runs: dict[str, local_run.LocalRun] = {}
        self._clock_ms = 0
        self._last_reported = 0
        self._previous_expires_at = float("-inf")
        self._stop_unadopted_at = float("-inf")

    @property
    def has_unacknowledged_ends(self) -> bool:
        """Whether ends were reported that are not acknowledged yet."""
        return self._last_reported > self.last_acknowledged

    def begin_lease(self, previous_expires_at: float, now: float) -> None:
        """Begins another lease, whose owner has adopted no run yet.

        Args:
            previous_expires_at: When the previous lease expires, in seconds.
                The hold isn't extended past it for runs that the new owner has
                not adopted.
            now: The time, in seconds.
        """
        self._previous_expires_at = previous_expires_at
        self._stop_unadopted_at = now + lease.ADOPTION_GRACE_S
        if previous_expires_at > now:
            self._stop_unadopted_at = previous_expires_at - lease.STOP_LEAD_S
        for known in self.runs.values():
            self._limit_to_previous_lease(known)

    def adopt(self, task: str, run: int) -> None:
        """Lifts the limits of a run that the current owner has adopted."""
        known = self.runs.get(task)
        if known is not None and known.run == run:
            known.stop_at = None
            known.must_end_by = None

    def request_stop(self, task: str, run: int, now: float) -> bool:
        """Marks a run to be stopped now.

        Returns:
            Whether the run is known; otherwise only the runner can decide.
        """
        known = self.runs.get(task)
        if known is None or known.run != run:
            return False
        known.stop_at = now
        must_end_by = now + lease.STOP_TIMEOUT_S
        known.must_end_by = min(known.must_end_by or must_end_by, must_end_by)
        return True

    def list_overdue(self, now: float) -> list[local_run.LocalRun]:
        """Returns the runs whose time to be stopped has come."""
        return [
            known
            for known in self.runs.values()
            if known.stop_at is not None and known.stop_at <= now
        ]

    def find_next_stop(self) -> float | None:
        """Returns when the next run is to be stopped; None for never."""
        times = [known.stop_at for known in self.runs.values()]
        return min((at for at in times if at is not None), default=None)

    def find_hold_limit(self) -> float | None:
        """Returns until when the hold may be extended; None for no limit."""
        times = [known.must_end_by for known in self.runs.values()]
        return min((at for at in times if at is not None), default=None)

    def begin_life(self) -> None:
        """Clears what is known of the runner: it has started anew."""
        self.runner = None
        self.last_acknowledged = 0
        self.runs.clear()
        self._last_reported = 0
        self._clock_ms = 0

    def admit(self, order: leasing.Start) -> str:
        """Admits an order to start a task if the runner has capacity.

        Returns:
            Empty if the task is to be started, or the reason for refusal.
        """
        runner = self.runner
        if runner is None:
            return "unknown-runner"
        if runner.draining:
            return "draining"
        known = self.runs.get(order.task)
        if known is not None:
            return "old" if known.run >= order.run else "busy"
        if not self._has_room(runner, order):
            return "room"
        self.runs[order.task] = local_run.LocalRun(order.task, order.run, order)
        return ""

    def record_started(self, task: str, run: int, now: float) -> None:
        """Records that the runner has accepted a start."""
        self._set_conclusive(task, run, now)

    def record_refused(self, task: str, run: int) -> None:
        """Removes a run whose start the runner has refused."""
        known = self.runs.get(task)
        if known is not None and known.run == run:
            del self.runs[task]

    def record_unanswered(self, task: str, run: int, expires_at: float) -> None:
        """Records that a start got no answer; the run may exist.

        Args:
            task: The task's name.
            run: The number of the run.
            expires_at: From when on the runner refuses the start as too late,
                in seconds.
        """
        known = self.runs.get(task)
        if known is not None and known.run == run:
            known.state = local_run.RunState.UNKNOWN
            known.conclusive_at = expires_at

    def record_stopped(self, task: str, run: int, now: float) -> None:
        """Records that the runner is ending a run, or will refuse it."""
        self._set_conclusive(task, run, now)
        self.adopt(task, run)

    def apply_probe(
        self, result: probe_result.ProbeResult
    ) -> probe_result.RunChanges:
        """Applies a probe's result: adds, confirms and removes runs.

        The result is of the present life of the runner. One that a later result
        has overtaken changes nothing.
        """
        if 0 < self._clock_ms - result.clock_ms < MAX_OVERTAKEN_MS:
            return probe_result.RunChanges((), ())
        self._clock_ms = result.clock_ms
        running = dict(result.running)
        ends = tuple(
            end for end in result.ends if end.number > self.last_acknowledged
        )
        for end in ends:
            known = self.runs.get(end.task)
            if known is not None and known.run == end.run:
                del self.runs[end.task]
        for task, run in running.items():
            self._confirm_running(task, run, result.answered_at)
        missing = [
            known
            for known in self.runs.values()
            if running.get(known.task) != known.run
            and known.conclusive_at is not None
            and known.conclusive_at < result.asked_at
        ]
        for known in missing:
            del self.runs[known.task]
        self._last_reported = max(
            [self._last_reported, *(end.number for end in ends)]
        )
        return probe_result.RunChanges(ends, tuple(missing))

    def list_running(self) -> tuple[leasing.Run, ...]:
        """Returns the runs for a report to the owner."""
        return tuple(known.describe() for known in self.runs.values())

    def give_up(self) -> probe_result.LostRuns:
        """Removes and returns all runs: the runner is lost."""
        started, unanswered = [], []
        for known in self.runs.values():
            is_started = known.state is local_run.RunState.STARTED
            (started if is_started else unanswered).append(known.describe())
        self.runs.clear()
        return probe_result.LostRuns(tuple(started), tuple(unanswered))

    def record_acknowledged(self, number: int) -> None:
        """Records that the owner has acknowledged ends up to a number."""
        self.last_acknowledged = max(self.last_acknowledged, number)

    def _confirm_running(self, task: str, run: int, answered_at: float) -> None:
        known = self.runs.get(task)
        if known is None:
            known = self.runs[task] = local_run.LocalRun(task, run, None)
            known.conclusive_at = answered_at
            known.state = local_run.RunState.STARTED
            self._limit_to_previous_lease(known)
        elif known.run == run and known.state is local_run.RunState.UNKNOWN:
            known.state = local_run.RunState.STARTED
            known.conclusive_at = answered_at

    def _limit_to_previous_lease(self, known: local_run.LocalRun) -> None:
        known.must_end_by = self._previous_expires_at
        known.stop_at = self._stop_unadopted_at

    def _set_conclusive(self, task: str, run: int, now: float) -> None:
        known = self.runs.get(task)
        if known is not None and known.run == run:
            known.state = local_run.RunState.STARTED
            known.conclusive_at = now

    def _has_room(self, runner: leasing.Runner, order: leasing.Start) -> bool:
        cpu, memory_mb, gpu = order.cpu, order.memory_mb, order.gpu
        for known in self.runs.values():
            size = known.describe()
            if size.cpu < 0:
                return False
            cpu += size.cpu
            memory_mb += size.memory_mb
            gpu += size.gpu
        return (
            cpu <= runner.cpu
            and memory_mb <= runner.memory_mb
            and gpu <= runner.gpu
        )
