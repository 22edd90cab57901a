"""Fences a job at an agent and reports which of its tasks have started."""

from __future__ import annotations

from skylarkcleat.jobs import ledger_record
from skylarkcleat.jobs import revocation
from skylarkcleat.protocol import claiming
from skylarkcleat.protocol import fencing


def fence_job(
    job: ledger_record.JobRecord,
    fence: fencing.Fence,
    entry: claiming.MemberRef,
    agent: claiming.MemberRef,
) -> ledger_record.Fenced:
    """Fences a job, unless a higher epoch already has, and reports its starts.

    Args:
        job: The job's record.
        fence: The new owner's message.
        entry: The new owner.
        agent: The reporting agent.
    """
    if fence.epoch < job.fence:
        return ledger_record.Fenced(_create_report(job, fence, agent), (), ())
    job.fence = fence.epoch
    job.entry = entry
    revoked = revocation.revoke_queued(job, fence.epoch, agent.name)
    answers = tuple(job.kept_answers(fence.wanted))
    report = _create_report(job, fence, agent)
    return ledger_record.Fenced(report, answers, tuple(revoked))


def create_forgotten(
    fence: fencing.Fence, agent: claiming.MemberRef
) -> ledger_record.Fenced:
    """Returns a report that the agent has forgotten a job's records."""
    report = fencing.FenceReport(
        fence.job, fence.epoch, agent, (), records_lost=True
    )
    return ledger_record.Fenced(report, (), ())


def _create_report(
    job: ledger_record.JobRecord,
    fence: fencing.Fence,
    agent: claiming.MemberRef,
) -> fencing.FenceReport:
    started = tuple(job.started_tasks())
    return fencing.FenceReport(fence.job, job.fence, agent, started)
