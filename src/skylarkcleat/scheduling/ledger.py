"""What a side process knows of its runner, and which orders it carries out.

It alone admits tasks against the runner's capacity, so that no owner, old or
new, can overload it. A run counts until its end is listed. It is pure.
"""

from __future__ import annotations

import enum
import typing as t

from skylarkcleat.protocol import scheduling
from skylarkcleat.scheduling import lease


class RunState(enum.Enum):
    """What is known of a run that was ordered."""

    STARTING = "starting"
    STARTED = "started"
    UNKNOWN = "unknown"


class LocalRun:
    """A run on the runner.

    Attributes:
        order: What was ordered; None if a former process did.
        task: The task's name.
        run: The number of the run.
        state: What is known of it.
        settled_at: From when on a look at the runner shows whether it is
            there; None if a call about it is under way.
        stop_at: When to stop it; None if it may go on.
        ends_by: When it must have ended: until its end is certain, nothing on
            the runner may go on for longer; None if it may go on.
    """

    def __init__(
        self, task: str, run: int, order: scheduling.Start | None
    ) -> None:
        self.task = task
        self.run = run
        self.order = order
        self.state = RunState.STARTING
        self.settled_at: float | None = None
        self.stop_at: float | None = None
        self.ends_by: float | None = None

    def describe(self) -> scheduling.Run:
        """Returns the run as the owner wants to know it."""
        if self.order is None:
            return scheduling.Run(self.task, self.run, -1, 0, 0)
        order = self.order
        return scheduling.Run(
            self.task, self.run, order.cpu, order.memory_mb, order.gpu
        )


class Look(t.NamedTuple):
    """What a runner answered when it was asked for its runs.

    Attributes:
        asked_at: When the question was sent, in seconds.
        born_ms: Which life of the runner answered.
        running: Tasks and runs.
        ends: Ends that it has not forgotten.
    """

    asked_at: float
    born_ms: int
    running: tuple[tuple[str, int], ...]
    ends: tuple[scheduling.End, ...]


class News(t.NamedTuple):
    """What a look brought to light.

    Attributes:
        ends: Ends that the owner has not noted.
        missing: Runs that have not started and never will.
    """

    ends: tuple[scheduling.End, ...]
    missing: tuple[LocalRun, ...]


