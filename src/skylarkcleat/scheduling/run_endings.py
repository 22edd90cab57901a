"""What the end of a run changes: its task, its job and what was learned."""

from __future__ import annotations

import collections.abc
import math

from skylarkcleat.protocol import leasing
from skylarkcleat.scheduling import active_job
from skylarkcleat.scheduling import job_endings as job_endings_lib
from skylarkcleat.scheduling import owner_state
from skylarkcleat.scheduling import placed_run
from skylarkcleat.scheduling import placement
from skylarkcleat.scheduling import worker as worker_lib

LOST = "lost"
"""The event of a run that was lost with its runner, in the job's log line."""


class RunEndings:
    """Records the ends of runs that side processes report.

    Args:
        state: What it shares with the owner's other parts.
        job_endings: Ends the jobs whose last task is done.
    """

    def __init__(
        self,
        state: owner_state.OwnerState,
        job_endings: job_endings_lib.JobEndings,
    ) -> None:
        self._state = state
        self._job_endings = job_endings

    def record(
        self,
        worker: worker_lib.Worker,
        ends: collections.abc.Sequence[leasing.End],
        now: float,
    ) -> None:
        """Records the ends of runs and acknowledges them."""
        self._state.jobs.needs_placement = True
        for end in ends:
            try:
                placed = worker.remove(end.task, end.run)
                self._record_end(worker, end, placed, now)
            except Exception as error:
                self._state.containment.record("record an end", error, now)
                job = active_job.find_job_id(end.task)
                self._job_endings.end_after_error(job, now)
        if ends:
            worker.paused_until = now
            number = max(end.number for end in ends)
            acknowledged = leasing.EndsAcknowledged(worker.epoch, number)
            self._state.outbox.send(worker.peer, acknowledged)

    def record_missing(
        self,
        worker: worker_lib.Worker,
        placed: placed_run.PlacedRun,
        now: float,
    ) -> None:
        """Records that a run is not there, which a worker's report shows."""
        if worker.has_restarted:
            self.record_lost(worker, placed, now, is_certain=False)
            return
        worker.remove(placed.task, placed.run)
        self._state.jobs.requeue_task(placed, worker.side)

    def record_lost(
        self,
        worker: worker_lib.Worker,
        placed: placed_run.PlacedRun,
        now: float,
        *,
        is_certain: bool,
    ) -> None:
        """Records a run that was lost with its runner.

        Args:
            worker: The worker whose runner was lost.
            placed: The run.
            now: The time, in seconds.
            is_certain: Whether the run is known to have started.
        """
        jobs = self._state.jobs
        worker.remove(placed.task, placed.run)
        lost_at = now
        if worker.unresponsive_since is not None:
            lost_at = worker.unresponsive_since
        # The age of a run that another owner ordered isn't known.
        is_own = placed.expected_s > 0
        run_s = lost_at - placed.started_at if is_own else math.inf
        is_alone = worker.count_recent_starts(lost_at) <= 1
        jobs.recent.record_crash(placed.task, run_s, is_certain, is_alone)
        job = jobs.find(placed.task)
        if job is not None:
            job.record(placed.task, placed.run, worker.side, LOST, now)
        jobs.requeue_task(placed, worker.side)
        if job is not None and not self._job_endings.end_if_done(job, now):
            self._job_endings.give_up_if_deadly(job, now)

    def _record_end(
        self,
        worker: worker_lib.Worker,
        end: leasing.End,
        placed: placed_run.PlacedRun | None,
        now: float,
    ) -> None:
        jobs = self._state.jobs
        jobs.recent.record_run(end.task, end.run)
        job = jobs.find(end.task)
        task = job.find_task(end.task) if job else None
        if end.ending is leasing.Ending.DONE:
            jobs.recent.record_done(end.task)
            if placed is not None and job is not None:
                with self._state.containment.contain("learn a duration", now):
                    self._record_duration(worker, job, placed, now)
        if task is None:
            return
        job.record(end.task, end.run, worker.side, end.ending.value, now)
        if not _is_current(task, end, worker.side):
            return
        if end.ending is leasing.Ending.DONE:
            task.state = active_job.TaskState.DONE
        elif task.state is active_job.TaskState.PLACED:
            task.state = active_job.TaskState.WAITING
        else:
            # The same end was reported and counted before.
            return
        jobs.queue(job)
        if end.ending is leasing.Ending.FAILED:
            task.failures += 1
            task.failed_sides.add(worker.side)
            worker.speed.record_failure(now)
        self._job_endings.end_if_done(job, now)

    def _record_duration(
        self,
        worker: worker_lib.Worker,
        job: active_job.ActiveJob,
        placed: placed_run.PlacedRun,
        now: float,
    ) -> None:
        worker.speed.failures = 0
        if placed.expected_s <= 0:
            return
        took_s = now - placed.started_at
        estimates = self._state.jobs.estimates
        factor = worker.speed.find_factor(now)
        queue = job.queue.name
        estimate_ms = placed.step.estimate_ms
        base_s = estimates.predict_s(queue, estimate_ms)
        if placement.is_remote(worker, placed.step):
            took_s /= placement.REMOTE_FACTOR
        worker.record_duration(took_s, base_s, now)
        estimates.record_duration(queue, took_s, estimate_ms / 1000 * factor)


def _is_current(task: active_job.Task, end: leasing.End, side: str) -> bool:
    """Returns whether an end concerns a task's present state."""
    if (task.run, task.side) == (end.run, side):
        return True
    # A run of the previous owner that ended during the takeover.
    is_done = end.ending is leasing.Ending.DONE
    return is_done and task.state is active_job.TaskState.WAITING
