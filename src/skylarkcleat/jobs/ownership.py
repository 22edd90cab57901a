"""Claims the ownership of a job, or joins the entry that owns it."""

from __future__ import annotations

from skylarkcleat.jobs import context
from skylarkcleat.jobs import effects
from skylarkcleat.jobs import job as job_lib
from skylarkcleat.model import cause as cause_lib
from skylarkcleat.model import failure as failure_lib
from skylarkcleat.protocol import claiming

_Phase = job_lib.Phase
_Outcome = failure_lib.Outcome
_Cause = cause_lib.Cause
_OWNER_PHASES = (
    _Phase.FENCING,
    _Phase.RUNNING,
    _Phase.REVOKING,
    _Phase.CLOSING,
)


def begin(ctx: context.Context, job: job_lib.Job) -> None:
    """Proposes the first claim of a job."""
    refusal = job.submission.refusal
    job.failure = refusal
    job.enter(_Phase.CLAIMING, ctx.now + ctx.timeouts.claim)
    propose(
        ctx,
        job,
        1,
        job.submission.cohort if refusal is None else (),
        refusal.cause if refusal is not None else None,
    )


def propose(
    ctx: context.Context,
    job: job_lib.Job,
    epoch: int,
    cohort: tuple[claiming.MemberRef, ...],
    closed: cause_lib.Cause | None = None,
) -> None:
    """Proposes a claim of this entry.

    Args:
        ctx: The entry.
        job: The job.
        epoch: One more than the epoch of the claim that it follows.
        cohort: The agents that the entry may send tasks to.
        closed: Why the job ends without a start; None if it is to run.
    """
    job.proposal = claiming.Claim(
        job.id,
        epoch,
        job.digest,
        ctx.ref,
        ctx.address,
        job.nonce,
        cohort,
        len(job.slots),
        job.submission.profile.name,
        job.is_repeatable,
        closed,
    )
    job.retry_at = 0.0
    resend(ctx, job)


def resend(ctx: context.Context, job: job_lib.Job) -> None:
    """Proposes the pending claim again if its retry is due."""
    if job.proposal is None or ctx.now < job.retry_at:
        return
    job.retry_at = ctx.now + ctx.timeouts.claim_retry
    ctx.effects += ctx.claims.propose(job.proposal)


def request_current_claim(ctx: context.Context, job: job_lib.Job) -> None:
    """Requests the claim in force, by proposing the own claim again."""
    if job.claim is not None:
        ctx.effects += ctx.claims.propose(job.claim)


def widen_cohort(
    ctx: context.Context,
    job: job_lib.Job,
    cohort: tuple[claiming.MemberRef, ...],
) -> None:
    """Proposes a claim that adds agents to the cohort of an owned job."""
    propose(
        ctx, job, job.known_epoch + 1, merge_cohorts(job.claim.cohort, cohort)
    )


def record_decided_claim(
    ctx: context.Context, job: job_lib.Job, claim: claiming.Claim
) -> bool:
    """Records a decided claim of a job.

    If the claim is another owner's, the job ends, joins that owner or is taken
    over.

    Returns:
        Whether the claim is this record's own and was not yet recorded.
    """
    if claim.epoch < job.known_epoch:
        return False
    job.known_epoch = claim.epoch
    if claim.digest != job.digest:
        ctx.finish(job, create_conflict(ctx, job.id, is_decided=True), False)
        return False
    if claim.owner == ctx.ref and claim.nonce == job.nonce:
        if job.claim is not None and job.claim.epoch == claim.epoch:
            return False
        job.claim = claim
        job.proposal = None
        return True
    if claim.closed is not None:
        ctx.finish(job, _create_closed_failure(ctx, claim), True)
    else:
        _join_or_take_over(ctx, job, claim)
    return False


def handle_proposal_refused(
    ctx: context.Context,
    job: job_lib.Job,
    message: claiming.ProposalRefused,
) -> None:
    """Handles the keepers' refusal to decide a proposal."""
    if job.proposal is None or message.nonce != job.nonce:
        return
    job.proposal = None
    if job.phase in (_Phase.CLAIMING, _Phase.CLOSING):
        outcome = _find_outcome(job, message.failure.outcome)
        ctx.finish(job, message.failure._replace(outcome=outcome), False)