class Ledger:
    """The runs of one runner.

    Attributes:
        runner: What the runner last said of itself; None before that.
        noted: The number of the last end that the owner has noted.
        runs: The runs that count against the runner's capacity, by task.
    """

    def __init__(self) -> None:
        self.runner: scheduling.Runner | None = None
        self.noted = 0
        self.runs: dict[str, LocalRun] = {}
        self._born_ms = 0
        self._told = 0
        self._former_until = float("-inf")
        self._unkept_until = float("-inf")

    @property
    def has_unnoted_ends(self) -> bool:
        """Whether the owner was told of ends that it has not noted yet."""
        return self._told > self.noted

    def begin_lease(self, former_until: float, now: float) -> None:
        """Takes in that another lease begins: its owner knows no run yet.

        Args:
            former_until: When the former lease ends. Runs that the new owner
                has not taken over are not held for longer.
            now: The time, in seconds.
        """
        self._former_until = former_until
        self._unkept_until = now + lease.ADOPT_S
        if former_until > now:
            self._unkept_until = former_until - lease.STOP_S
        for known in self.runs.values():
            self._end_with_lease(known)

    def keep(self, task: str, run: int) -> None:
        """Takes in that the present owner has taken a run over."""
        known = self.runs.get(task)
        if known is not None and known.run == run:
            known.stop_at = None
            known.ends_by = None

    def order_stop(self, task: str, run: int, now: float) -> bool:
        """Takes in that a run is to be stopped.

        Returns:
            Whether it is known; otherwise the runner alone can tell.
        """
        known = self.runs.get(task)
        if known is None or known.run != run:
            return False
        known.stop_at = now
        ends_by = now + lease.STOP_LIMIT_S
        known.ends_by = min(known.ends_by or ends_by, ends_by)
        return True

    def list_overdue(self, now: float) -> list[LocalRun]:
        """Returns the runs that are to be stopped by now."""
        return [
            known
            for known in self.runs.values()
            if known.stop_at is not None and known.stop_at <= now
        ]

    def find_next_stop(self) -> float | None:
        """Returns when the next run is to be stopped; None for never."""
        times = [known.stop_at for known in self.runs.values()]
        return min((at for at in times if at is not None), default=None)

    def find_limit(self) -> float | None:
        """Returns until when the runner may be held; None for no limit."""
        times = [known.ends_by for known in self.runs.values()]
        return min((at for at in times if at is not None), default=None)

    def take_runner(self, runner: scheduling.Runner) -> bool:
        """Takes in a report of the runner.

        Returns:
            Whether this is another life than the one known before.
        """
        is_other = self._meet(runner.born_ms)
        former = self.runner
        self.runner = runner
        return is_other or (former is not None and former.id != runner.id)

    def admit(self, order: scheduling.Start) -> str:
        """Takes in an order to start a task.

        Returns:
            Empty if the task is to be started, or why it is not.
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
        self.runs[order.task] = LocalRun(order.task, order.run, order)
        return ""

    def note_started(self, task: str, run: int, now: float) -> None:
        """Takes in that the runner has taken a start."""
        self._settle(task, run, now)

    def note_refused(self, task: str, run: int) -> None:
        """Takes in that the runner has refused a start."""
        known = self.runs.get(task)
        if known is not None and known.run == run:
            del self.runs[task]

    def note_unanswered(self, task: str, run: int, expires_at: float) -> None:
        """Takes in that a start got no answer.

        Args:
            task: The task's name.
            run: The number of the run.
            expires_at: When the runner will refuse the start as too late.
        """
        known = self.runs.get(task)
        if known is not None and known.run == run:
            known.state = RunState.UNKNOWN
            known.settled_at = expires_at

    def note_stopped(self, task: str, run: int, now: float) -> None:
        """Takes in that the runner ends a run, or will refuse it."""
        self._settle(task, run, now)
        self.keep(task, run)

    def take_look(self, look: Look) -> News:
        """Takes in what runs and what ended."""
        self._meet(look.born_ms)
        there = dict(look.running)
        ends = tuple(end for end in look.ends if end.number > self.noted)
        for end in ends:
            known = self.runs.get(end.task)
            if known is not None and known.run == end.run:
                del self.runs[end.task]
        for task, run in there.items():
            self._confirm(task, run, look.asked_at)
        missing = [
            known
            for known in self.runs.values()
            if there.get(known.task) != known.run
            and known.settled_at is not None
            and known.settled_at < look.asked_at
        ]
        for known in missing:
            del self.runs[known.task]
        self._told = max([self._told, *(end.number for end in ends)])
        return News(ends, tuple(missing))

    def list_running(self) -> tuple[scheduling.Run, ...]:
        """Returns the runs for a report to the owner."""
        return tuple(known.describe() for known in self.runs.values())

    def note_noted(self, number: int) -> None:
        """Takes in that the owner has noted ends."""
        self.noted = max(self.noted, number)

    def _meet(self, born_ms: int) -> bool:
        if born_ms == self._born_ms:
            return False
        is_other = self._born_ms != 0
        self._born_ms = born_ms
        if is_other:
            self.noted = 0
            self._told = 0
            self.runs.clear()
        return is_other

    def _confirm(self, task: str, run: int, asked_at: float) -> None:
        known = self.runs.get(task)
        if known is None:
            known = self.runs[task] = LocalRun(task, run, None)
            known.settled_at = asked_at
            known.state = RunState.STARTED
            self._end_with_lease(known)
        elif known.run == run and known.state is RunState.UNKNOWN:
            known.state = RunState.STARTED
            known.settled_at = asked_at

    def _end_with_lease(self, known: LocalRun) -> None:
        known.ends_by = self._former_until
        known.stop_at = self._unkept_until

    def _settle(self, task: str, run: int, now: float) -> None:
        known = self.runs.get(task)
        if known is not None and known.run == run:
            known.state = RunState.STARTED
            known.settled_at = now

    def _has_room(
        self, runner: scheduling.Runner, order: scheduling.Start
    ) -> bool:
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
