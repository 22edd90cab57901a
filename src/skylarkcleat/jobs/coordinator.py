"""Runs the jobs of one entry from submission to outcome."""

from __future__ import annotations

import typing as t

from skylarkcleat.jobs import claim_store
from skylarkcleat.jobs import completion
from skylarkcleat.jobs import context
from skylarkcleat.jobs import deadline
from skylarkcleat.jobs import effects
from skylarkcleat.jobs import execution
from skylarkcleat.jobs import handlers
from skylarkcleat.jobs import job as job_lib
from skylarkcleat.jobs import job_table
from skylarkcleat.jobs import outcome_cache
from skylarkcleat.jobs import ownership
from skylarkcleat.jobs import retention
from skylarkcleat.jobs import submission as submission_lib
from skylarkcleat.jobs import takeover
from skylarkcleat.model import cause as cause_lib
from skylarkcleat.model import failure as failure_lib
from skylarkcleat.protocol import claiming
from skylarkcleat.protocol import dispatching

_Phase = job_lib.Phase
_Effects = list[effects.Effect]


class Coordinator:
    """The job protocol at one entry incarnation, without input or output.

    Calls get the time as an argument, in seconds of the monotonic clock, and
    return the actions that the daemon is to carry out, in order.

    Attributes:
        ref: The entry's incarnation.
        jobs: Jobs that have not ended, by identifier.
        outcomes: Kept outcomes of jobs that have ended.
    """

    def __init__(
        self,
        ref: claiming.MemberRef,
        address: str,
        claims: claim_store.ClaimStore,
        timeouts: context.Timeouts = context.Timeouts(),
        max_bytes: int = outcome_cache.DEFAULT_MAX_BYTES,
    ):
        """Creates a coordinator without jobs.

        Args:
            ref: The entry's incarnation.
            address: The entry's address.
            claims: The store that has claims decided.
            timeouts: The timeouts and retry intervals.
            max_bytes: The size of the outcomes to keep, in bytes; the oldest
                are dropped beyond it.
        """
        self.ref = ref
        self._ctx = context.Context(ref, address, claims, timeouts)
        self._table = job_table.JobTable(self._ctx, max_bytes)
        self.jobs = self._table.live
        self.outcomes = self._table.outcomes
        self._nonce = 0

    def submit(
        self, submission: submission_lib.Submission, now: float, now_ms: int
    ) -> _Effects:
        """Handles a submission, whether or not its job is known.

        Its caller gets exactly one `Finished`. `now_ms` is the wall clock, in
        milliseconds since the Unix epoch.
        """
        self._ctx.now = now
        failure = retention.check_age(
            submission.job, now_ms, "submit", self.ref.name
        )
        if failure is not None:
            return self._answer(submission, failure)
        kept = self.outcomes.get(submission.job)
        if kept is not None:
            return self._answer_kept(submission, kept)
        job = self.jobs.get(submission.job)
        if job is None:
            self._create_job(submission)
        elif job.digest != submission.digest:
            conflict = ownership.create_conflict(
                self._ctx, job.id, is_decided=job.known_epoch > 0
            )
            return self._answer(submission, conflict)
        else:
            self._add_caller(job, submission)
        return self._ctx.pop_effects()

    def place(
        self, job: str, task: int, agent: claiming.MemberRef, now: float
    ) -> dispatching.Dispatch | failure_lib.Failure:
        """Returns the message that sends a ready task to an agent.

        Args:
            job: The job identifier.
            task: A task that a `Ready` named and that has not been placed
                since.
            agent: An agent of the cohort of that `Ready`.
            now: The monotonic clock, in seconds.

        Returns:
            The message to send now, or why the task cannot be sent to the
            agent.
        """
        self._ctx.now = now
        record = self.jobs.get(job)
        if record is None:
            return self._ctx.create_failure(
                failure_lib.Outcome.UNKNOWN,
                cause_lib.Cause.CANCELLED,
                "place",
                f"job {job} has ended",
            )
        return execution.place(self._ctx, record, task, agent)

    def fail_job(
        self, job: str, failure: failure_lib.Failure, now: float
    ) -> _Effects:
        """Fails a running job whose tasks cannot be placed."""
        record = self._find_running(job, now)
        if record is not None:
            completion.fail(self._ctx, record, failure)
            self._table.update(record)
        return self._ctx.pop_effects()

    def widen_cohort(
        self, job: str, cohort: tuple[claiming.MemberRef, ...], now: float
    ) -> _Effects:
        """Proposes more agents for a job; its tasks become `Ready` again."""
        record = self._find_running(job, now)
        if record is not None:
            ownership.widen_cohort(self._ctx, record, cohort)
            self._table.update(record)
        return self._ctx.pop_effects()

    def remove_caller(self, job: str, caller: str, now: float) -> _Effects:
        """Removes a caller that disconnected.

        Once nobody waits for the job, its tasks that have not started are
        revoked. A later submission of the job resumes it.
        """
        self._ctx.now = now
        record = self.jobs.get(job)
        if record is None or record.callers.pop(caller, None) is None:
            return []
        if record.phase is _Phase.RUNNING and not record.is_awaited:
            completion.revoke(self._ctx, record)
        self._table.update(record)
        return self._ctx.pop_effects()

    def handle(
        self, sender: claiming.MemberRef, message: t.NamedTuple, now: float
    ) -> _Effects:
        """Handles a message from a keeper, an agent or another entry.

        Args:
            sender: The incarnation that sent it.
            message: One of the protocol's messages to an entry.
            now: The monotonic clock, in seconds.
        """
        self._ctx.now = now
        if isinstance(message, claiming.Join):
            self._join(sender, message)
            return self._ctx.pop_effects()
        job = self.jobs.get(handlers.find_job(message))
        if job is not None:
            handlers.handle(self._ctx, job, sender, message)
            self._table.update(job)
        return self._ctx.pop_effects()

    def add_member(self, member: claiming.MemberRef) -> None:
        """Records that a member is up."""
        self._ctx.members.add(member)

    def remove_member(self, member: claiming.MemberRef, now: float) -> _Effects:
        """Records that a member's incarnation has departed permanently."""
        self._ctx.now = now
        self._ctx.members.remove(member)
        for job in tuple(self.jobs.values()):
            job.joiners.pop(member, None)
            takeover.handle_agent_loss(self._ctx, job, member)
            if job.phase is not _Phase.ENDED:
                execution.handle_agent_loss(self._ctx, job, member)
                ownership.check_owner(self._ctx, job)
            self._table.update(job)
        return self._ctx.pop_effects()

    def resend_claims(self, now: float) -> _Effects:
        """Proposes the pending claims again after the keepers have changed."""
        self._ctx.now = now
        for job in self.jobs.values():
            if job.proposal is not None:
                job.retry_at = 0.0
                ownership.resend(self._ctx, job)
        return self._ctx.pop_effects()

    def resend_dispatches(
        self, agent: claiming.MemberRef, now: float
    ) -> _Effects:
        """Resends the dispatches that a lost connection may have dropped."""
        self._ctx.now = now
        for job in self.jobs.values():
            if job.phase is _Phase.RUNNING:
                execution.resend(self._ctx, job, agent)
        return self._ctx.pop_effects()

    def tick(self, now: float, now_ms: int) -> _Effects:
        """Retries messages and ends expired waits; call about every 50 ms."""
        self._ctx.now = now
        self.outcomes.expire(now_ms)
        for job in self._table.pop_due():
            ownership.tick(self._ctx, job)
            takeover.tick(self._ctx, job)
            completion.tick(self._ctx, job)
            deadline.tick(self._ctx, job)
            self._table.update(job)
        return self._ctx.pop_effects()

    def _find_running(self, job: str, now: float) -> job_lib.Job | None:
        self._ctx.now = now
        record = self.jobs.get(job)
        is_running = record is not None and record.phase is _Phase.RUNNING
        return record if is_running else None

    def _answer(
        self,
        submission: submission_lib.Submission,
        outcome: claiming.Answers | failure_lib.Failure,
    ) -> _Effects:
        return [effects.Finished(submission.caller, submission.job, outcome)]

    def _answer_kept(
        self,
        submission: submission_lib.Submission,
        kept: outcome_cache.KeptOutcome,
    ) -> _Effects:
        if kept.digest == submission.digest:
            return self._answer(submission, kept.outcome)
        conflict = ownership.create_conflict(
            self._ctx, submission.job, is_decided=True
        )
        return self._answer(submission, conflict)

    def _create_job(self, submission: submission_lib.Submission) -> None:
        self._nonce += 1
        job = job_lib.Job(submission, self._nonce)
        job.callers[submission.caller] = submission.deadline_at
        ownership.begin(self._ctx, job)
        self._table.update(job)

    def _add_caller(
        self, job: job_lib.Job, submission: submission_lib.Submission
    ) -> None:
        was_awaited = job.is_awaited
        job.callers[submission.caller] = submission.deadline_at
        job.deadline_at = max(job.deadline_at, submission.deadline_at)
        if not was_awaited:
            job.submission = submission
            self._resume(job)
        self._table.update(job)

    def _resume(self, job: job_lib.Job) -> None:
        if job.phase is not _Phase.RUNNING:
            return
        execution.resend(self._ctx, job)
        job.enter(_Phase.CLAIMING, self._ctx.now + self._ctx.timeouts.claim)
        ownership.widen_cohort(self._ctx, job, job.submission.cohort)

    def _join(self, sender: claiming.MemberRef, message: claiming.Join) -> None:
        job = self.jobs.get(message.job)
        kept = self.outcomes.get(message.job)
        if kept is not None:
            reply = context.create_join_reply(
                message.job, message.nonce, kept.outcome
            )
        elif job is not None and job.nonce == message.nonce:
            self._add_joiner(job, sender, message)
            reply = claiming.JoinPending(message.job, message.nonce)
        else:
            reply = claiming.JoinUnknown(
                message.job, message.epoch, message.nonce
            )
        self._ctx.send(sender, reply)

    def _add_joiner(
        self,
        job: job_lib.Job,
        joiner: claiming.MemberRef,
        message: claiming.Join,
    ) -> None:
        was_awaited = job.is_awaited
        job.joiners[joiner] = None
        until = self._ctx.now + message.budget_ms / 1000
        job.deadline_at = max(job.deadline_at, until)
        if not was_awaited:
            self._resume(job)
        self._table.update(job)
