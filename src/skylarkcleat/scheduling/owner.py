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

from skylarkcleat import containment as containment_lib
from skylarkcleat.configuration import content
from skylarkcleat.protocol import leasing
from skylarkcleat.protocol import reporting
from skylarkcleat.protocol import scheduling
from skylarkcleat.scheduling import active_job
from skylarkcleat.scheduling import adoption as adoption_lib
from skylarkcleat.scheduling import evacuations as evacuations_lib
from skylarkcleat.scheduling import follower_leases as follower_leases_lib
from skylarkcleat.scheduling import job_endings as job_endings_lib
from skylarkcleat.scheduling import job_queries
from skylarkcleat.scheduling import job_table as job_table_lib
from skylarkcleat.scheduling import outbox as outbox_lib
from skylarkcleat.scheduling import owner_state
from skylarkcleat.scheduling import policy as policy_lib
from skylarkcleat.scheduling import predecessor as predecessor_lib
from skylarkcleat.scheduling import room_index as room_index_lib
from skylarkcleat.scheduling import run_endings as run_endings_lib
from skylarkcleat.scheduling import side_reports as side_reports_lib
from skylarkcleat.scheduling import starts as starts_lib
from skylarkcleat.scheduling import worker as worker_lib
from skylarkcleat.scheduling import workers as workers_lib
from skylarkcleat.scheduling import zones_in_use
from skylarkcleat.wire import session as session_lib


