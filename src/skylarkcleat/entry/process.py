"""The entry's task: owns its jobs and its conversations."""

from __future__ import annotations

import asyncio
import typing as t

from skylarkcleat import clock as clock_lib
from skylarkcleat import mailbox as mailbox_lib
from skylarkcleat import network as network_lib
from skylarkcleat import reporting as reporting_lib
from skylarkcleat.directory import subscription as subscription_lib
from skylarkcleat.dispatch import dispatcher as dispatcher_lib
from skylarkcleat.entry import gate as gate_lib
from skylarkcleat.entry import journal as journal_lib
from skylarkcleat.entry import membership as membership_lib
from skylarkcleat.entry import placing as placing_lib
from skylarkcleat.entry import submission as submission_lib
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
    """Moves messages between callers, the job protocol and the dispatcher."""

    def __init__(
        self,
        member: member_lib.Member,
        mailbox: asyncio.Queue,
        network: network_lib.Network,
        subscription: subscription_lib.Subscription,
        coordinator: coordinator_lib.Coordinator,
        membership: membership_lib.Membership,
        dispatcher: dispatcher_lib.Dispatcher,
        gate: gate_lib.Gate,
        journal: journal_lib.EntryJournal,
        reporting: reporting_lib.Reporting,
    ) -> None:
        """Initializes the entry.

        Args:
            member: How the entry announces itself.
            mailbox: What arrives for the entry.
            network: Sends to other members.
            subscription: An open subscription whose changes go to `mailbox`.
            coordinator: The jobs, without any.
            membership: Follows members and keeper shards.
            dispatcher: The placement of tasks, without agents.
            gate: Decides what is let in.
            journal: Records what happens to jobs.
            reporting: Tells control of it.
        """
        self._ref = claiming.MemberRef(member.name, member.incarnation)
        self._mailbox = mailbox
        self._network = network
        self._subscription = subscription
        self._coordinator = coordinator
        self._membership = membership
        self._dispatcher = dispatcher
        self._gate = gate
        self._journal = journal
        self._reporting = reporting
        self._placing = placing_lib.Placing(
            network, subscription, coordinator, dispatcher, gate, journal
        )
        self._waker = mailbox_lib.Waker(mailbox)
        self._replies: dict[str, asyncio.Future[submission_lib.Outcome]] = {}
        self._handlers: dict[type, t.Callable[[t.Any], None]] = {
            submission_lib.Submit: self._submit,
            submission_lib.HangUp: self._hang_up,
            event_lib.Received: self._receive,
            event_lib.Lost: self._lose_session,
            mailbox_lib.DirectoryChanged: self._take_changes,
            mailbox_lib.Tick: self._tick,
            mailbox_lib.Wake: self._wake,
        }
        self._receivers: dict[type, t.Callable[..., None]] = {
            dispatching.Answer: self._take_answer,
            dispatching.Refusal: self._take_refusal,
            dispatching.AttemptFailure: self._take_breakdown,
            dispatching.Revoked: self._take_revoked,
            claiming.Decided: self._take_decided,
            **reporting.list_handlers(),
            **journal.evidence.list_handlers(),
        }

    @property
    def agent_count(self) -> int:
        """How many agents are up, as far as the entry knows."""
        members = self._network.list_members()
        return sum(each.role is member_lib.Role.AGENT for each in members)

    @property
    def job_count(self) -> int:
        """How many jobs have not ended."""
        return len(self._coordinator.jobs)

    async def run(self) -> None:
        """Serves until it is cancelled."""
        while True:
            for message in await mailbox_lib.receive_batch(self._mailbox):
                self._handlers[type(message)](message)
            self._place()

    async def drain(self, grace_s: float) -> None:
        """Takes no new work, and waits for the end of every job.

        Args:
            grace_s: How long to wait, in seconds.
        """
        end = clock_lib.read_monotonic() + grace_s
        self._reporting.events.begin_drain()
        self._gate.close()
        self._subscription.leave()
        while self.job_count and clock_lib.read_monotonic() < end:
            await asyncio.sleep(_DRAIN_POLL_S)
        self._reporting.events.end_drain()
        await self._network.wait_delivered()

    def _submit(self, submit: submission_lib.Submit) -> None:
        now = clock_lib.read_monotonic()
        submission = self._gate.create_submission(submit, self.job_count, now)
        if submission.refusal is not None and submit.is_new:
            self._journal.refuse(submission, now)
            submit.reply.set_result(submission.refusal)
            return
        slots = self._network.count_slots(submission.cohort)
        self._journal.accept(submission, slots, now)
        self._replies[submit.caller] = submit.reply
        now_ms = clock_lib.read_wall_ms()
        self._apply(self._coordinator.submit(submission, now, now_ms))

    def _hang_up(self, hang_up: submission_lib.HangUp) -> None:
        self._replies.pop(hang_up.caller, None)
        now = clock_lib.read_monotonic()
        self._apply(
            self._coordinator.remove_caller(hang_up.job, hang_up.caller, now)
        )
        job = self._coordinator.jobs.get(hang_up.job)
        self._journal.hang_up(hang_up.job, bool(job and job.is_awaited), now)

    def _receive(self, event: event_lib.Received) -> None:
        sender = claiming.MemberRef(*event.peer)
        receiver = self._receivers.get(type(event.message), self._hand_over)
        receiver(sender, event.message)

    def _hand_over(
        self, sender: claiming.MemberRef, message: t.NamedTuple
    ) -> None:
        now = clock_lib.read_monotonic()
        self._apply(self._coordinator.handle(sender, message, now))

    def _take_decided(
        self, keeper: claiming.MemberRef, decided: claiming.Decided
    ) -> None:
        now = clock_lib.read_monotonic()
        self._journal.take_claim(self._ref, decided.claim, now)
        self._hand_over(keeper, decided)

    def _take_answer(
        self, agent: claiming.MemberRef, answer: dispatching.Answer
    ) -> None:
        now = clock_lib.read_monotonic()
        self._journal.take_answer(agent, answer, now)
        self._dispatcher.on_answer(agent.name, answer, now)
        self._hand_over(agent, answer)

    def _take_refusal(
        self, agent: claiming.MemberRef, refusal: dispatching.Refusal
    ) -> None:
        now = clock_lib.read_monotonic()
        self._journal.take_failure(agent, refusal.attempt, refusal.failure, now)
        self._hand_over(agent, refusal)
        decision = self._dispatcher.on_refusal(agent.name, refusal, now)
        self._take_decision(refusal.attempt.job, decision)

    def _take_breakdown(
        self, agent: claiming.MemberRef, breakdown: dispatching.AttemptFailure
    ) -> None:
        now = clock_lib.read_monotonic()
        self._journal.take_failure(
            agent, breakdown.attempt, breakdown.failure, now
        )
        self._hand_over(agent, breakdown)
        decision = self._dispatcher.on_attempt_failure(
            agent.name, breakdown, now
        )
        self._take_decision(breakdown.attempt.job, decision)

    def _take_revoked(
        self, agent: claiming.MemberRef, revoked: dispatching.Revoked
    ) -> None:
        now = clock_lib.read_monotonic()
        self._dispatcher.on_revoked(agent.name, revoked, now)
        self._hand_over(agent, revoked)

    def _take_decision(self, job: str, decision: t.Any) -> None:
        if not isinstance(decision, failure_lib.Failure):
            return
        if decision.cause is cause_lib.Cause.NO_ATTEMPT_LEFT:
            now = clock_lib.read_monotonic()
            self._apply(self._coordinator.fail_job(job, decision, now))

    def _lose_session(self, lost: event_lib.Lost) -> None:
        member = self._network.find_member(lost.peer.name)
        if member is None or member.incarnation != lost.peer.incarnation:
            return
        self._network.connect(member)
        ref = claiming.MemberRef(*lost.peer)
        now = clock_lib.read_monotonic()
        self._apply(self._coordinator.resend_dispatches(ref, now))

    def _take_changes(self, changed: mailbox_lib.DirectoryChanged) -> None:
        now = clock_lib.read_monotonic()
        self._reporting.events.take_changes(changed.changes, self._network)
        self._apply(self._membership.take_changes(changed.changes, now))

    def _tick(self, _: mailbox_lib.Tick) -> None:
        if self._subscription.is_fenced():
            raise mailbox_lib.FencedError(self._ref.name)
        now = clock_lib.read_monotonic()
        now_ms = clock_lib.read_wall_ms()
        self._apply(self._coordinator.tick(now, now_ms))
        self._journal.evidence.tick(now)
        self._reporting.report(now, self._subscription)

    def _wake(self, _: mailbox_lib.Wake) -> None:
        """Does nothing more than to let waiting tasks be placed."""

    def _apply(self, effects: _Effects) -> None:
        for effect in effects:
            if isinstance(effect, effects_lib.SendTo):
                self._network.send(effect.member, effect.message)
            elif isinstance(effect, effects_lib.Ready):
                now = clock_lib.read_monotonic()
                self._apply(self._placing.make_ready(effect, now))
            elif isinstance(effect, effects_lib.Withdrawn):
                self._dispatcher.remove_job(effect.job)
            elif isinstance(effect, effects_lib.Finished):
                self._finish(effect)

    def _finish(self, finished: effects_lib.Finished) -> None:
        if finished.job not in self._coordinator.jobs:
            self._dispatcher.remove_job(finished.job)
            now = clock_lib.read_monotonic()
            self._journal.finish(finished.job, finished.outcome, now)
        reply = self._replies.pop(finished.caller, None)
        if reply is not None and not reply.done():
            reply.set_result(finished.outcome)

    def _place(self) -> None:
        now = clock_lib.read_monotonic()
        self._apply(self._placing.place(now))
        self._waker.set(self._dispatcher.next_wakeup(now), now)
