"""Fences the agents of a job's previous owner and records what they started.

An agent without a report may have started any task. Tasks without a recorded
start therefore count as lost while an agent of the earlier cohort is
unaccounted for.
"""

from __future__ import annotations

import collections

from skylarkcleat.jobs import context
from skylarkcleat.jobs import execution
from skylarkcleat.jobs import job as job_lib
from skylarkcleat.jobs import ownership
from skylarkcleat.model import cause as cause_lib
from skylarkcleat.model import failure as failure_lib
from skylarkcleat.protocol import claiming
from skylarkcleat.protocol import fencing

_Phase = job_lib.Phase
_State = job_lib.SlotState
_Progress = fencing.Progress


def begin(ctx: context.Context, job: job_lib.Job) -> None:
    """Fences the cohort of the previous owner's claim."""
    job.enter(_Phase.FENCING, ctx.now + ctx.timeouts.fence)
    job.fence_reports = {}
    job.pending_fences = set(job.previous_claim.cohort)
    job.unaccounted = {
        agent for agent in job.pending_fences if ctx.members.is_departed(agent)
    }
    job.pending_fences -= job.unaccounted
    job.previous_claim = None
    _send_fences(ctx, job)
    _apply_reports(ctx, job)


def handle_fence_report(
    ctx: context.Context, job: job_lib.Job, report: fencing.FenceReport
) -> None:
    """Records the tasks that a fenced agent had started."""
    if job.claim is None:
        return
    if report.epoch > job.claim.epoch:
        ownership.request_current_claim(ctx, job)
    elif report.epoch < job.claim.epoch:
        return
    elif job.phase is not _Phase.FENCING:
        _update_held(ctx, job, report)
    elif report.agent in job.pending_fences:
        job.pending_fences.discard(report.agent)
        if report.records_lost:
            job.unaccounted.add(report.agent)
        job.fence_reports[report.agent] = report.started
        _apply_reports(ctx, job)


def handle_agent_loss(
    ctx: context.Context, job: job_lib.Job, agent: claiming.MemberRef
) -> None:
    """Records that an agent departed before it sent its report."""
    if job.phase is _Phase.FENCING and agent in job.pending_fences:
        job.pending_fences.discard(agent)
        job.unaccounted.add(agent)
        _apply_reports(ctx, job)


def tick(ctx: context.Context, job: job_lib.Job) -> None:
    """Resends messages without a reply and ends fencing at its timeout."""
    if job.phase is _Phase.FENCING:
        if ctx.now >= job.phase_until:
            job.unaccounted |= job.pending_fences
            job.pending_fences = set()
            _apply_reports(ctx, job)
        elif ctx.now >= job.retry_at:
            _send_fences(ctx, job)
    elif job.phase is _Phase.RUNNING and ctx.now >= job.retry_at:
        job.retry_at = ctx.now + ctx.timeouts.held_answer_retry
        _request_held_answers(ctx, job)


def _send_fences(ctx: context.Context, job: job_lib.Job) -> None:
    job.retry_at = ctx.now + ctx.timeouts.fence_retry
    for agent in sorted(job.pending_fences):
        fence = fencing.Fence(job.id, job.claim.epoch, agent.incarnation)
        ctx.send(agent, fence)


def _request_held_answers(ctx: context.Context, job: job_lib.Job) -> None:
    held = collections.defaultdict(list)
    for task, slot in enumerate(job.slots):
        if slot.is_held and slot.state is _State.SENT:
            held[slot.agent].append(task)
    for agent, tasks in held.items():
        fence = fencing.Fence(
            job.id, job.claim.epoch, agent.incarnation, tuple(tasks)
        )
        ctx.send(agent, fence)


def _apply_reports(ctx: context.Context, job: job_lib.Job) -> None:
    if job.pending_fences:
        return
    for slot in job.slots:
        if slot.state is not _State.ANSWERED:
            slot.reset()
    for agent, started in job.fence_reports.items():
        for task in started:
            _apply_started_task(ctx, job, agent, task)
    if job.unaccounted:
        loss = execution.create_loss_failure(ctx, job, min(job.unaccounted))
        for slot in job.slots:
            if slot.state is _State.UNSENT:
                slot.record_failure(loss)
    execution.run_remaining(ctx, job)


def _apply_started_task(
    ctx: context.Context,
    job: job_lib.Job,
    agent: claiming.MemberRef,
    task: fencing.StartedTask,
) -> None:
    slot = job.slots[task.attempt.task]
    if slot.state in (_State.ANSWERED, _State.SENT):
        return
    if task.progress in (_Progress.RUNNING, _Progress.ANSWERED):
        if ctx.members.is_departed(agent):
            slot.record_failure(execution.create_loss_failure(ctx, job, agent))
        else:
            slot.record_held(task.attempt, agent)
    else:
        slot.record_failure(_create_task_failure(ctx, job, task, agent))


def _update_held(
    ctx: context.Context, job: job_lib.Job, report: fencing.FenceReport
) -> None:
    for task in report.started:
        slot = job.slots[task.attempt.task]
        if not slot.is_held or not slot.is_sent_as(task.attempt):
            continue
        if task.progress in (_Progress.DROPPED, _Progress.BROKEN):
            failure = _create_task_failure(ctx, job, task, report.agent)
            execution.fail_slot(ctx, job, slot, failure)
            return


def _create_task_failure(
    ctx: context.Context,
    job: job_lib.Job,
    task: fencing.StartedTask,
    agent: claiming.MemberRef,
) -> failure_lib.Failure:
    if task.failure is not None:
        return task.failure
    return ctx.create_failure(
        failure_lib.Outcome.FAILED,
        cause_lib.Cause.ANSWER_NOT_KEPT,
        "take-over",
        f"agent {agent.name} ran task {task.attempt.task} of job {job.id} "
        "but has dropped its answer",
    )
