"""Dispatches each message about a job to the function that handles it."""

from __future__ import annotations

import typing as t

from skylarkcleat.jobs import completion
from skylarkcleat.jobs import context
from skylarkcleat.jobs import execution
from skylarkcleat.jobs import job as job_lib
from skylarkcleat.jobs import ownership
from skylarkcleat.jobs import takeover
from skylarkcleat.protocol import claiming
from skylarkcleat.protocol import dispatching
from skylarkcleat.protocol import fencing

_Phase = job_lib.Phase
_TASK_MESSAGES = (
    dispatching.Answer,
    dispatching.Refusal,
    dispatching.AttemptFailure,
    dispatching.Revoked,
    fencing.FenceReport,
)


def find_job(message: t.NamedTuple) -> str:
    """Returns the identifier of the job that a message is about."""
    if isinstance(message, claiming.Decided):
        return message.claim.job
    attempt = getattr(message, "attempt", None)
    return attempt.job if attempt is not None else getattr(message, "job", "")


def handle(
    ctx: context.Context,
    job: job_lib.Job,
    sender: claiming.MemberRef,
    message: t.NamedTuple,
) -> None:
    """Handles a message about a job; ignores messages of other types.

    Args:
        ctx: The entry.
        job: The job.
        sender: The incarnation that sent the message.
        message: The message.
    """
    if isinstance(message, _TASK_MESSAGES) and not job.known_epoch:
        # Replies to an earlier record of the job, whose body may differ.
        return
    if isinstance(message, dispatching.Revoked):
        execution.handle_revoked(ctx, job, sender, message)
        return
    handler = _HANDLERS.get(type(message))
    if handler is not None:
        handler(ctx, job, message)


def _handle_decided(
    ctx: context.Context, job: job_lib.Job, message: claiming.Decided
) -> None:
    if not ownership.record_decided_claim(ctx, job, message.claim):
        return
    if message.claim.closed is not None:
        completion.finish_closed(ctx, job)
    elif job.previous_claim is not None:
        takeover.begin(ctx, job)
    elif job.phase is _Phase.CLOSING:
        completion.close(ctx, job)
    elif job.phase in (_Phase.CLAIMING, _Phase.RUNNING):
        execution.run_remaining(ctx, job)


def _handle_join_pending(
    ctx: context.Context, job: job_lib.Job, message: claiming.JoinPending
) -> None:
    if job.phase is _Phase.JOINING and message.nonce == job.joined_claim.nonce:
        job.last_seen_at = ctx.now


def _handle_join_answers(
    ctx: context.Context, job: job_lib.Job, message: claiming.JoinAnswers
) -> None:
    if job.phase is _Phase.JOINING:
        ctx.finish(job, claiming.Answers(message.bodies), True)


def _handle_join_failure(
    ctx: context.Context, job: job_lib.Job, message: claiming.JoinFailure
) -> None:
    if job.phase is _Phase.JOINING:
        ctx.finish(job, message.failure, True)


_HANDLERS: dict[type, t.Callable] = {
    claiming.Decided: _handle_decided,
    claiming.ProposalRefused: ownership.handle_proposal_refused,
    claiming.JoinPending: _handle_join_pending,
    claiming.JoinUnknown: ownership.handle_join_unknown,
    claiming.JoinAnswers: _handle_join_answers,
    claiming.JoinFailure: _handle_join_failure,
    dispatching.Answer: execution.handle_answer,
    dispatching.Refusal: execution.handle_refusal,
    dispatching.AttemptFailure: execution.handle_attempt_failure,
    fencing.FenceReport: takeover.handle_fence_report,
}
