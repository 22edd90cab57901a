"""Assigns the ready tasks of an entry's jobs to agents and sends them."""

from __future__ import annotations

from skylarkcleat import network as network_lib
from skylarkcleat.directory import subscription as subscription_lib
from skylarkcleat.dispatch import dispatcher as dispatcher_lib
from skylarkcleat.dispatch import placement as placement_lib
from skylarkcleat.dispatch import work as work_lib
from skylarkcleat.entry import admission as admission_lib
from skylarkcleat.entry import journal as journal_lib
from skylarkcleat.jobs import coordinator as coordinator_lib
from skylarkcleat.jobs import effects as effects_lib
from skylarkcleat.model import failure as failure_lib
from skylarkcleat.protocol import claiming

_Effects = list[effects_lib.Effect]


class TaskPlacer:
    """Sends the tasks that the dispatcher places on agents."""

    def __init__(
        self,
        network: network_lib.Network,
        subscription: subscription_lib.Subscription,
        coordinator: coordinator_lib.Coordinator,
        dispatcher: dispatcher_lib.Dispatcher,
        admission: admission_lib.Admission,
        journal: journal_lib.EntryJournal,
    ) -> None:
        """Initializes a placer without tasks.

        Args:
            network: Sends dispatches to agents.
            subscription: The entry's copy of the directory.
            coordinator: Runs the job protocol for the entry's jobs.
            dispatcher: Queues tasks and chooses agents for them.
            admission: Chooses cohorts, the agents that a job may be sent to.
            journal: Records the events of jobs.
        """
        self._network = network
        self._subscription = subscription
        self._coordinator = coordinator
        self._dispatcher = dispatcher
        self._admission = admission
        self._journal = journal

    def queue_tasks(self, ready: effects_lib.Ready, now: float) -> _Effects:
        """Queues tasks at the dispatcher, first attempts and retries alike.

        Returns the coordinator's effects if the dispatcher refuses the job.

        Args:
            ready: The job, its tasks to queue and its cohort.
            now: The monotonic clock, in seconds.
        """
        if self._dispatcher.has_job(ready.job):
            self._journal.record_retries(ready.job, ready.tasks, now)
            self._dispatcher.requeue(ready.job, ready.tasks)
            return []
        submission = self._coordinator.jobs[ready.job].submission
        work = work_lib.Work(
            job=ready.job,
            profile=submission.profile,
            tasks=len(submission.payloads),
            sizes_ms=submission.sizes_ms,
            deadline_at=submission.deadline_at,
            repeatable=submission.repeatable,
            pending=ready.tasks,
            agents=frozenset(agent.name for agent in ready.cohort),
        )
        self._journal.record_ready(ready.job, now)
        failure = self._dispatcher.submit(work, now)
        if failure is None:
            return []
        return self._coordinator.fail_job(ready.job, failure, now)

    def place(self, now: float) -> _Effects:
        """Sends every task that has a free agent; returns the effects.

        Args:
            now: The monotonic clock, in seconds.
        """
        effects: _Effects = []
        for placement in self._dispatcher.place(now):
            if self._dispatcher.has_job(placement.job):
                effects += self._send(placement, now)
            else:
                # `_send` removed the job, since the coordinator rejected the
                # agent chosen for another of its tasks.
                self._dispatcher.withdraw(placement)
        return effects

    def _send(self, placement: placement_lib.Placement, now: float) -> _Effects:
        agent = claiming.MemberRef(placement.agent, placement.incarnation)
        result = self._coordinator.place(
            placement.job, placement.task, agent, now
        )
        if isinstance(result, failure_lib.Failure):
            self._dispatcher.withdraw(placement)
            return self._widen_cohort(placement.job, result, now)
        self._dispatcher.set_attempt_number(placement, result.attempt)
        dispatch = result._replace(
            size_ms=placement.size_ms,
            precedence_ms=placement.precedence_ms,
            revision=self._subscription.view.revision,
            action=self._journal.get_action_id(placement.job),
        )
        self._journal.record_dispatch(agent, dispatch, now)
        self._network.send(agent, dispatch)
        return []

    def _widen_cohort(
        self, job: str, failure: failure_lib.Failure, now: float
    ) -> _Effects:
        """Proposes a cohort of the agents that are usable now."""
        self._dispatcher.remove_job(job)
        if failure.outcome is not failure_lib.Outcome.NOT_RUN:
            return []
        submission = self._coordinator.jobs[job].submission
        cohort = self._admission.choose_cohort(
            submission.profile, len(submission.payloads), now
        )
        return self._coordinator.widen_cohort(job, cohort, now)