class Owner:
    """Places jobs' tasks on runners.

    Args:
        local: The front that is the owner.
        predecessor: What it knows of the previous owner.
        now: The time, in seconds.
        policy: What the settings choose.

    Attributes:
        followers: The fronts that follow this owner.
        outbox: Messages to be sent.
        containment: Contains the errors of single steps.
        queries: Answers what is asked of the jobs.
    """

    def __init__(
        self,
        local: session_lib.Endpoint,
        predecessor: predecessor_lib.Predecessor,
        now: float,
        policy: policy_lib.Policy = policy_lib.DEFAULT,
    ) -> None:
        self._predecessor = predecessor
        self._begun_at = now
        contains = containment_lib.Containment()
        state = owner_state.OwnerState(
            follower_leases_lib.FollowerLeases(local, predecessor.fronts, now),
            workers_lib.Workers(
                predecessor.sides, predecessor.settled_at, now, contains
            ),
            job_table_lib.JobTable(now, policy, contains),
            outbox_lib.Outbox(),
            contains,
        )
        self.containment = contains
        self.followers = state.followers
        self.outbox = state.outbox
        self._state = state
        self._workers = state.workers
        self._jobs = state.jobs
        self._job_endings = job_endings_lib.JobEndings(state, now)
        run_endings = run_endings_lib.RunEndings(state, self._job_endings)
        self._adoption = adoption_lib.Adoption(state)
        self._side_reports = side_reports_lib.SideReports(
            state, self._adoption, run_endings
        )
        self._starts = starts_lib.Starts(state, self._job_endings)
        self._evacuations = evacuations_lib.Evacuations(
            state, self._job_endings
        )
        self.queries = job_queries.JobQueries(state, self._job_endings, now)

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

    def list_unknown_sides(self) -> list[str]:
        """Returns the side processes that a successor may not know.

        They get no tasks until they are opened.
        """
        return self._workers.list_unknown()

    def open_sides(self, sides: t.Iterable[str], now: float) -> None:
        """Lets side processes get tasks that every successor knows."""
        self._workers.open(sides, now)
        self._jobs.needs_placement = True

    def find_rooms(self, upstream: str, now: float) -> room_index_lib.RoomIndex:
        """Returns the runners of an upstream with the room that each has."""
        return self._workers.find_rooms(upstream, now)

    def is_settled(self, now: float) -> bool:
        """Returns whether every task that may be running is known here."""
        return self._workers.settling.is_settled(now)

    def extend(self, sides: t.Iterable[str], now: float) -> None:
        """Takes over the side processes of another owner, in a new term.

        Every front resubmits its open jobs, so their waiters are dropped.
        """
        for worker in self._workers.expect_sides(sides, now):
            self.outbox.send(worker.peer, leasing.Unregistered(worker.epoch))
        self._jobs.drop_all_waiters()

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
            self._jobs.drop_waiters_of(front.name)
        self.followers.record_reply(front, sent_at)
        return not was_following and self.followers.is_following(front, now)

    def submit(
        self,
        peer: session_lib.Endpoint,
        message: scheduling.Submit,
        queue: content.Queue,
        now: float,
    ) -> None:
        """Accepts a job, unless it is known already."""
        if self.resume(peer, message, now):
            return
        added = self._jobs.add(message, queue, now)
        waiter = active_job.Waiter(peer, message.request)
        self._jobs.add_waiter(added, waiter)
        self._defer_start(added, message, now)
        self._adoption.adopt_runs_of(added, now)
        if not self._job_endings.end_if_done(added, now):
            self._jobs.queue(added)

    def resume(
        self,
        peer: session_lib.Endpoint,
        message: scheduling.Submit,
        now: float,
    ) -> bool:
        """Adds a waiter to the active job with an id; returns if it is known.

        A job that has ended recently is answered with its verdict instead.
        """
        waiter = active_job.Waiter(peer, message.request)
        known = self.jobs.get(message.job.id)
        if known is not None:
            self._jobs.add_waiter(known, waiter)
            self._defer_start(known, message, now)
            self._jobs.queue(known)
            return True
        verdict = self._jobs.recent.find_verdict(message.job.id)
        if verdict is not None:
            self._state.reply(waiter, verdict, "the job has already ended")
        return verdict is not None

    def _defer_start(
        self, job: active_job.ActiveJob, message: scheduling.Submit, now: float
    ) -> None:
        """Defers a job's tasks while some may run under another owner."""
        startable_at = predecessor_lib.find_startable_at(
            self._predecessor, self._begun_at, message, now
        )
        job.startable_at = max(job.startable_at, startable_at)

    def end_after_error(self, job: str, now: float) -> None:
        """Ends a job that a step has failed over; its callers are answered."""
        self._job_endings.end_after_error(job, now)

    def record_unsent(
        self, side: str, order: leasing.Start, now: float
    ) -> None:
        """Ends the job of a start that could not be sent to its side."""
        refusal = reporting.NotStarted(
            order.epoch, order.task, order.run, reporting.UNSENT
        )
        self._side_reports.receive(side, refusal, now)
        self.end_after_error(active_job.find_job_id(order.task), now)

    def abandon(self, peer: session_lib.Endpoint, request: int) -> None:
        """Drops a waiter whose caller has disconnected."""
        self._jobs.drop_waiter(active_job.Waiter(peer, request))

    def find_verdict(self, job: str, now: float) -> scheduling.Verdict:
        """Returns the state of a job, or how it ended."""
        return self.queries.find_verdict(job, now)

    def cancel(self, job: str, now: float) -> scheduling.Verdict:
        """Cancels a job; returns `CANCELLED` if it is."""
        return self.queries.cancel(job, now)

    def register(
        self,
        peer: session_lib.Endpoint,
        message: leasing.Register,
        now: float,
    ) -> None:
        """Grants a side process a lease, replacing any earlier one.

        Runs under the earlier lease keep using capacity until the report.
        """
        worker = self._workers.register(peer, message, now)
        self.outbox.send(peer, leasing.Grant(worker.epoch, message.sent_at))

    def renew(
        self,
        peer: session_lib.Endpoint,
        message: leasing.Renew,
        now: float,
    ) -> None:
        """Renews a lease, or replies that the side has to register again."""
        worker = self._workers.find(peer.name, message.epoch)
        if worker is None or worker.must_register_again(now):
            self.outbox.send(peer, leasing.Unregistered(message.epoch))
            return
        worker.granted_at = now
        if message.runner != worker.runner and message.runner is not None:
            worker.update_runner(message.runner, now)
            self._jobs.needs_placement = True
        self.outbox.send(peer, leasing.Renewed(message.epoch, message.sent_at))

    def update_zones(self, zones: zones_in_use.ZonesInUse) -> None:
        """Sends tasks to the given zones only from now on."""
        self._evacuations.update(zones)

    def handle_side_report(
        self, side: str, message: reporting.SideReport, now: float
    ) -> None:
        """Handles what a side process reports of its runner and its runs."""
        self._side_reports.receive(side, message, now)

    def tick(self, now: float) -> None:
        """Applies timeouts; to be called several times a second."""
        self._jobs.recent.discard_old(now)
        self._jobs.needs_placement = True
        for worker in self._workers.list_expired(now):
            self._remove_worker(worker, "its lease has expired", now)
        self._workers.expire_unreported(now)
        with self.containment.contain("log the side processes", now):
            self._workers.settling.log_progress(self.workers, now)
            self._workers.log_closed(now)
        with self.containment.contain("refuse jobs of evacuated zones", now):
            self._evacuations.tick(now)
        self._job_endings.end_abandoned(now)
        self._job_endings.refuse_unservable(now)

    def place(self, now: float) -> None:
        """Starts tasks that fit, if anything changed since the last call."""
        self._starts.place(now)

    def _remove_worker(
        self, worker: worker_lib.Worker, reason: str, now: float
    ) -> None:
        self._workers.remove(worker, reason, now)
        for placed in worker.runs.values():
            self._jobs.requeue_task(placed, worker.side)
