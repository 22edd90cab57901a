"""How an owner starts the tasks of waiting jobs."""

from __future__ import annotations

import collections.abc

from skylarkcleat.protocol import leasing
from skylarkcleat.protocol import scheduling
from skylarkcleat.scheduling import active_job
from skylarkcleat.scheduling import crashes as crashes_lib
from skylarkcleat.scheduling import job_endings as job_endings_lib
from skylarkcleat.scheduling import known_capacity
from skylarkcleat.scheduling import offer_result
from skylarkcleat.scheduling import owner_state
from skylarkcleat.scheduling import placed_run
from skylarkcleat.scheduling import placement
from skylarkcleat.scheduling import unfit_shapes
from skylarkcleat.scheduling import worker as worker_lib

PASS_GAP_S = 0.002
"""While more jobs are blocked than a pass asks, passes are at least this far
apart, so that one serves several ends of runs. A freed core is idle for 1 ms on
average, under a hundredth of the shortest tasks' duration."""


class Starts:
    """Starts tasks on the side processes that have room for them.

    Args:
        state: What it shares with the owner's other parts.
        job_endings: Ends the jobs that can't be placed for an error.
    """

    def __init__(
        self,
        state: owner_state.OwnerState,
        job_endings: job_endings_lib.JobEndings,
    ) -> None:
        self._state = state
        self._job_endings = job_endings
        self._unfit = unfit_shapes.UnfitShapes()
        self._growths: dict[str, int] = {}
        self._passed_at = 0.0
        self._capacities: dict[str, known_capacity.KnownCapacity] = {}

    def place(self, now: float) -> None:
        """Starts tasks that fit, if anything changed since the last call."""
        jobs, settling = self._state.jobs, self._state.workers.settling
        if not jobs.needs_placement and not jobs.queued:
            return
        if not settling.is_settled(now):
            return
        if self._must_wait(now):
            return
        if jobs.needs_placement or self._has_grown(now):
            self._unfit.clear()
            self._growths.clear()
        queued, jobs.queued = jobs.queued, []
        if not jobs.needs_placement and all(map(self._is_unfit, queued)):
            return
        jobs.needs_placement = False
        if not len(jobs.backlog):
            return
        self._passed_at = now
        jobs.backlog.place(now, lambda job: self._try_place(job, now))
        self._job_endings.end_failed(now)

    def _must_wait(self, now: float) -> bool:
        """Returns whether the next pass is held back for a moment."""
        since_s = now - self._passed_at
        return self._state.jobs.backlog.is_full and 0 <= since_s < PASS_GAP_S

    def _has_grown(self, now: float) -> bool:
        """Returns whether a runner's room has grown since a job did not fit."""
        workers = self._state.workers
        return any(
            workers.find_rooms(upstream, now).growths != known
            for upstream, known in self._growths.items()
        )

    def _is_unfit(self, job: active_job.ActiveJob) -> bool:
        """Returns whether a job is known not to fit now.

        A job that has started some of its tasks may start the others one by
        one, so what did not fit at once says nothing of it.
        """
        shape = job.find_shape()
        if shape is None:
            return False
        if job.started:
            shape = shape._replace(count=1)
        return self._unfit.covers(shape)

    def _try_place(
        self, job: active_job.ActiveJob, now: float
    ) -> offer_result.OfferResult:
        """Places a job; one that an error prevents is ended after the pass."""
        try:
            return self._place_job(job, now)
        except Exception as error:
            self._state.containment.record("place a job", error, now)
            self._state.jobs.backlog.failed.append(job)
            return offer_result.OfferResult.HELD

    def _place_job(
        self, job: active_job.ActiveJob, now: float
    ) -> offer_result.OfferResult:
        # Most jobs of an overload end here, so what costs least comes first.
        if now < job.startable_at:
            return offer_result.OfferResult.HELD
        if self._is_unfit(job):
            return offer_result.OfferResult.NO_ROOM
        waiting = job.list_startable()
        if not job.started and not self._has_room(job, waiting, now):
            return offer_result.OfferResult.NO_ROOM
        if not self._state.is_attended(job, now):
            return offer_result.OfferResult.HELD
        if any(self._is_stopping(task) for task in waiting):
            return offer_result.OfferResult.HELD
        workers, upstream = self._state.workers, job.queue.upstream
        for task in waiting:
            step = job.job.steps[task.step]
            base_s = self._state.jobs.estimates.predict_s(
                job.queue.name, step.estimate_ms
            )
            crashes = self._state.jobs.recent.find_crashes(task.name)
            choice = placement.choose_worker(
                job,
                task,
                base_s,
                workers.find_rooms(upstream, now),
                now,
                crashes.is_suspect,
            )
            if choice is None:
                self._record_full(job, step, now)
                return offer_result.OfferResult.HELD
            if crashes.is_suspect:
                choice[0].trial_until = now + crashes_lib.FRESH_S
            self._start(job, task, choice[0], choice[1], now)
        return offer_result.OfferResult.PLACED

    def _has_room(
        self,
        job: active_job.ActiveJob,
        waiting: collections.abc.Sequence[active_job.Task],
        now: float,
    ) -> bool:
        """Returns whether a job fits, and remembers its shape otherwise."""
        upstream = job.queue.upstream
        rooms = self._state.workers.find_rooms(upstream, now)
        # The first job that does not fit is searched for in full: while all
        # fit, what speeds up further searches would cost more than it saves.
        known = self._capacities.get(upstream) if self._growths else None
        if placement.has_room(job, waiting, rooms, now, known):
            return True
        self._growths[upstream] = rooms.growths
        self._capacities.setdefault(upstream, known_capacity.KnownCapacity())
        shape = job.find_shape()
        if shape is not None:
            self._unfit.record(shape)
        return False

    def _record_full(
        self, job: active_job.ActiveJob, step: scheduling.Step, now: float
    ) -> None:
        """Records that a task does not fit, if no runner has its cores."""
        upstream = job.queue.upstream
        rooms = self._state.workers.find_rooms(upstream, now)
        if rooms.find_max_cpu() < step.cpu:
            kind = unfit_shapes.Kind(
                upstream, step.requirement, step.memory_mb, step.gpu
            )
            self._unfit.record(unfit_shapes.Shape(kind, step.cpu, 1))
            self._growths[upstream] = rooms.growths

    def _is_stopping(self, task: active_job.Task) -> bool:
        """Returns whether a duplicate run of a waiting task has not ended."""
        if task.may_run_twice:
            task.may_run_twice = bool(self._state.workers.list_runs(task.name))
        return task.may_run_twice

    def _start(
        self,
        job: active_job.ActiveJob,
        task: active_job.Task,
        worker: worker_lib.Worker,
        expected_s: float,
        now: float,
    ) -> None:
        step = job.job.steps[task.step]
        highest_run = self._state.jobs.recent.find_highest_run(task.name)
        task.place(max(task.run, highest_run) + 1, worker.side)
        job.started = True
        if job.started_at is None:
            job.started_at = now
        worker.add(
            placed_run.PlacedRun(task.name, task.run, step, now, expected_s)
        )
        worker.record_start(now)
        start = leasing.Start(
            worker.epoch,
            task.name,
            task.run,
            job.job.spec,
            step.cpu,
            step.memory_mb,
            step.gpu,
        )
        job.record(task.name, task.run, worker.side, "start", now)
        self._state.outbox.send(worker.peer, start)
