"""The owner: places every task of every job on a runner.

The module does no I/O and reads no clock: methods take messages and the time,
and append messages to `outbox`. A new owner has no stored state. It learns
from the side processes' reports what runs, and starts no task before each side
process that may hold a lease from the previous owner has reported or that
lease has expired; otherwise a task could run twice. A job runs only while its
front replies to the owner's heartbeats.
"""

from __future__ import annotations

import typing as t

import eliot

from skylarkcleat.configuration import content
from skylarkcleat.protocol import scheduling
from skylarkcleat.scheduling import active_job
from skylarkcleat.scheduling import follower_leases as follower_leases_lib
from skylarkcleat.scheduling import job_table as job_table_lib
from skylarkcleat.scheduling import lease
from skylarkcleat.scheduling import placement
from skylarkcleat.scheduling import worker as worker_lib
from skylarkcleat.scheduling import workers as workers_lib
from skylarkcleat.wire import session as session_lib

SKIPPED_RUNS = 8
"""How many run numbers are skipped when a runner has already received a number
at least as large for the task."""

NO_FAULT_REASONS = frozenset(("draining", "room", "silent", "held"))
"""Reasons for a run that didn't start which don't count as failures of its
runner."""

REFUSAL_PAUSE_S = 0.05
"""How long a side process that refused a start for such a reason gets no tasks,
unless a run there ends earlier: the next start would be refused as well."""

REFUSAL_INTERVAL_S = 0.05
"""The interval at which jobs that can't start in time are searched for and
refused."""


class Outgoing(t.NamedTuple):
    """A message to one incarnation of a process."""

    peer: session_lib.Endpoint
    message: t.Any


class Predecessor(t.NamedTuple):
    """What a new owner knows of the previous one.

    Attributes:
        term: Its term; 0 if it is not known.
        sides: Its side processes.
        settled_at: Until this time side processes missing from `sides` may
            run its tasks, in seconds; not in the future if `sides` is
            complete.
        fronts: The other known fronts, which may still follow it.
    """

    term: int = 0
    sides: tuple[str, ...] = ()
    settled_at: float = 0.0
    fronts: tuple[str, ...] = ()


