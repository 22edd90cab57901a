"""A job that has not ended, with its tasks and their runs."""

from __future__ import annotations

import enum
import typing as t

from skylarkcleat.configuration import content
from skylarkcleat.protocol import scheduling
from skylarkcleat.scheduling import job_forecast
from skylarkcleat.scheduling import unfit_shapes
from skylarkcleat.wire import session as session_lib

LATE_OBJECTIVES = 3.0
"""After this many times its objective a job's result is of no use."""

MAX_HISTORY = 64
"""The most run events in the log line about a job; later ones are left out."""

MAX_WAITING_CORE_S = 1e9
"""The most work of one job that counts: beside it, that of any other job still
counts to the microsecond."""

_OCCURRENCE = 0


class TaskState(enum.Enum):
    """The state of a task."""

    WAITING = "waiting"
    PLACED = "placed"
    DONE = "done"


class Task:
    """One task of an active job.

    Attributes:
        name: The task's name.
        step: The number of its step.
        state: Its state.
        on_change: Is called when its state changes.
        run: The number of its latest run; 0 before the first.
        side: The side process that received the order. Every owner numbers
            runs from 1, so only number and side process identify a run.
        failures: How many of its runs failed.
        failed_sides: Side processes on which it failed.
        may_run_twice: Whether a duplicate run of it was found and ordered to
            stop.
    """

    def __init__(self, name: str, step: int) -> None:
        self.name = name
        self.step = step
        self._state = TaskState.WAITING
        self.on_change: t.Callable[[], None] | None = None
        self.run = 0
        self.side = ""
        self.failures = 0
        self.failed_sides: set[str] = set()
        self.may_run_twice = False

    @property
    def state(self) -> TaskState:
        """Its state."""
        return self._state

    @state.setter
    def state(self, state: TaskState) -> None:
        self._state = state
        if self.on_change is not None:
            self.on_change()

    def place(self, run: int, side: str) -> None:
        """Records the run of the task that is under way, and its side."""
        self.run = run
        self.side = side
        self.state = TaskState.PLACED


NO_ROOM = "no runner has room in time"
NO_RUNNER = "no runner takes tasks"
CRASHES = "runners crashed under a task"
OWNER_WAITS = "the owner waits for side processes"
ERROR = "the owner could not handle it"
"""Why a job was refused or given up, in its log line and its reply."""

JOB_ENDED = "owner:job-ended"
"""The type of the log line about a job's end; its `runs` are `RunRecord`s."""


class RunRecord(t.NamedTuple):
    """An event of a run, for the log.

    Attributes:
        task: The step's and the task's number, such as `0.3`.
        run: The number of the run.
        side: The side process that received the order.
        at_ms: When it happened, in milliseconds since the job was submitted.
        event: `start`, `adopted`, how the run ended, or why it did not start.
    """

    task: str
    run: int
    side: str
    at_ms: int
    event: str


class Waiter(t.NamedTuple):
    """A front's request that waits for a job's end."""

    peer: session_lib.Endpoint
    request: int


