"""The jobs of one owner: those that are active, that wait, that have ended."""

from __future__ import annotations

import collections.abc

from skylarkcleat.configuration import content
from skylarkcleat.protocol import scheduling
from skylarkcleat.scheduling import active
from skylarkcleat.scheduling import backlog as backlog_lib
from skylarkcleat.scheduling import memory as memory_lib
from skylarkcleat.scheduling import speed as speed_lib
from skylarkcleat.scheduling import worker as worker_lib

ABANDONED_S = 2.5
"""How long a job without a caller is kept: a caller resends after 1.3 s."""

WaiterTest = collections.abc.Callable[[active.Waiter], bool]
JobTest = collections.abc.Callable[[active.ActiveJob], bool]


class JobTable:
    """Every job that the owner answers for.

    Attributes:
        active: The jobs that have not ended, by id.
        backlog: Those with tasks to start.
        memory: What is remembered of others.
        estimates: How far the estimates of each queue are off.
        is_changed: Whether a task may start that could not before.
    """

    def __init__(self, now: float) -> None:
        self.active: dict[str, active.ActiveJob] = {}
        self.backlog = backlog_lib.Backlog()
        self.memory = memory_lib.Memory(now)
        self.estimates = speed_lib.Estimates()
        self.is_changed = False

    def add(
        self, message: scheduling.Submit, queue: content.Queue, now: float
    ) -> active.ActiveJob:
        """Adds a job; its tasks keep the runs that are remembered."""
        job = message.job
        step_s = [
            self.estimates.expect(queue.name, step.estimate_ms)
            for step in job.steps
        ]
        submitted_at = now - message.waited_ms / 1000
        added = active.ActiveJob(job, queue, submitted_at, step_s)
        added.may_have_run = message.was_sent
        for task in added.tasks:
            task.run = self.memory.find_run(task.name)
            if self.memory.is_done(task.name):
                task.state = active.TaskState.DONE
                added.started = True
        self.active[job.id] = added
        return added

    def remove(
        self, job: active.ActiveJob, verdict: scheduling.Verdict
    ) -> None:
        """Removes a job that has ended, and remembers how if it matters."""
        del self.active[job.job.id]
        self.backlog.remove(job)
        if verdict in (
            scheduling.Verdict.COMPLETED,
            scheduling.Verdict.FAILED,
        ):
            self.memory.note_verdict(job.job.id, verdict)

    def find(self, task: str) -> active.ActiveJob | None:
        """Returns the active job that a task belongs to."""
        return self.active.get(active.find_job_id(task))

    def find_task(self, name: str) -> active.Task | None:
        """Returns a task of an active job."""
        job = self.find(name)
        return job.find_task(name) if job else None

    def queue(self, job: active.ActiveJob) -> None:
        """Puts a job into the backlog if it has tasks to start."""
        if job.list_waiting():
            self.backlog.add(job)
            self.is_changed = True

    def return_task(self, placed: worker_lib.Placed, side: str) -> None:
        """Takes in that a run on a side is over and its task is not done."""
        self.memory.note_run(placed.task, placed.run)
        job = self.find(placed.task)
        task = job.find_task(placed.task) if job else None
        if task is None or (task.run, task.side) != (placed.run, side):
            return
        if task.state is active.TaskState.PLACED:
            task.state = active.TaskState.WAITING
            self.queue(job)

    def drop_waiters(self, is_gone: WaiterTest) -> None:
        """Takes in that callers have gone."""
        for job in self.active.values():
            if any(is_gone(waiter) for waiter in job.waiters):
                job.waiters = [w for w in job.waiters if not is_gone(w)]

    def note_attended(self, is_attended: JobTest, now: float) -> None:
        """Takes in which jobs have a caller that is still there."""
        for job in self.active.values():
            if is_attended(job):
                job.left_at = None
            elif job.left_at is None:
                job.left_at = now

    def list_abandoned(
        self, now: float, keep_s: float
    ) -> list[active.ActiveJob]:
        """Returns the jobs without a caller for longer than `keep_s`."""
        return [
            job
            for job in self.active.values()
            if job.left_at is not None and now - job.left_at >= keep_s
        ]

    def list_hopeless(
        self, begin_at: float, cores: float
    ) -> tuple[list[active.ActiveJob], float]:
        """Finds jobs whose tasks can't start in time to be of use.

        Args:
            begin_at: When tasks may start at the earliest, in seconds.
            cores: The cores of all open runners; without any, only what is
                late already is given up, since more may come.

        Returns:
            The jobs, and in how many seconds the backlog will be done.
        """
        drained_at = begin_at
        hopeless = []
        for job, start_at in self.backlog.forecast(begin_at, cores):
            drained_at = start_at
            if job.started or job.left_at is not None:
                continue
            if start_at + job.expected_s >= job.useless_at:
                hopeless.append(job)
        return hopeless, drained_at - begin_at