class Owner:
    """Places jobs' tasks on runners.

    Args:
        local: The front that is the owner.
        predecessor: What it knows of the previous owner.
        now: The time, in seconds.

    Attributes:
        followers: The fronts that follow this owner.
        outbox: Messages to be sent.
    """

    def __init__(
        self, local: session_lib.Endpoint, predecessor: Predecessor, now: float
    ) -> None:
        self.followers = follower_leases_lib.FollowerLeases(
            local, predecessor.fronts, now
        )
        self.outbox: list[Outgoing] = []
        self._previous_term = predecessor.term
        self._begun_at = now
        self._workers = workers_lib.Workers(
            predecessor.sides, predecessor.settled_at, now
        )
        self._jobs = job_table_lib.JobTable(now)
        self._refusals_checked_at = now

    @property
    def jobs(self) -> dict[str, active_job.ActiveJob]:
        """The jobs that have not ended, by id."""
        return self._jobs.active

    @property
    def workers(self) -> dict[str, worker_lib.Worker]:
        """The side processes that hold a lease, by name."""
        return self._workers.by_side

    @property
    def sides(self) -> tuple[str, ...]:
        """The names of all side processes that may run tasks."""
        return self._workers.list_names()

    def is_settled(self, now: float) -> bool:
        """Returns whether every task that may be running is known here."""
        return self._workers.settling.is_settled(now)

    def extend(self, sides: t.Iterable[str], now: float) -> None:
        """Takes over the side processes of another owner, in a new term.

        Every front resubmits its open jobs, so their waiters are dropped.
        """
        for worker in self._workers.expect_sides(sides, now):
            self._send(worker.peer, scheduling.Unregistered(worker.epoch))
        self._jobs.drop_waiters(lambda _: True)

    def record_heartbeat_reply(
        self, front: session_lib.Endpoint, sent_at: float, now: float
    ) -> bool:
        """Records a heartbeat reply from a front.

        Returns:
            Whether the front had been unresponsive and now has to resubmit its
            jobs: its requests are dropped, since it may have followed another
            owner meanwhile.
        """
        was_following = self.followers.is_following(front, now)
        if not was_following:
            self._jobs.drop_waiters(lambda w: w.peer.name == front.name)
        self.followers.record_reply(front, sent_at)
        return not was_following and self.followers.is_following(front, now)

    def submit(
        self,
        peer: session_lib.Endpoint,
        message: scheduling.Submit,
        queue: content.Queue,
        now: float,
    ) -> None:
        """Accepts a job, or adds a waiter to the active job with its id.

        A job that has ended recently is answered with its verdict instead.
        """
        job = message.job
        waiter = active_job.Waiter(peer, message.request)
        known = self.jobs.get(job.id)
        if known is not None:
            if waiter not in known.waiters:
                known.waiters.append(waiter)
            self._defer_start(known, message, now)
            self._jobs.queue(known)
            return
        verdict = self._jobs.recent.find_verdict(job.id)
        if verdict is not None:
            self._reply(waiter, verdict, "the job has already ended")
            return
        added = self._jobs.add(message, queue, now)
        added.waiters.append(waiter)
        self._defer_start(added, message, now)
        for task in added.tasks:
            for worker, placed in self._workers.list_runs(task.name):
                self._adopt_or_stop(added, task, worker, placed.run, now)
        if not self._end_if_done(added, now):
            self._jobs.queue(added)

    def _defer_start(
        self, job: active_job.ActiveJob, message: scheduling.Submit, now: float
    ) -> None:
        """Defers a job's tasks while some may run under another owner.

        Tasks under this owner's direct predecessor need no delay: they are
        reported or have expired before this owner starts any task. That does
        not hold for a front that followed the predecessor after this owner had
        begun: both were alive then.
        """
        expires_at = now + message.earlier_expires_in_ms / 1000
        previous_expires_at = now + message.previous_expires_in_ms / 1000
        is_covered = (
            message.previous_term == self._previous_term
            and previous_expires_at <= self._begun_at + lease.RUN_EXPIRY_S
        )
        if not is_covered:
            expires_at = max(expires_at, previous_expires_at)
        job.startable_at = max(job.startable_at, expires_at)

    def abandon(self, peer: session_lib.Endpoint, request: int) -> None:
        """Drops a waiter whose caller has disconnected."""
        abandoned = active_job.Waiter(peer, request)
        self._jobs.drop_waiters(lambda waiter: waiter == abandoned)

    def count_waiting(self, queue: str) -> int:
        """Returns how many jobs of a queue have started no task."""
        return sum(
            job.queue.name == queue and not job.started
            for job in self.jobs.values()
        )

    def register(
        self,
        peer: session_lib.Endpoint,
        message: scheduling.Register,
        now: float,
    ) -> None:
        """Grants a side process a lease, replacing any earlier one.

        Runs under the earlier lease keep using capacity until the report.
        """
        worker = self._workers.register(peer, message, now)
        self._send(peer, scheduling.Grant(worker.epoch, message.sent_at))

    def handle_report(
        self, side: str, message: scheduling.Report, now: float
    ) -> None:
        """Handles a side process's full report of its runs and their ends."""
        worker = self._workers.find(side, message.epoch)
        if worker is None:
            return
        self._record_ends(worker, message.ends, now)
        running = {run.task: run for run in message.running}
        for placed in list(worker.runs.values()):
            run = running.get(placed.task)
            if run is None or run.run != placed.run:
                worker.remove(placed.task, placed.run)
                self._jobs.requeue_task(placed, worker.side)
        for run in running.values():
            self._record_running(worker, run, now)
        self._workers.record_report(worker)
        self._jobs.needs_placement = True

    def renew(
        self,
        peer: session_lib.Endpoint,
        message: scheduling.Renew,
        now: float,
    ) -> None:
        """Renews a lease, or replies that the side has to register again."""
        worker = self._workers.find(peer.name, message.epoch)
        if worker is None or worker.phase is worker_lib.Phase.OUTDATED:
            self._send(peer, scheduling.Unregistered(message.epoch))
            return
        worker.granted_at = now
        if message.runner != worker.runner and message.runner is not None:
            worker.runner = message.runner
            self._jobs.needs_placement = True
        self._send(peer, scheduling.Renewed(message.epoch, message.sent_at))

    def handle_ended(
        self, side: str, message: scheduling.Ended, now: float
    ) -> None:
        """Handles the ends of runs."""
        worker = self._workers.find(side, message.epoch)
        if worker is not None:
            self._record_ends(worker, message.ends, now)

    def handle_not_started(
        self, side: str, message: scheduling.NotStarted, now: float
    ) -> None:
        """Handles a run that did not start and never will."""
        worker = self._workers.find(side, message.epoch)
        if worker is None:
            return
        placed = worker.remove(message.task, message.run)
        if placed is None:
            return
        self._jobs.requeue_task(placed, worker.side)
        job = self._jobs.find(message.task)
        if job is not None:
            job.record(
                message.task, message.run, worker.side, message.reason, now
            )
        if message.reason == "old":
            task = self._jobs.find_task(message.task)
            if task is not None and task.state is active_job.TaskState.WAITING:
                task.run += SKIPPED_RUNS
        elif message.reason in NO_FAULT_REASONS:
            worker.paused_until = now + REFUSAL_PAUSE_S
        else:
            worker.speed.record_failure(now)

    def handle_runner_silent(
        self, side: str, message: scheduling.RunnerUnresponsive
    ) -> None:
        """Records whether a runner responds; otherwise it gets no tasks."""
        worker = self._workers.find(side, message.epoch)
        if worker is not None:
            worker.is_unresponsive = message.is_unresponsive
            self._jobs.needs_placement = True

    def handle_runner_lost(
        self, side: str, message: scheduling.RunnerLost
    ) -> None:
        """Requeues the tasks of an unresponsive runner; they have expired.

        As the first report under a lease it covers every earlier run there.
        """
        worker = self._workers.find(side, message.epoch)
        if worker is None:
            return
        lost = {(run.task, run.run) for run in message.runs}
        is_report = worker.phase is worker_lib.Phase.REPORTING
        for placed in list(worker.runs.values()):
            if is_report or (placed.task, placed.run) in lost:
                worker.remove(placed.task, placed.run)
                self._jobs.requeue_task(placed, side)
        # Its side process has told this only to the owner that it had then.
        worker.is_unresponsive = True
        self._workers.record_report(worker)
        self._jobs.needs_placement = True

    def tick(self, now: float) -> None:
        """Applies timeouts; to be called several times a second."""
        self._jobs.recent.discard_old(now)
        self._jobs.needs_placement = True
        for worker in self._workers.list_expired(now):
            self._remove_worker(worker, "its lease has expired", now)
        self._workers.expire_unreported(now)
        self._workers.settling.log_progress(self.workers, now)
        self._end_abandoned(now)
        if now - self._refusals_checked_at >= REFUSAL_INTERVAL_S:
            self._refusals_checked_at = now
            self._refuse_unservable(now)

    def place(self, now: float) -> None:
        """Starts tasks that fit, if anything changed since the last call."""
        if not self._jobs.needs_placement or not self.is_settled(now):
            return
        self._jobs.needs_placement = False
        self._workers.update_factors(now)
        workers = self._workers.list_open(now)
        self._jobs.backlog.place(
            now, lambda job: self._place_job(job, workers, now)
        )

    def _end_abandoned(self, now: float) -> None:
        """Ends jobs whose callers have disconnected.

        While another owner may exist they end at once, since their callers
        may resubmit them there.
        """
        self._jobs.record_attended(lambda job: self._is_attended(job, now), now)
        is_disputed = self.followers.has_missing_front(now)
        keep_s = 0.0 if is_disputed else job_table_lib.ABANDONED_RETENTION_S
        for job in self._jobs.list_abandoned(now, keep_s):
            detail = "its caller has gone"
            self._end_job(job, scheduling.Verdict.UNCERTAIN, detail, now)

    def _is_attended(self, job: active_job.ActiveJob, now: float) -> bool:
        return any(
            self.followers.is_following(waiter.peer, now)
            for waiter in job.waiters
        )

    def _place_job(
        self,
        job: active_job.ActiveJob,
        workers: list[worker_lib.Worker],
        now: float,
    ) -> bool:
        if now < job.startable_at or not self._is_attended(job, now):
            return False
        waiting = job.list_startable()
        if any(self._is_stopping(task) for task in waiting):
            return False
        if not job.started and not placement.has_room(job, waiting, workers):
            return False
        for task in waiting:
            step = job.job.steps[task.step]
            base_s = self._jobs.estimates.predict_s(
                job.queue.name, step.estimate_ms
            )
            choice = placement.choose_worker(job, task, base_s, workers, now)
            if choice is None:
                return False
            self._start(job, task, choice[0], choice[1], now)
        return True

    def _is_stopping(self, task: active_job.Task) -> bool:
        """Returns whether a duplicate run of a waiting task has not ended."""
        if task.may_run_twice:
            task.may_run_twice = bool(self._workers.list_runs(task.name))
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
        run = max(task.run, self._jobs.recent.find_highest_run(task.name)) + 1
        task.place(run, worker.side)
        job.started = True
        worker.add(
            worker_lib.PlacedRun(task.name, task.run, step, now, expected_s)
        )
        start = scheduling.Start(
            worker.epoch,
            task.name,
            task.run,
            job.job.spec,
            step.cpu,
            step.memory_mb,
            step.gpu,
        )
        job.record(task.name, task.run, worker.side, "start", now)
        self._send(worker.peer, start)

    def _record_ends(
        self,
        worker: worker_lib.Worker,
        ends: t.Sequence[scheduling.End],
        now: float,
    ) -> None:
        self._jobs.needs_placement = True
        if ends:
            worker.paused_until = now
        for end in ends:
            placed = worker.remove(end.task, end.run)
            self._end_run(worker, end, placed, now)
        if ends:
            number = max(end.number for end in ends)
            self._send(
                worker.peer, scheduling.EndsAcknowledged(worker.epoch, number)
            )

    def _end_run(
        self,
        worker: worker_lib.Worker,
        end: scheduling.End,
        placed: worker_lib.PlacedRun | None,
        now: float,
    ) -> None:
        self._jobs.recent.record_run(end.task, end.run)
        job = self._jobs.find(end.task)
        task = job.find_task(end.task) if job else None
        if end.ending is scheduling.Ending.DONE:
            self._jobs.recent.record_done(end.task)
            if placed is not None and job is not None:
                self._record_duration(worker, job, placed, now)
        if task is None:
            return
        job.record(end.task, end.run, worker.side, end.ending.value, now)
        is_current = (task.run, task.side) == (end.run, worker.side)
        if end.ending is scheduling.Ending.DONE:
            # A run of the previous owner that ended during the takeover.
            is_current = (
                is_current or task.state is active_job.TaskState.WAITING
            )
        if not is_current:
            return
        if end.ending is scheduling.Ending.DONE:
            task.state = active_job.TaskState.DONE
        elif task.state is active_job.TaskState.PLACED:
            task.state = active_job.TaskState.WAITING
        else:
            # The same end was reported and counted before.
            return
        self._jobs.queue(job)
        if end.ending is scheduling.Ending.FAILED:
            task.failures += 1
            task.failed_sides.add(worker.side)
            worker.speed.record_failure(now)
        self._end_if_done(job, now)

    def _record_duration(
        self,
        worker: worker_lib.Worker,
        job: active_job.ActiveJob,
        placed: worker_lib.PlacedRun,
        now: float,
    ) -> None:
        worker.speed.failures = 0
        if placed.expected_s <= 0:
            return
        took_s = now - placed.started_at
        estimates = self._jobs.estimates
        factor = worker.speed.find_factor(now)
        queue = job.queue.name
        estimate_ms = placed.step.estimate_ms
        base_s = estimates.predict_s(queue, estimate_ms)
        if placement.is_remote(worker, placed.step):
            took_s /= placement.REMOTE_FACTOR
        worker.speed.record_duration(took_s, base_s, now)
        estimates.record_duration(queue, took_s, estimate_ms / 1000 * factor)

    def _end_if_done(self, job: active_job.ActiveJob, now: float) -> bool:
        if job.is_done:
            self._end_job(job, scheduling.Verdict.COMPLETED, "", now)
            return True
        limit = job.queue.max_attempts
        if any(task.failures >= limit for task in job.tasks):
            detail = f"a task failed {limit} times"
            self._end_job(job, scheduling.Verdict.FAILED, detail, now)
            return True
        return False

    def _end_job(
        self,
        job: active_job.ActiveJob,
        verdict: scheduling.Verdict,
        detail: str,
        now: float,
        retry_after_ms: int = 0,
    ) -> None:
        self._jobs.remove(job, verdict)
        for waiter in job.waiters:
            self._reply(waiter, verdict, detail, retry_after_ms)
        self._stop_runs(job)
        eliot.log_message(
            active_job.JOB_ENDED,
            job=job.job.id,
            queue=job.queue.name,
            verdict=verdict.value,
            detail=detail,
            age_ms=round((now - job.submitted_at) * 1000),
            objective_ms=round(job.objective_s * 1000),
            may_have_run=job.may_have_run,
            runs=job.history,
        )

    def _stop_runs(self, job: active_job.ActiveJob) -> None:
        names = {
            task.name
            for task in job.tasks
            if task.state is active_job.TaskState.PLACED
        }
        for worker in self.workers.values():
            for name in sorted(names & worker.runs.keys()):
                run = worker.runs[name].run
                stop = scheduling.Stop(worker.epoch, name, run)
                self._send(worker.peer, stop)

    def _refuse_unservable(self, now: float) -> None:
        """Refuses jobs that can't start early enough to be of use."""
        workers = self._workers.list_open(now)
        cores = sum(worker.runner.cpu for worker in workers) / 1000
        begin_at = max(now, self._workers.settling.settled_at)
        unservable, wait_s = self._jobs.list_unservable(begin_at, cores)
        for job in unservable:
            verdict = scheduling.Verdict.NOT_RUN
            if job.may_have_run:
                verdict = scheduling.Verdict.UNCERTAIN
            detail = active_job.NO_ROOM
            if not self.is_settled(now):
                detail = active_job.OWNER_WAITS
            self._end_job(job, verdict, detail, now, round(wait_s * 1000))

    def _adopt_or_stop(
        self,
        job: active_job.ActiveJob,
        task: active_job.Task,
        worker: worker_lib.Worker,
        run: int,
        now: float,
    ) -> None:
        """Adopts a run that this owner did not order, or stops a duplicate."""
        if task.state is not active_job.TaskState.WAITING or task.may_run_twice:
            task.may_run_twice = True
            stop = scheduling.Stop(worker.epoch, task.name, run)
            self._send(worker.peer, stop)
            return
        task.place(run, worker.side)
        job.started = True
        job.record(task.name, run, worker.side, "adopted", now)
        keep = scheduling.Adopt(worker.epoch, task.name, run)
        self._send(worker.peer, keep)

    def _record_running(
        self, worker: worker_lib.Worker, run: scheduling.Run, now: float
    ) -> None:
        if run.task in worker.runs:
            self._keep_or_stop(worker, run)
            return
        self._jobs.recent.record_run(run.task, run.run)
        step = self._find_size(worker, run)
        placed = worker_lib.PlacedRun(run.task, run.run, step, now, 0.0)
        worker.add(placed)
        job = self._jobs.find(run.task)
        task = job.find_task(run.task) if job else None
        if task is not None:
            self._adopt_or_stop(job, task, worker, run.run, now)

    def _keep_or_stop(
        self, worker: worker_lib.Worker, run: scheduling.Run
    ) -> None:
        """Orders a side process to keep or stop a run of its earlier lease."""
        task = self._jobs.find_task(run.task)
        is_placed = task is not None and (
            (task.state, task.run, task.side)
            == (active_job.TaskState.PLACED, run.run, worker.side)
        )
        kind = scheduling.Adopt if is_placed else scheduling.Stop
        self._send(worker.peer, kind(worker.epoch, run.task, run.run))

    def _find_size(
        self, worker: worker_lib.Worker, run: scheduling.Run
    ) -> scheduling.Step:
        if run.cpu >= 0 or worker.runner is None:
            return scheduling.Step(1, max(run.cpu, 0), run.memory_mb, run.gpu)
        runner = worker.runner
        return scheduling.Step(1, runner.cpu, runner.memory_mb, runner.gpu)

    def _remove_worker(
        self, worker: worker_lib.Worker, reason: str, now: float
    ) -> None:
        self._workers.remove(worker, reason, now)
        for placed in worker.runs.values():
            self._jobs.requeue_task(placed, worker.side)

    def _reply(
        self,
        waiter: active_job.Waiter,
        verdict: scheduling.Verdict,
        detail: str = "",
        retry_after_ms: int = 0,
    ) -> None:
        reply = scheduling.Reply(
            waiter.request, verdict, detail, retry_after_ms
        )
        self._send(waiter.peer, reply)

    def _send(self, peer: session_lib.Endpoint, message: t.Any) -> None:
        self.outbox.append(Outgoing(peer, message))
