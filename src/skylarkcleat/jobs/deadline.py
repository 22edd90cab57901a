"""Ends jobs and callers whose deadline has passed."""

from __future__ import annotations

from skylarkcleat.jobs import completion
from skylarkcleat.jobs import context
from skylarkcleat.jobs import effects
from skylarkcleat.jobs import job as job_lib
from skylarkcleat.model import cause as cause_lib
from skylarkcleat.model import failure as failure_lib

_Phase = job_lib.Phase
_Cause = cause_lib.Cause
_CAUSES = {
    _Phase.CLAIMING: _Cause.CLAIM_UNAVAILABLE,
    _Phase.CLOSING: _Cause.CLAIM_UNAVAILABLE,
    _Phase.JOINING: _Cause.ENTRY_LOST,
}


def tick(ctx: context.Context, job: job_lib.Job) -> None:
    """Ends a job, or single callers of it, whose deadline has passed."""
    if job.phase is _Phase.ENDED:
        return
    grace = ctx.timeouts.grace
    if ctx.now < job.deadline_at:
        _expire_callers(ctx, job)
    elif not job.is_awaited:
        job.phase = _Phase.ENDED
    elif job.phase is _Phase.RUNNING:
        completion.fail(ctx, job, _create_timeout_failure(ctx, job))
    elif ctx.now >= job.deadline_at + grace:
        failure = _create_timeout_failure(ctx, job)
        ctx.finish(
            job,
            failure._replace(outcome=failure_lib.Outcome.UNKNOWN),
            False,
        )


def find_wake_time(ctx: context.Context, job: job_lib.Job) -> float:
    """Returns when a job needs its next `tick` if no message arrives."""
    grace = ctx.timeouts.grace
    is_running = job.phase is _Phase.RUNNING
    ends_early = is_running or not job.is_awaited
    at = job.deadline_at if ends_early else job.deadline_at + grace
    if not is_running:
        at = min(at, job.phase_until, job.retry_at)
    elif job.proposal is not None or job.fence_reports:
        at = min(at, job.retry_at)
    if job.callers:
        at = min(at, min(job.callers.values()) + grace)
    return at


def _expire_callers(ctx: context.Context, job: job_lib.Job) -> None:
    limit = ctx.now - ctx.timeouts.grace
    late = [caller for caller, at in job.callers.items() if at <= limit]
    for caller in late:
        del job.callers[caller]
        failure = _create_timeout_failure(ctx, job)
        outcome = failure._replace(outcome=failure_lib.Outcome.UNKNOWN)
        ctx.effects.append(effects.Finished(caller, job.id, outcome))


def _create_timeout_failure(
    ctx: context.Context, job: job_lib.Job
) -> failure_lib.Failure:
    return ctx.create_failure(
        failure_lib.Outcome.FAILED,
        _CAUSES.get(job.phase, _Cause.DEADLINE_PASSED),
        job.phase.value,
        f"job {job.id} had no outcome by its deadline",
    )