class ActiveJob:
    """A job that has not ended.

    Attributes:
        job: The job as submitted.
        queue: The job's queue, as configured at the time of submission.
        tasks: All tasks, in the order of the numbers in their names.
        step_s: The expected duration of a task of each step, in seconds.
        waiters: The requests to reply to.
        submitted_at: When the caller sent it, in seconds on the owner's clock.
        unattended_since: Since when none of its waiters' fronts has followed
            the owner, in seconds; None if one does.
        startable_at: Until this time its tasks may run under an earlier owner,
            in seconds.
        expected_s: The expected duration of its longest chain of steps.
        objective_s: How long the whole job may take, in seconds.
        started: Whether any task was ever ordered to start or adopted.
        may_have_run: Whether an earlier owner may have started a task.
        blocked_since: Since when it has not fitted, in seconds, if so.
        started_at: When this owner first ordered a start, in seconds, if so.
        forecast: What was forecast when it first entered the backlog.
        history: The events of its runs, at most `MAX_HISTORY`.
    """

    def __init__(
        self,
        job: scheduling.Job,
        queue: content.Queue,
        submitted_at: float,
        step_s: t.Sequence[float],
    ) -> None:
        self.job = job
        self.queue = queue
        self.tasks = _create_tasks(job)
        self.step_s = tuple(step_s)
        self.waiters: list[Waiter] = []
        self.submitted_at = submitted_at
        self.unattended_since: float | None = None
        self.startable_at = 0.0
        self.expected_s = _find_critical_path_s(job.steps, step_s)
        target_s = queue.latency_target_ms / 1000
        self.objective_s = queue.stretch * self.expected_s + target_s
        self.started = False
        self.may_have_run = False
        self.blocked_since: float | None = None
        self.started_at: float | None = None
        self.forecast: job_forecast.JobForecast | None = None
        self.history: list[RunRecord] = []
        self._startable: list[Task] | None = None
        self._shape: unfit_shapes.Shape | None = None
        self._waiting_core_s: float | None = None
        for task in self.tasks:
            task.on_change = self._forget_waiting

    @property
    def due_at(self) -> float:
        """When it should have ended."""
        return self.submitted_at + self.objective_s

    @property
    def useless_at(self) -> float:
        """From when on its result is of no use."""
        return self.submitted_at + LATE_OBJECTIVES * self.objective_s

    @property
    def latest_start(self) -> float:
        """When its first task must start for the job to end in time."""
        return self.due_at - self.expected_s

    @property
    def is_done(self) -> bool:
        """Whether every task is done."""
        return all(task.state is TaskState.DONE for task in self.tasks)

    @property
    def is_forgotten(self) -> bool:
        """Whether nothing of it has run, and nobody waits for it."""
        return not (self.waiters or self.started or self.may_have_run)

    def record(
        self, task: str, run: int, side: str, event: str, now: float
    ) -> None:
        """Records an event of a run, for the log."""
        if len(self.history) < MAX_HISTORY:
            number = task.split(".", 2)[2]
            at_ms = round((now - self.submitted_at) * 1000)
            self.history.append(RunRecord(number, run, side, at_ms, event))

    def list_startable(self) -> list[Task]:
        """Returns the tasks that may start now.

        The list is kept until a task's state changes: during an overload the
        same job is asked for it after each end of a run.
        """
        if self._startable is None:
            self._startable = self._search_startable()
            self._shape = self._find_shape(self._startable)
        return self._startable

    def find_shape(self) -> unfit_shapes.Shape | None:
        """Returns what the startable tasks need; None if they differ."""
        self.list_startable()
        return self._shape

    def _forget_waiting(self) -> None:
        self._startable = None
        self._waiting_core_s = None

    def _find_shape(
        self, waiting: t.Sequence[Task]
    ) -> unfit_shapes.Shape | None:
        if not waiting or any(task.step != waiting[0].step for task in waiting):
            return None
        step = self.job.steps[waiting[0].step]
        kind = unfit_shapes.Kind(
            self.queue.upstream, step.requirement, step.memory_mb, step.gpu
        )
        return unfit_shapes.Shape(kind, step.cpu, len(waiting))

    def _search_startable(self) -> list[Task]:
        waiting = []
        for task in self.tasks:
            if task.state is not TaskState.WAITING:
                continue
            step = self.job.steps[task.step]
            if all(self._is_step_done(each) for each in step.depends_on):
                waiting.append(task)
        return waiting

    def find_waiting_core_s(self) -> float:
        """Returns the expected core-seconds of the waiting tasks."""
        if self._waiting_core_s is None:
            core_s = sum(
                self.job.steps[task.step].cpu / 1000 * self.step_s[task.step]
                for task in self.tasks
                if task.state is TaskState.WAITING
            )
            self._waiting_core_s = min(core_s, MAX_WAITING_CORE_S)
        return self._waiting_core_s

    def find_task(self, name: str) -> Task | None:
        """Returns a task by its name."""
        return next((task for task in self.tasks if task.name == name), None)

    def _is_step_done(self, number: int) -> bool:
        return all(
            task.state is TaskState.DONE
            for task in self.tasks
            if task.step == number
        )


def find_job_id(task: str) -> str:
    """Returns the id of the job that a task's name belongs to."""
    return task.partition(".")[0]


def _create_tasks(job: scheduling.Job) -> list[Task]:
    return [
        Task(f"{job.id}.{_OCCURRENCE}.{number}.{index}", number)
        for number, step in enumerate(job.steps)
        for index in range(step.task_count)
    ]


def _find_critical_path_s(
    steps: t.Sequence[scheduling.Step], step_s: t.Sequence[float]
) -> float:
    ends: list[float] = []
    for step, duration in zip(steps, step_s, strict=True):
        start = max((ends[each] for each in step.depends_on), default=0.0)
        ends.append(start + duration)
    return max(ends, default=0.0)
