"""The entry's dispatcher: admits jobs, places tasks, decides on retries."""

from __future__ import annotations

import random
import typing as t

from skylarkcleat.dispatch import admission
from skylarkcleat.dispatch import attempt_outcomes
from skylarkcleat.dispatch import fair_queue
from skylarkcleat.dispatch import fleet as fleet_lib
from skylarkcleat.dispatch import job_order
from skylarkcleat.dispatch import job_table
from skylarkcleat.dispatch import placement as placement_lib
from skylarkcleat.dispatch import placer
from skylarkcleat.dispatch import pool as pool_lib
from skylarkcleat.dispatch import retry
from skylarkcleat.dispatch import router as router_lib
from skylarkcleat.dispatch import run_time
from skylarkcleat.dispatch import service_rate
from skylarkcleat.dispatch import task_queue
from skylarkcleat.dispatch import work as work_lib
from skylarkcleat.model import failure as failure_lib
from skylarkcleat.model import member as member_lib
from skylarkcleat.model import profile as profile_lib
from skylarkcleat.protocol import dispatching

# How soon placement is attempted again while tasks are queued.
RECHECK_INTERVAL_S = 0.01


class Dispatcher:
    """Decides for one entry which agent each task is sent to, and when.

    Tasks are queued at the entry, rather than at the agents, until an agent
    is expected to have a free slot. The queue is fair over profiles.
    """

    def __init__(
        self,
        entry_name: str,
        zone: str,
        rng: random.Random,
        router: router_lib.Router,
        queue: task_queue.TaskQueue,
        subset_size: int,
    ):
        self._queue = queue
        self._fleet = fleet_lib.Fleet(entry_name, rng, subset_size)
        self._jobs = job_table.JobTable()
        self._retries = retry.Retries(rng)
        self._run_times = run_time.RunTimeModel()
        service = service_rate.ServiceRate()
        self._admission = admission.Admission(entry_name, service)
        self._outcomes = attempt_outcomes.AttemptOutcomes(
            self._fleet, self._jobs, self._retries, self._run_times, service
        )
        self._placer = placer.Placer(
            zone,
            queue,
            router,
            self._fleet,
            self._jobs,
            self._run_times,
            service,
        )

    def submit(
        self, work: work_lib.Work, now: float
    ) -> failure_lib.Failure | None:
        """Accepts a job and queues its tasks, or returns why it is refused.

        Args:
            work: The job; no active job may have its identifier.
            now: The monotonic clock in seconds.
        """
        failure = self.check(work, now)
        if failure is not None:
            return failure
        views = self._fleet.list_usable(work.profile, now)
        order = job_order.find_order(work, views, self._run_times, now)
        job = job_table.JobState(work, order)
        job.ranks = job_order.rank_tasks(work)
        self._jobs.add(job)
        self._retries.earn(work.profile.name, work.tasks)
        for task in work.pending or range(work.tasks):
            self._placer.enqueue(job, task)
        return None

    def check(
        self, work: work_lib.Work, now: float
    ) -> failure_lib.Failure | None:
        """Returns why `submit` would refuse a job, or None."""
        views = self._fleet.list_usable(work.profile, now)
        return self._admission.check(work, views, self._queue, now)

    def list_agents(
        self, profile: profile_lib.Profile, now: float
    ) -> list[member_lib.Member]:
        """Returns the agents that a profile's tasks may be sent to."""
        views = self._fleet.list_usable(profile, now)
        return [view.member for view in views]

    def has_job(self, job: str) -> bool:
        """Returns whether a job is active."""
        return self._jobs.find(job) is not None

    def requeue(self, job: str, tasks: t.Iterable[int]) -> None:
        """Queues tasks of an active job again, except tasks that are sent.

        Args:
            job: The job's identifier.
            tasks: Tasks that are known not to have started.
        """
        state = self._jobs.find(job)
        if state is None:
            return
        for task in tasks:
            self._requeue(state, task)

    def set_attempt_number(
        self,
        placement: placement_lib.Placement,
        attempt: dispatching.Attempt,
    ) -> None:
        """Records the attempt number that a placement was sent under."""
        self._outcomes.set_attempt_number(placement, attempt)

    def withdraw(self, placement: placement_lib.Placement) -> None:
        """Undoes a placement that will never have an outcome.

        The task then avoids the agent.
        """
        self._outcomes.withdraw(placement)

    def add_agent(self, member: member_lib.Member, now: float) -> None:
        """Adds an agent that joined.

        Args:
            member: Its announcement.
            now: The monotonic clock in seconds.
        """
        del now
        self._fleet.put(member)

    def update_member(self, member: member_lib.Member, now: float) -> None:
        """Updates a known agent, for example when it starts leaving.

        Args:
            member: Its announcement.
            now: The monotonic clock in seconds.
        """
        if self._fleet.has_agent(member.name):
            self.add_agent(member, now)

    def remove_agent(
        self, name: str, now: float
    ) -> list[placement_lib.Placement]:
        """Removes an agent and returns its placements without outcome.

        The caller ends each of them by `on_refusal` if it is known not to
        have started, else by `on_attempt_failure`.

        Args:
            name: The agent's name.
            now: The monotonic clock in seconds.
        """
        del now
        return self._outcomes.remove_agent(name)

    def place(self, now: float) -> list[placement_lib.Placement]:
        """Queues due retries and returns the attempts to send now.

        Args:
            now: The monotonic clock in seconds.
        """
        for key in self._retries.pop_due(now):
            job = self._jobs.find(key.job)
            if job is not None:
                self._requeue(job, key.task)
        return self._placer.place(now)

    def on_answer(
        self, agent: str, answer: dispatching.Answer, now: float
    ) -> None:
        """Records a runner's answer.

        Args:
            agent: The agent that sent it.
            answer: The answer, which may be late or a duplicate.
            now: The monotonic clock in seconds.
        """
        self._outcomes.record_answer(agent, answer, now)

    def on_refusal(
        self, agent: str, refusal: dispatching.Refusal, now: float
    ) -> retry.RetryDecision | failure_lib.Failure:
        """Records a refused attempt, which never starts; decides on a retry.

        Args:
            agent: The agent that sent it.
            refusal: The refusal.
            now: The monotonic clock in seconds.

        Returns:
            When the task is placed again, else why it is not.
        """
        return self._outcomes.record_refusal(agent, refusal, now)

    def on_attempt_failure(
        self, agent: str, report: dispatching.AttemptFailure, now: float
    ) -> retry.RetryDecision | failure_lib.Failure:
        """Records that a started attempt ended without an answer.

        Args:
            agent: The agent that sent it.
            report: The report of the failure.
            now: The monotonic clock in seconds.

        Returns:
            When a repeatable task is placed again, else why it is not.
        """
        return self._outcomes.record_attempt_failure(agent, report, now)

    def on_revoked(
        self, agent: str, revoked: dispatching.Revoked, now: float
    ) -> None:
        """Records attempts that an agent dropped before they started.

        Args:
            agent: The agent that sent it.
            revoked: The dropped tasks.
            now: The monotonic clock in seconds.
        """
        self._outcomes.record_revoked(agent, revoked, now)

    def cancel(self, job: str, now: float) -> list[placement_lib.Cancellation]:
        """Drops a job's queued tasks; returns those that agents may hold.

        Args:
            job: The job's identifier.
            now: The monotonic clock in seconds.
        """
        del now
        state = self._jobs.find(job)
        if state is None:
            return []
        for task in range(state.work.tasks):
            self._queue.remove(job_table.TaskKey(job, task))
        return [
            placement_lib.Cancellation(agent, tuple(tasks))
            for agent, tasks in state.list_sent().items()
        ]

    def remove_job(self, job: str) -> None:
        """Removes a job that has ended; later messages about it are ignored."""
        self.cancel(job, 0.0)
        self._jobs.remove(job)

    def next_wakeup(self, now: float) -> float | None:
        """Returns when `place` may have attempts to send again, or None.

        Args:
            now: The monotonic clock in seconds.
        """
        if len(self._queue):
            return now + RECHECK_INTERVAL_S
        return self._retries.next_wakeup()

    def _requeue(self, job: job_table.JobState, task: int) -> None:
        if job.tasks[task].agent:
            return
        self._queue.remove(job_table.TaskKey(job.work.job, task))
        self._placer.enqueue(job, task)


def create_dispatcher(
    entry_name: str,
    zone: str,
    seed: int,
    router: router_lib.Router | None = None,
    queue: task_queue.TaskQueue | None = None,
    subset_size: int = pool_lib.DEFAULT_SUBSET_SIZE,
) -> Dispatcher:
    """Returns a dispatcher without agents or jobs.

    Args:
        entry_name: The entry's name.
        zone: The entry's availability zone.
        seed: Makes its random choices reproducible.
        router: Chooses agents; by earliest expected completion if None.
        queue: The order of service; fair over profiles if None.
        subset_size: The most agents of an upstream that it sends to.
    """
    return Dispatcher(
        entry_name,
        zone,
        random.Random(seed),
        router or router_lib.create_router(seed),
        fair_queue.create_fair_queue() if queue is None else queue,
        subset_size,
    )
