"""How an owner ends jobs: done, failed, cancelled, refused or abandoned."""

from __future__ import annotations

import eliot

from skylarkcleat.protocol import leasing
from skylarkcleat.protocol import scheduling
from skylarkcleat.scheduling import active_job
from skylarkcleat.scheduling import crashes as crashes_lib
from skylarkcleat.scheduling import job_forecast
from skylarkcleat.scheduling import job_table as job_table_lib
from skylarkcleat.scheduling import owner_state

REFUSAL_INTERVAL_S = 0.02
"""The interval at which the capacity is divided among the queues, and jobs that
can't start in time are refused: under a tenth of the shortest objectives."""

MAX_RETRY_S = 30.0
"""The longest time after which a caller is told to send a refused job again:
most of what waits further ahead will have been refused by then."""


class JobEndings:
    """Ends an owner's jobs and answers their callers.

    Args:
        state: What it shares with the owner's other parts.
        now: The time, in seconds.
    """

    def __init__(self, state: owner_state.OwnerState, now: float) -> None:
        self._state = state
        self._refusals_checked_at = now

    def end_if_done(self, job: active_job.ActiveJob, now: float) -> bool:
        """Ends a job that is completed or has failed; returns whether it is."""
        if job.is_done:
            self._end(job, scheduling.Verdict.COMPLETED, "", now)
            return True
        limit = job.queue.max_attempts
        if any(task.failures >= limit for task in job.tasks):
            detail = f"a task failed {limit} times"
            self._end(job, scheduling.Verdict.FAILED, detail, now)
            return True
        if any(crashes.is_proven for crashes in self._list_crashes(job)):
            verdict = scheduling.Verdict.FAILED
            self._end(job, verdict, active_job.CRASHES, now)
            return True
        return False

    def give_up_if_deadly(self, job: active_job.ActiveJob, now: float) -> None:
        """Ends a job under which yet another runner has been lost.

        Other tasks may be to blame, and `failed` is final: its caller may send
        it again, and it then runs until the next runner is lost under it.
        """
        if any(crashes.is_deadly for crashes in self._list_crashes(job)):
            verdict = scheduling.Verdict.UNCERTAIN
            self._end(job, verdict, active_job.CRASHES, now)

    def _list_crashes(
        self, job: active_job.ActiveJob
    ) -> list[crashes_lib.Crashes]:
        recent = self._state.jobs.recent
        if not recent.has_crashes:
            return []
        return [recent.find_crashes(task.name) for task in job.tasks]

    def cancel(self, job: active_job.ActiveJob, now: float) -> None:
        """Ends a job that its caller has cancelled."""
        self._end(job, scheduling.Verdict.CANCELLED, "it was cancelled", now)

    def end_abandoned(self, now: float) -> None:
        """Ends jobs whose callers have disconnected.

        While another owner may exist they end at once, since their callers
        may resubmit them there.
        """
        jobs = self._state.jobs
        followers = self._state.followers
        jobs.record_attended(
            lambda front: followers.is_following(front, now), now
        )
        is_disputed = self._state.followers.has_missing_front(now)
        keep_s = 0.0 if is_disputed else job_table_lib.ABANDONED_RETENTION_S
        for job in jobs.list_abandoned(now, keep_s):
            detail = "its caller has gone"
            self._end(job, scheduling.Verdict.UNCERTAIN, detail, now)

    def end_failed(self, now: float) -> None:
        """Ends the jobs that an error keeps from being served."""
        backlog = self._state.jobs.backlog
        failed, backlog.failed = backlog.failed, []
        for job in failed:
            self.end_after_error(job.job.id, now)

    def end_after_error(self, job_id: str, now: float) -> None:
        """Ends the job with an id, if it is active: a step has failed over it.

        What has run of it is not known for certain, unless nothing was started.
        """
        job = self._state.jobs.active.get(job_id)
        if job is None:
            return
        verdict = scheduling.Verdict.UNCERTAIN
        if not job.started and not job.may_have_run:
            verdict = scheduling.Verdict.NOT_RUN
        self._end(job, verdict, active_job.ERROR, now)

    def refuse_unservable(self, now: float) -> None:
        """Refuses jobs that can't start early enough to be of use."""
        if now - self._refusals_checked_at < REFUSAL_INTERVAL_S:
            return
        self._refusals_checked_at = now
        settling = self._state.workers.settling
        workers = self._state.workers.list_open(now)
        cores = sum(worker.runner.cpu for worker in workers) / 1000
        if self._state.workers.is_growing(now):
            # What the first runners have room for says little of what comes.
            cores = 0.0
        self._divide_capacity(now)
        begin_at = max(now, settling.settled_at)
        unservable, wait_s = self._find_unservable(begin_at, cores, now)
        self.end_failed(now)
        detail = active_job.NO_ROOM if workers else active_job.NO_RUNNER
        if not settling.is_settled(now):
            detail = active_job.OWNER_WAITS
        for job in unservable:
            verdict = scheduling.Verdict.NOT_RUN
            if job.may_have_run:
                verdict = scheduling.Verdict.UNCERTAIN
            retry_ms = self._find_retry_ms(job, wait_s, now)
            self._end(job, verdict, detail, now, retry_ms)

    def _divide_capacity(self, now: float) -> None:
        """Divides the capacity among the queues where it is shared."""
        workers, backlog = self._state.workers, self._state.jobs.backlog
        if not backlog.is_shared:
            return
        try:
            backlog.review(now, workers.find_capacities(now))
        except Exception as error:
            self._state.containment.record("share the capacity", error, now)
            backlog.stop_sharing()

    def _find_unservable(
        self, begin_at: float, cores: float, now: float
    ) -> tuple[list[active_job.ActiveJob], float]:
        """Returns the jobs to refuse, and how long the others wait at most.

        None if that can't be told: each job is then served in its turn.
        """
        try:
            jobs, wait_s = self._state.jobs.list_unservable(begin_at, cores)
            return jobs + self._list_surplus(jobs, now), wait_s
        except Exception as error:
            self._state.containment.record("forecast starts", error, now)
            return [], 0.0

    def _find_retry_ms(
        self, job: active_job.ActiveJob, wait_s: float, now: float
    ) -> int:
        """Returns when to send a refused job again; 0 if that isn't known."""
        with self._state.containment.contain("find when to retry", now):
            retry_s = self._state.jobs.backlog.find_retry_s(job)
            return round(min(max(wait_s, retry_s), MAX_RETRY_S) * 1000)
        return 0

    def _list_surplus(
        self, known: list[active_job.ActiveJob], now: float
    ) -> list[active_job.ActiveJob]:
        """Returns more jobs to refuse, of which no runner ran anything."""
        ids = {job.job.id for job in known}
        return [
            job
            for job in self._state.jobs.backlog.list_surplus(now)
            if job.job.id not in ids and job.unattended_since is None
        ]

    def refuse(
        self, job: active_job.ActiveJob, detail: str, now: float
    ) -> None:
        """Refuses a job of which this owner has started no task."""
        verdict = scheduling.Verdict.NOT_RUN
        if job.may_have_run:
            verdict = scheduling.Verdict.UNCERTAIN
        self._end(job, verdict, detail, now)

    def _end(
        self,
        job: active_job.ActiveJob,
        verdict: scheduling.Verdict,
        detail: str,
        now: float,
        retry_after_ms: int = 0,
    ) -> None:
        self._state.jobs.remove(job, verdict)
        for waiter in job.waiters:
            self._state.reply(waiter, verdict, detail, retry_after_ms)
        self._stop_runs(job)
        with self._state.containment.contain("log the end of a job", now):
            _log_end(job, verdict, detail, now, retry_after_ms)

    def _stop_runs(self, job: active_job.ActiveJob) -> None:
        for task in job.tasks:
            if task.state is not active_job.TaskState.PLACED:
                continue
            for worker, placed in self._state.workers.list_runs(task.name):
                stop = leasing.Stop(worker.epoch, task.name, placed.run)
                self._state.outbox.send(worker.peer, stop)


def _log_end(
    job: active_job.ActiveJob,
    verdict: scheduling.Verdict,
    detail: str,
    now: float,
    retry_after_ms: int,
) -> None:
    waited_s = None
    if job.started_at is not None:
        waited_s = job.started_at - job.submitted_at
    eliot.log_message(
        active_job.JOB_ENDED,
        job=job.job.id,
        queue=job.queue.name,
        verdict=verdict.value,
        detail=detail,
        age_ms=round((now - job.submitted_at) * 1000),
        objective_ms=round(job.objective_s * 1000),
        may_have_run=job.may_have_run,
        retry_after_ms=retry_after_ms,
        runs=job.history,
        **job_forecast.describe(job.forecast, waited_s),
    )
