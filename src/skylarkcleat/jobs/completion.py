"""Ends an owned job with its answers or with a failure.

A failure is reported as `NOT_RUN` only once no task has started or can start.
"""

from __future__ import annotations

import collections

from skylarkcleat.jobs import context
from skylarkcleat.jobs import effects
from skylarkcleat.jobs import job as job_lib
from skylarkcleat.jobs import ownership
from skylarkcleat.model import failure as failure_lib
from skylarkcleat.protocol import claiming
from skylarkcleat.protocol import dispatching

_Phase = job_lib.Phase
_State = job_lib.SlotState
_Outcome = failure_lib.Outcome


def revoke(ctx: context.Context, job: job_lib.Job) -> None:
    """Sends revocations of the tasks that have not started."""
    ctx.effects.append(effects.Withdrawn(job.id))
    for slot in job.slots:
        if slot.state is _State.READY:
            slot.state = _State.UNSENT
    _send_revokes(ctx, job)


def _send_revokes(ctx: context.Context, job: job_lib.Job) -> None:
    job.retry_at = ctx.now + ctx.timeouts.revoke_retry
    sent = collections.defaultdict(list)
    for task, slot in enumerate(job.slots):
        if slot.state is _State.SENT and not slot.is_held:
            sent[slot.agent].append(task)
    for agent, tasks in sent.items():
        ctx.send(
            agent, dispatching.Revoke(job.id, job.claim.epoch, tuple(tasks))
        )


def fail(
    ctx: context.Context, job: job_lib.Job, failure: failure_lib.Failure
) -> None:
    """Starts to end a job with a failure, once it is known what started."""
    job.failure = failure
    job.enter(_Phase.REVOKING, ctx.now + ctx.timeouts.revoke)
    revoke(ctx, job)
    try_finish(ctx, job)


def try_finish(ctx: context.Context, job: job_lib.Job) -> None:
    """Ends a failing job if it is known whether any task has started."""
    if job.is_answered():
        finish_answered(ctx, job)
    elif job.has_started:
        ctx.finish(job, _exclude_outcome(job.failure, _Outcome.NOT_RUN), True)
    elif any(slot.state is _State.SENT for slot in job.slots):
        if ctx.now >= job.phase_until:
            failure = job.failure._replace(outcome=_Outcome.UNKNOWN)
            ctx.finish(job, failure, True)
    else:
        close(ctx, job)


def tick(ctx: context.Context, job: job_lib.Job) -> None:
    """Resends revocations without a reply, and ends the wait at its timeout."""
    if job.phase is not _Phase.REVOKING:
        return
    if ctx.now >= job.phase_until:
        try_finish(ctx, job)
    elif ctx.now >= job.retry_at:
        _send_revokes(ctx, job)


def close(ctx: context.Context, job: job_lib.Job) -> None:
    """Proposes a closed claim, after which no task of the job can start."""
    job.enter(_Phase.CLOSING, ctx.now + ctx.timeouts.claim)
    epoch = job.known_epoch + 1
    ownership.propose(ctx, job, epoch, job.claim.cohort, job.failure.cause)


def finish_closed(ctx: context.Context, job: job_lib.Job) -> None:
    """Ends a job with `NOT_RUN` after its closed claim was decided."""
    ctx.finish(job, job.failure._replace(outcome=_Outcome.NOT_RUN), True)


def finish_answered(ctx: context.Context, job: job_lib.Job) -> None:
    """Ends a job whose tasks are all answered with its answers."""
    bodies = tuple(slot.body for slot in job.slots)
    ctx.finish(job, claiming.Answers(bodies), True)


def _exclude_outcome(
    failure: failure_lib.Failure, outcome: failure_lib.Outcome
) -> failure_lib.Failure:
    if failure.outcome is outcome:
        return failure._replace(outcome=_Outcome.FAILED)
    return failure
