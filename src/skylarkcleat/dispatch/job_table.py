"""The active jobs of an entry and the state of their tasks."""

from __future__ import annotations

import typing as t

from skylarkcleat.dispatch import work as work_lib
from skylarkcleat.protocol import dispatching


class TaskKey(t.NamedTuple):
    """Identifies a task of an active job."""

    job: str
    task: int


class TaskState:
    """The attempts at one task.

    Attributes:
        number: The number of the latest attempt; 0 before the first.
        agent: The agent of the attempt without outcome; empty if none.
        avoid: Agents where an attempt failed or was withdrawn.
    """

    __slots__ = ("agent", "avoid", "number")

    def __init__(self):
        self.number = 0
        self.agent = ""
        self.avoid: frozenset[str] = frozenset()


class JobState:
    """An active job.

    Attributes:
        work: The job.
        order: Its position within its profile, in seconds; see `job_order`.
        tasks: The states of its tasks, in order.
        ranks: Each task's rank by descending declared run time.
    """

    __slots__ = ("order", "ranks", "tasks", "work")

    def __init__(self, work: work_lib.Work, order: float):
        self.work = work
        self.order = order
        self.ranks = [0] * work.tasks
        self.tasks = [TaskState() for _ in range(work.tasks)]

    def get_size_ms(self, task: int) -> int:
        """Returns a task's declared run time in milliseconds; 0 if none."""
        sizes_ms = self.work.sizes_ms
        return sizes_ms[task] if sizes_ms else 0

    def list_sent(self) -> dict[str, list[int]]:
        """Returns the tasks with an attempt without outcome, by agent."""
        by_agent: dict[str, list[int]] = {}
        for task, state in enumerate(self.tasks):
            if state.agent:
                by_agent.setdefault(state.agent, []).append(task)
        return by_agent


class JobTable:
    """Finds jobs by identifier and tasks by attempt."""

    def __init__(self):
        self._jobs: dict[str, JobState] = {}

    def add(self, job: JobState) -> None:
        """Adds a job that is not active yet."""
        self._jobs[job.work.job] = job

    def find(self, job: str) -> JobState | None:
        """Returns a job, or None if it is not active."""
        return self._jobs.get(job)

    def remove(self, job: str) -> None:
        """Removes a job, if it is active."""
        self._jobs.pop(job, None)

    def find_task(self, key: TaskKey) -> TaskState:
        """Returns the state of a task of an active job."""
        return self._jobs[key.job].tasks[key.task]

    def get(self, job: str) -> JobState:
        """Returns an active job."""
        return self._jobs[job]

    def get_size_ms(self, key: TaskKey) -> int:
        """Returns the declared run time of an active job's task."""
        return self._jobs[key.job].get_size_ms(key.task)

    def end_attempt(
        self, attempt: dispatching.Attempt, agent: str
    ) -> JobState | None:
        """Records that an attempt has an outcome.

        Args:
            attempt: The attempt.
            agent: The agent that reported the outcome.

        Returns:
            The attempt's job, or None if this is not a task's current attempt.
        """
        job = self._jobs.get(attempt.job)
        if job is None or attempt.task >= len(job.tasks):
            return None
        state = job.tasks[attempt.task]
        if state.agent != agent or state.number != attempt.number:
            return None
        state.agent = ""
        return job
