"""The entry's event loop task, the only one that changes its jobs."""

from __future__ import annotations

import asyncio
import typing as t

from skylarkcleat import clock as clock_lib
from skylarkcleat import mailbox as mailbox_lib
from skylarkcleat import network as network_lib
from skylarkcleat import reporting as reporting_lib
from skylarkcleat.directory import subscription as subscription_lib
from skylarkcleat.dispatch import dispatcher as dispatcher_lib
from skylarkcleat.entry import admission as admission_lib
from skylarkcleat.entry import journal as journal_lib
from skylarkcleat.entry import membership as membership_lib
from skylarkcleat.entry import submission as submission_lib
from skylarkcleat.entry import task_placer as task_placer_lib
from skylarkcleat.jobs import coordinator as coordinator_lib
from skylarkcleat.jobs import effects as effects_lib
from skylarkcleat.model import cause as cause_lib
from skylarkcleat.model import failure as failure_lib
from skylarkcleat.model import member as member_lib
from skylarkcleat.protocol import claiming
from skylarkcleat.protocol import dispatching
from skylarkcleat.wire import event as event_lib

_DRAIN_POLL_S = 0.05
_Effects = t.Iterable[effects_lib.Effect]


class EntryProcess:
    """Routes messages between callers, the job protocol and the dispatcher.

    Each message from the mailbox goes to its handler. After each batch, tasks
    that are ready are placed on agents.
    """

    def __init__(
        self,
        member: member_lib.Member,
        mailbox: asyncio.Queue,
        network: network_lib.Network,
        subscription: subscription_lib.Subscription,
        coordinator: coordinator_lib.Coordinator,
        membership: membership_lib.Membership,
        dispatcher: dispatcher_lib.Dispatcher,
        admission: admission_lib.Admission,
        journal: journal_lib.EntryJournal,
        reporting: reporting_lib.Reporting,
    ) -> None:
        """Initializes the entry.

        Args:
            member: The entry's own entry in the directory.
            mailbox: Delivers submissions, messages, changes and ticks.
            network: Sends messages to other members.
            subscription: An open directory subscription whose changes go to
                `mailbox`.
            coordinator: Runs the job protocol; has no jobs yet.
            membership: Applies changes of members and keeper shards.
            dispatcher: Places tasks; has no agents yet.
            admission: Decides which submissions are admitted.
            journal: Records the events of jobs.
            reporting: Reports events and incidents to control.
        """
        self._ref = claiming.MemberRef(member.name, member.incarnation)
        self._mailbox = mailbox
        self._network = network
        self._subscription = subscription
        self._coordinator = coordinator
        self._membership = membership
        self._dispatcher = dispatcher
        self._admission = admission
        self._journal = journal
        self._reporting = reporting
        self._task_placer = task_placer_lib.TaskPlacer(
            network, subscription, coordinator, dispatcher, admission, journal
        )
        self._waker = mailbox_lib.Waker(mailbox)
        self._replies: dict[str, asyncio.Future[submission_lib.Outcome]] = {}
        self._handlers: dict[type, t.Callable[[t.Any], None]] = {
            submission_lib.Submit: self._handle_submit,
            submission_lib.CallerDisconnected: self._handle_disconnect,
            event_lib.Received: self._handle_received,
            event_lib.Lost: self._handle_lost_session,
            mailbox_lib.DirectoryChanged: self._handle_directory_changes,
            mailbox_lib.Tick: self._handle_tick,
            mailbox_lib.Wake: self._handle_wake,
        }
        self._receivers: dict[type, t.Callable[..., None]] = {
            dispatching.Answer: self._handle_answer,
            dispatching.Refusal: self._handle_refusal,
            dispatching.AttemptFailure: self._handle_attempt_failure,
            dispatching.Revoked: self._handle_revoked,
            claiming.Decided: self._handle_decided,
            **reporting.list_handlers(),
            **journal.event_requests.list_handlers(),
        }

    @property
    def agent_count(self) -> int:
        """The number of agents up in the entry's copy of the directory."""
        members = self._network.list_members()
        return sum(each.role is member_lib.Role.AGENT for each in members)

    @property
    def job_count(self) -> int:
        """The number of jobs that have not ended."""
        return len(self._coordinator.jobs)

    async def run(self) -> None:
        """Handles messages until it is cancelled."""
        while True:
            for message in await mailbox_lib.receive_batch(self._mailbox):
                self._handlers[type(message)](message)
            self._place()

    async def drain(self, grace_s: float) -> None:
        """Refuses new work and waits until every job has ended.

        Args:
            grace_s: The longest wait, in seconds; jobs that are still running
                then are left unfinished.
        """
        end = clock_lib.read_monotonic() + grace_s
        self._reporting.events.begin_drain()
        self._admission.close()
        self._subscription.leave()
        while self.job_count and clock_lib.read_monotonic() < end:
            await asyncio.sleep(_DRAIN_POLL_S)
        self._reporting.events.end_drain()
        await self._network.wait_delivered()

    def _handle_submit(self, submit: submission_lib.Submit) -> None:
        now = clock_lib.read_monotonic()
        submission = self._admission.create_submission(
            submit, self.job_count, now
        )
        if submission.refusal is not None and submit.is_new:
            self._journal.record_refusal(submission, now)
            submit.reply.set_result(submission.refusal)
            return
        slots = self._network.count_slots(submission.cohort)
        self._journal.record_submission(submission, slots, now)
        self._replies[submit.caller] = submit.reply
        now_ms = clock_lib.read_wall_ms()
        self._apply(self._coordinator.submit(submission, now, now_ms))

    def _handle_disconnect(
        self, disconnected: submission_lib.CallerDisconnected
    ) -> None:
        self._replies.pop(disconnected.caller, None)
        now = clock_lib.read_monotonic()
        self._apply(
            self._coordinator.remove_caller(
                disconnected.job, disconnected.caller, now
            )
        )
        job = self._coordinator.jobs.get(disconnected.job)
        self._journal.record_disconnect(
            disconnected.job, bool(job and job.is_awaited), now
        )

    def _handle_received(self, event: event_lib.Received) -> None:
        sender = claiming.MemberRef(*event.peer)
        receiver = self._receivers.get(
            type(event.message), self._pass_to_coordinator
        )
        receiver(sender, event.message)

    def _pass_to_coordinator(
        self, sender: claiming.MemberRef, message: t.NamedTuple
    ) -> None:
        now = clock_lib.read_monotonic()
        self._apply(self._coordinator.handle(sender, message, now))

    def _handle_decided(
        self, keeper: claiming.MemberRef, decided: claiming.Decided
    ) -> None:
        now = clock_lib.read_monotonic()
        self._journal.record_claim(self._ref, decided.claim, now)
        self._pass_to_coordinator(keeper, decided)

    def _handle_answer(
        self, agent: claiming.MemberRef, answer: dispatching.Answer
    ) -> None:
        now = clock_lib.read_monotonic()
        self._journal.record_answer(agent, answer, now)
        self._dispatcher.on_answer(agent.name, answer, now)
        self._pass_to_coordinator(agent, answer)

    def _handle_refusal(
        self, agent: claiming.MemberRef, refusal: dispatching.Refusal
    ) -> None:
        now = clock_lib.read_monotonic()
        self._journal.record_failure(
            agent, refusal.attempt, refusal.failure, now
        )
        self._pass_to_coordinator(agent, refusal)
        decision = self._dispatcher.on_refusal(agent.name, refusal, now)
        self._fail_exhausted_job(refusal.attempt.job, decision)

    def _handle_attempt_failure(
        self, agent: claiming.MemberRef, failed: dispatching.AttemptFailure
    ) -> None:
        now = clock_lib.read_monotonic()
        self._journal.record_failure(agent, failed.attempt, failed.failure, now)
        self._pass_to_coordinator(agent, failed)
        decision = self._dispatcher.on_attempt_failure(agent.name, failed, now)
        self._fail_exhausted_job(failed.attempt.job, decision)

    def _handle_revoked(
        self, agent: claiming.MemberRef, revoked: dispatching.Revoked
    ) -> None:
        now = clock_lib.read_monotonic()
        self._dispatcher.on_revoked(agent.name, revoked, now)
        self._pass_to_coordinator(agent, revoked)

    def _fail_exhausted_job(self, job: str, decision: t.Any) -> None:
        if not isinstance(decision, failure_lib.Failure):
            return
        if decision.cause is cause_lib.Cause.NO_ATTEMPT_LEFT:
            now = clock_lib.read_monotonic()
            self._apply(self._coordinator.fail_job(job, decision, now))

    def _handle_lost_session(self, lost: event_lib.Lost) -> None:
        member = self._network.find_member(lost.peer.name)
        if member is None or member.incarnation != lost.peer.incarnation:
            return
        self._network.connect(member)
        ref = claiming.MemberRef(*lost.peer)
        now = clock_lib.read_monotonic()
        self._apply(self._coordinator.resend_dispatches(ref, now))

    def _handle_directory_changes(
        self, changed: mailbox_lib.DirectoryChanged
    ) -> None:
        now = clock_lib.read_monotonic()
        self._reporting.events.take_changes(changed.changes, self._network)
        self._apply(self._membership.apply_changes(changed.changes, now))

    def _handle_tick(self, _: mailbox_lib.Tick) -> None:
        if self._subscription.is_fenced():
            raise mailbox_lib.FencedError(self._ref.name)
        now = clock_lib.read_monotonic()
        now_ms = clock_lib.read_wall_ms()
        self._apply(self._coordinator.tick(now, now_ms))
        self._journal.event_requests.tick(now)
        self._reporting.report(now, self._subscription)

    def _handle_wake(self, _: mailbox_lib.Wake) -> None:
        """Does nothing: `run` places waiting tasks after every batch."""

    def _apply(self, effects: _Effects) -> None:
        for effect in effects:
            if isinstance(effect, effects_lib.SendTo):
                self._network.send(effect.member, effect.message)
            elif isinstance(effect, effects_lib.Ready):
                now = clock_lib.read_monotonic()
                self._apply(self._task_placer.queue_tasks(effect, now))
            elif isinstance(effect, effects_lib.Withdrawn):
                self._dispatcher.remove_job(effect.job)
            elif isinstance(effect, effects_lib.Finished):
                self._finish(effect)

    def _finish(self, finished: effects_lib.Finished) -> None:
        if finished.job not in self._coordinator.jobs:
            self._dispatcher.remove_job(finished.job)
            now = clock_lib.read_monotonic()
            self._journal.record_outcome(finished.job, finished.outcome, now)
        reply = self._replies.pop(finished.caller, None)
        if reply is not None and not reply.done():
            reply.set_result(finished.outcome)

    def _place(self) -> None:
        now = clock_lib.read_monotonic()
        self._apply(self._task_placer.place(now))
        self._waker.set(self._dispatcher.next_wakeup(now), now)
