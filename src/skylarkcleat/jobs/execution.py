"""Sends the tasks of an owned job to agents and handles their replies."""

from __future__ import annotations

import typing as t

from skylarkcleat.jobs import completion
from skylarkcleat.jobs import context
from skylarkcleat.jobs import effects
from skylarkcleat.jobs import job as job_lib
from skylarkcleat.jobs import ledger
from skylarkcleat.jobs import ownership
from skylarkcleat.model import cause as cause_lib
from skylarkcleat.model import failure as failure_lib
from skylarkcleat.protocol import claiming
from skylarkcleat.protocol import dispatching

_Phase = job_lib.Phase
_State = job_lib.SlotState
_Outcome = failure_lib.Outcome
_Cause = cause_lib.Cause
_FINAL_CAUSES = frozenset(
    (
        _Cause.BAD_REQUEST,
        _Cause.UNKNOWN_PROFILE,
        _Cause.DEADLINE_TOO_SHORT,
        _Cause.DEADLINE_PASSED,
    )
)


def run_remaining(ctx: context.Context, job: job_lib.Job) -> None:
    """Runs the tasks of an owned job that have not started."""
    job.enter(_Phase.RUNNING, job.deadline_at)
    job.retry_at = ctx.now + ctx.timeouts.held_answer_retry
    for slot in job.slots:
        if slot.state is _State.READY:
            slot.state = _State.UNSENT
    if job.is_answered():
        completion.finish_answered(ctx, job)
    elif job.submission.refusal is not None and not job.has_started:
        completion.fail(ctx, job, job.submission.refusal)
    else:
        failure = _reset_broken(job)
        if failure is None:
            request_placement(ctx, job)
        else:
            completion.fail(ctx, job, failure)


def request_placement(
    ctx: context.Context,
    job: job_lib.Job,
    candidates: t.Iterable[int] | None = None,
) -> None:
    """Requests agents for the tasks that may be sent.

    Args:
        ctx: The entry.
        job: The job.
        candidates: The tasks to consider; all if None.
    """
    if job.phase is not _Phase.RUNNING or not job.is_awaited:
        return
    if candidates is None:
        candidates = range(len(job.slots))
    tasks = tuple(
        task for task in candidates if job.slots[task].state is _State.UNSENT
    )
    if not tasks:
        return
    for task in tasks:
        job.slots[task].state = _State.READY
    ctx.effects.append(
        effects.Ready(
            job.id,
            tasks,
            job.claim.epoch,
            job.claim.cohort,
            job.claim.profile,
        )
    )


def place(
    ctx: context.Context,
    job: job_lib.Job,
    task: int,
    agent: claiming.MemberRef,
) -> dispatching.Dispatch | failure_lib.Failure:
    """Returns the dispatch of a task to an agent, or why it is not sent."""
    slot = job.slots[task]
    if job.phase is not _Phase.RUNNING or slot.state is not _State.READY:
        return ctx.create_failure(
            _Outcome.UNKNOWN,
            _Cause.CANCELLED,
            "place",
            f"task {task} of job {job.id} is not ready to be placed",
        )
    if agent not in job.claim.cohort:
        return ctx.create_failure(
            _Outcome.NOT_RUN,
            _Cause.NO_UPSTREAM,
            "place",
            f"agent {agent.name} is not in the cohort of job {job.id}",
        )
    slot.number += 1
    attempt = dispatching.Attempt(job.id, task, job.claim.epoch, slot.number)
    slot.record_sent(attempt, agent)
    return create_dispatch(ctx, job, slot)


def create_dispatch(
    ctx: context.Context, job: job_lib.Job, slot: job_lib.Slot
) -> dispatching.Dispatch:
    """Returns the dispatch of a slot in state `SENT`."""
    submission = job.submission
    return dispatching.Dispatch(
        slot.attempt,
        slot.agent.incarnation,
        submission.profile.name,
        submission.profile.version,
        max(0, round((job.deadline_at - ctx.now) * 1000)),
        submission.size_ms,
        submission.payloads[slot.attempt.task],
        submission.traceparent,
        job.is_repeatable,
    )


def resend(
    ctx: context.Context,
    job: job_lib.Job,
    agent: claiming.MemberRef | None = None,
) -> None:
    """Resends the dispatches without a reply, to one agent or to all."""
    for slot in job.slots:
        if slot.state is not _State.SENT or slot.is_held:
            continue
        if agent is None or slot.agent == agent:
            ctx.send(slot.agent, create_dispatch(ctx, job, slot))


def handle_answer(
    ctx: context.Context, job: job_lib.Job, answer: dispatching.Answer
) -> None:
    """Records a task's answer, and ends the job after the last one."""
    slot = job.slots[answer.attempt.task]
    if slot.state is _State.ANSWERED:
        return
    slot.record_answer(answer.body)
    job.answered += 1
    if job.is_answered():
        completion.finish_answered(ctx, job)
    elif job.phase is _Phase.REVOKING:
        completion.try_finish(ctx, job)


