"""The jobs of one owner: active jobs, the backlog and recent outcomes."""

from __future__ import annotations

import collections.abc

from skylarkcleat import containment as containment_lib
from skylarkcleat.configuration import content
from skylarkcleat.protocol import scheduling
from skylarkcleat.scheduling import active_job
from skylarkcleat.scheduling import backlog as backlog_lib
from skylarkcleat.scheduling import placed_run
from skylarkcleat.scheduling import policy as policy_lib
from skylarkcleat.scheduling import recent_outcomes as recent_outcomes_lib
from skylarkcleat.scheduling import speed as speed_lib
from skylarkcleat.wire import session as session_lib

ABANDONED_RETENTION_S = 2.5
"""How long a job without a caller is kept; callers resend after 1.3 s."""

SKIPPED_RUNS = 8
"""How many run numbers are skipped when a runner has already received a number
at least as large for the task."""

_FINAL_VERDICTS = frozenset(
    (
        scheduling.Verdict.COMPLETED,
        scheduling.Verdict.FAILED,
        scheduling.Verdict.CANCELLED,
    )
)

PeerPredicate = collections.abc.Callable[[session_lib.Endpoint], bool]


class JobTable:
    """Every job that the owner is responsible for.

    Attributes:
        active: The jobs that have not ended, by id.
        backlog: The active jobs with tasks to start.
        recent: Outcomes of other jobs and tasks.
        estimates: Corrections of the estimates, for each queue.
        needs_placement: Whether a task may start that could not before.
        queued: The jobs put into the backlog since the last placement.
    """

    def __init__(
        self,
        now: float,
        policy: policy_lib.Policy,
        containment: containment_lib.Containment,
    ) -> None:
        self.active: dict[str, active_job.ActiveJob] = {}
        self.backlog = backlog_lib.Backlog(policy, containment)
        self.recent = recent_outcomes_lib.RecentOutcomes(now)
        self.estimates = speed_lib.EstimateFactors()
        self.needs_placement = False
        self._jobs_by_waiter: dict[active_job.Waiter, str] = {}
        self._unattended: dict[str, active_job.ActiveJob] = {}
        self.queued: list[active_job.ActiveJob] = []

    def add(
        self, message: scheduling.Submit, queue: content.Queue, now: float
    ) -> active_job.ActiveJob:
        """Adds a job; its tasks keep the recorded run numbers and outcomes."""
        job = message.job
        step_s = [
            self.estimates.predict_s(queue.name, step.estimate_ms)
            for step in job.steps
        ]
        waited_s = message.waited_ms / 1000 + message.find_transit_s(now)
        submitted_at = now - waited_s
        added = active_job.ActiveJob(job, queue, submitted_at, step_s)
        added.may_have_run = message.was_sent
        for task in added.tasks:
            task.run = self.recent.find_highest_run(task.name)
            if self.recent.is_done(task.name):
                task.state = active_job.TaskState.DONE
                added.started = True
        self.active[job.id] = added
        return added

    def remove(
        self, job: active_job.ActiveJob, verdict: scheduling.Verdict
    ) -> None:
        """Removes a job that has ended; records a verdict that is final.

        Jobs with other verdicts may run when they are submitted again.
        """
        del self.active[job.job.id]
        self._unattended.pop(job.job.id, None)
        for waiter in job.waiters:
            self._jobs_by_waiter.pop(waiter, None)
        self.backlog.remove(job)
        if verdict in _FINAL_VERDICTS:
            self.recent.record_verdict(job.job.id, verdict, job.queue)

    def find(self, task: str) -> active_job.ActiveJob | None:
        """Returns the active job that a task belongs to."""
        return self.active.get(active_job.find_job_id(task))

    def find_task(self, name: str) -> active_job.Task | None:
        """Returns a task of an active job."""
        job = self.find(name)
        return job.find_task(name) if job else None

    def queue(self, job: active_job.ActiveJob) -> None:
        """Puts a job into the backlog if it has tasks to start."""
        if job.list_startable():
            self.backlog.add(job)
            self.queued.append(job)

    def requeue_task(self, placed: placed_run.PlacedRun, side: str) -> None:
        """Makes a task startable again whose run is over and wasn't done."""
        self.recent.record_run(placed.task, placed.run)
        job = self.find(placed.task)
        task = job.find_task(placed.task) if job else None
        if task is None or (task.run, task.side) != (placed.run, side):
            return
        if task.state is active_job.TaskState.PLACED:
            task.state = active_job.TaskState.WAITING
            self.queue(job)

    def skip_runs(self, name: str) -> None:
        """Skips run numbers of a waiting task that its runner has passed."""
        task = self.find_task(name)
        if task is not None and task.state is active_job.TaskState.WAITING:
            task.run += SKIPPED_RUNS

    def add_waiter(
        self, job: active_job.ActiveJob, waiter: active_job.Waiter
    ) -> None:
        """Adds a caller that waits for a job's end, unless it is known."""
        if waiter not in self._jobs_by_waiter:
            self._jobs_by_waiter[waiter] = job.job.id
            job.waiters.append(waiter)

    def drop_waiter(self, waiter: active_job.Waiter) -> None:
        """Drops a caller that has disconnected."""
        job = self.active.get(self._jobs_by_waiter.pop(waiter, ""))
        if job is not None:
            job.waiters.remove(waiter)

    def drop_waiters_of(self, front: str) -> None:
        """Drops the callers of a front, which submits their jobs again."""
        waiters = [w for w in self._jobs_by_waiter if w.peer.name == front]
        for waiter in waiters:
            self.drop_waiter(waiter)

    def drop_all_waiters(self) -> None:
        """Drops all callers: every front submits its jobs again."""
        self._jobs_by_waiter.clear()
        for job in self.active.values():
            job.waiters.clear()

    def record_attended(self, is_following: PeerPredicate, now: float) -> None:
        """Records since when each job has had no caller.

        Args:
            is_following: Whether the jobs of a front may run.
            now: The time, in seconds.
        """
        peers = {waiter.peer for waiter in self._jobs_by_waiter}
        following = {peer for peer in peers if is_following(peer)}
        for name, job in self.active.items():
            if any(waiter.peer in following for waiter in job.waiters):
                if job.unattended_since is not None:
                    job.unattended_since = None
                    del self._unattended[name]
            elif job.unattended_since is None:
                job.unattended_since = now
                self._unattended[name] = job

    def list_abandoned(
        self, now: float, keep_s: float
    ) -> list[active_job.ActiveJob]:
        """Returns the jobs without a caller for longer than `keep_s`.

        Those of which nothing has run are not kept: if such a job is sent
        again, it is taken up anew, at no loss.
        """
        return [
            job
            for job in self._unattended.values()
            if job.is_forgotten or now - job.unattended_since >= keep_s
        ]

    def list_unservable(
        self, begin_at: float, cores: float
    ) -> tuple[list[active_job.ActiveJob], float]:
        """Finds jobs that can't start early enough to be of use.

        Args:
            begin_at: When tasks may start at the earliest, in seconds.
            cores: The cores of all open runners; if 0, only jobs that are too
                late already are listed, since runners may join.

        Returns:
            The jobs, and the seconds from `begin_at` until the last job of the
            backlog may start.
        """
        drained_at = begin_at
        unservable = []
        for job, start_at in self.backlog.forecast(begin_at, cores):
            drained_at = start_at
            if job.started or job.unattended_since is not None:
                continue
            if start_at + job.expected_s >= job.useless_at:
                unservable.append(job)
        return unservable, drained_at - begin_at