def create_conflict(
    ctx: context.Context, job: str, is_decided: bool
) -> failure_lib.Failure:
    """Returns the failure of a submission whose body differs from the job's.

    Args:
        ctx: The entry.
        job: The job identifier.
        is_decided: Whether a decided claim binds the identifier to the other
            body.
    """
    return ctx.create_failure(
        _Outcome.NOT_RUN if is_decided else _Outcome.UNKNOWN,
        _Cause.ID_CONFLICT,
        "claim",
        f"job {job} was submitted with another body",
    )


def tick(ctx: context.Context, job: job_lib.Job) -> None:
    """Resends messages without a reply and ends waits at their timeout."""
    if job.phase is _Phase.JOINING:
        _tick_join(ctx, job)
        return
    resend(ctx, job)
    is_claiming = job.phase in (_Phase.CLAIMING, _Phase.CLOSING)
    if is_claiming and ctx.now >= job.phase_until:
        ctx.finish(job, _create_claim_timeout_failure(ctx, job), False)


def check_owner(ctx: context.Context, job: job_lib.Job) -> None:
    """Takes a joined job over if its owner has departed."""
    if job.phase is _Phase.JOINING and ctx.members.is_departed(
        job.joined_claim.owner
    ):
        _take_over(ctx, job, job.joined_claim)


def handle_join_unknown(
    ctx: context.Context, job: job_lib.Job, message: claiming.JoinUnknown
) -> None:
    """Takes a joined job over, because its owner has no record of it."""
    if job.phase is _Phase.JOINING and message.nonce == job.joined_claim.nonce:
        _take_over(ctx, job, job.joined_claim)


def merge_cohorts(
    first: tuple[claiming.MemberRef, ...],
    second: tuple[claiming.MemberRef, ...],
) -> tuple[claiming.MemberRef, ...]:
    """Returns the agents of both cohorts, each once."""
    return tuple(dict.fromkeys(first + second))


def _join_or_take_over(
    ctx: context.Context, job: job_lib.Job, claim: claiming.Claim
) -> None:
    if job.phase in _OWNER_PHASES:
        ctx.effects.append(effects.Withdrawn(job.id))
    job.claim = None
    job.proposal = None
    is_own_earlier = claim.owner == ctx.ref
    if is_own_earlier or ctx.members.is_departed(claim.owner):
        _take_over(ctx, job, claim)
        return
    job.joined_claim = claim
    job.enter(_Phase.JOINING, job.deadline_at)
    job.last_seen_at = ctx.now
    _tick_join(ctx, job)


def _take_over(
    ctx: context.Context, job: job_lib.Job, claim: claiming.Claim
) -> None:
    job.previous_claim = claim
    job.joined_claim = None
    job.enter(_Phase.CLAIMING, ctx.now + ctx.timeouts.claim)
    cohort = merge_cohorts(claim.cohort, job.submission.cohort)
    propose(ctx, job, claim.epoch + 1, cohort)


def _tick_join(ctx: context.Context, job: job_lib.Job) -> None:
    owner = job.joined_claim.owner
    is_unresponsive = ctx.now - job.last_seen_at >= ctx.timeouts.owner_timeout
    if is_unresponsive and not ctx.members.is_up(owner):
        _take_over(ctx, job, job.joined_claim)
        return
    if ctx.now >= job.retry_at:
        job.retry_at = ctx.now + ctx.timeouts.join_retry
        budget_ms = max(0, round((job.deadline_at - ctx.now) * 1000))
        join = claiming.Join(
            job.id, job.joined_claim.epoch, job.joined_claim.nonce, budget_ms
        )
        ctx.send(owner, join)


def _create_closed_failure(
    ctx: context.Context, claim: claiming.Claim
) -> failure_lib.Failure:
    return ctx.create_failure(
        _Outcome.NOT_RUN,
        claim.closed,
        "claim",
        f"job {claim.job} ended without a start at {claim.owner.name}",
    )


def _find_outcome(
    job: job_lib.Job, outcome: failure_lib.Outcome
) -> failure_lib.Outcome:
    """Returns `NOT_RUN` if no other entry can have claimed the identifier."""
    is_alone = job.submission.is_new and not job.known_epoch
    return _Outcome.NOT_RUN if is_alone else outcome


def _create_claim_timeout_failure(
    ctx: context.Context, job: job_lib.Job
) -> failure_lib.Failure:
    return ctx.create_failure(
        _find_outcome(job, _Outcome.UNKNOWN),
        _Cause.CLAIM_UNAVAILABLE,
        "claim",
        f"the keepers did not decide on job {job.id} within "
        f"{ctx.timeouts.claim:g} s",
    )