def handle_refusal(
    ctx: context.Context, job: job_lib.Job, refusal: dispatching.Refusal
) -> None:
    """Handles a refusal: the attempt has not started and never will."""
    slot = job.slots[refusal.attempt.task]
    if not slot.is_sent_as(refusal.attempt):
        return
    slot.reset()
    if job.phase is _Phase.REVOKING:
        completion.try_finish(ctx, job)
    elif job.phase is _Phase.RUNNING:
        if _is_fenced(refusal.failure):
            ownership.request_current_claim(ctx, job)
        else:
            _retry(ctx, job, slot, refusal.failure)


def handle_attempt_failure(
    ctx: context.Context,
    job: job_lib.Job,
    attempt_failure: dispatching.AttemptFailure,
) -> None:
    """Handles the failure of an attempt that started or may have started."""
    slot = job.slots[attempt_failure.attempt.task]
    if slot.is_sent_as(attempt_failure.attempt):
        fail_slot(ctx, job, slot, attempt_failure.failure)


def fail_slot(
    ctx: context.Context,
    job: job_lib.Job,
    slot: job_lib.Slot,
    failure: failure_lib.Failure,
) -> None:
    """Records a failed attempt; retries a repeatable task or fails the job."""
    slot.record_failure(failure)
    if job.phase is _Phase.REVOKING:
        if _is_late_by_failures(job):
            job.failure = failure
        completion.try_finish(ctx, job)
    elif job.phase is _Phase.RUNNING:
        if job.is_repeatable:
            _retry(ctx, job, slot, failure)
        else:
            completion.fail(ctx, job, failure)


def handle_revoked(
    ctx: context.Context,
    job: job_lib.Job,
    agent: claiming.MemberRef,
    revoked: dispatching.Revoked,
) -> None:
    """Handles the reply of an agent that dropped tasks before they started."""
    for task in revoked.tasks:
        slot = job.slots[task]
        if slot.state is not _State.SENT or slot.agent != agent:
            continue
        if slot.attempt.epoch <= revoked.epoch:
            slot.reset()
    if job.phase is _Phase.REVOKING:
        completion.try_finish(ctx, job)
    else:
        request_placement(ctx, job)


def handle_agent_loss(
    ctx: context.Context, job: job_lib.Job, agent: claiming.MemberRef
) -> None:
    """Records the failure of the tasks sent to a departed agent."""
    for slot in job.slots:
        if slot.state is _State.SENT and slot.agent == agent:
            fail_slot(ctx, job, slot, create_loss_failure(ctx, job, agent))


def create_loss_failure(
    ctx: context.Context, job: job_lib.Job, agent: claiming.MemberRef
) -> failure_lib.Failure:
    """Returns the failure of a task that may have started at a lost agent."""
    return ctx.create_failure(
        _Outcome.UNKNOWN,
        _Cause.AGENT_LOST,
        "run",
        f"agent {agent.name} has departed, is unresponsive or has forgotten "
        f"its records, and tasks of job {job.id} may have started there",
    )


def _is_late_by_failures(job: job_lib.Job) -> bool:
    """Returns whether a job missed its deadline by its failing tasks alone.

    The agent's wait for a runner ends with the job's deadline, so its report
    arrives just before or just after that. Where a task is known not to have
    started, the deadline stays the reason.
    """
    is_overdue = job.failure.cause is _Cause.DEADLINE_PASSED
    has_unsent = any(slot.state is _State.UNSENT for slot in job.slots)
    return is_overdue and not has_unsent


def _reset_broken(job: job_lib.Job) -> failure_lib.Failure | None:
    """Resets the failed tasks; returns a failure if they must not repeat."""
    for slot in job.slots:
        if slot.failure is None or slot.state is _State.ANSWERED:
            continue
        if not job.is_repeatable:
            return slot.failure
        slot.reset()
    return None


def _retry(
    ctx: context.Context,
    job: job_lib.Job,
    slot: job_lib.Slot,
    failure: failure_lib.Failure,
) -> None:
    if not job.is_awaited:
        slot.reset()
        return
    has_attempts = slot.number < job.submission.profile.max_attempts
    may_help = has_attempts and failure.cause not in _FINAL_CAUSES
    if may_help and ctx.now < job.deadline_at:
        slot.reset()
        request_placement(ctx, job, (slot.attempt.task,))
    else:
        completion.fail(ctx, job, failure)


def _is_fenced(failure: failure_lib.Failure) -> bool:
    return (
        failure.cause is _Cause.ENTRY_LOST and failure.step == ledger.FENCE_STEP
    )
