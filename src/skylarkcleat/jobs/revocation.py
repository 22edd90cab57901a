"""Refuses permanently the tasks that have not started at an agent."""

from __future__ import annotations

from skylarkcleat.jobs import ledger_record
from skylarkcleat.jobs import record_store
from skylarkcleat.model import cause as cause_lib
from skylarkcleat.model import failure as failure_lib
from skylarkcleat.protocol import claiming
from skylarkcleat.protocol import dispatching

ANY_EPOCH = 1 << 62


def revoke(
    store: record_store.RecordStore, message: dispatching.Revoke, agent: str
) -> tuple[dispatching.Attempt, ...]:
    """Refuses the tasks that an owner names, or all recorded ones.

    Args:
        store: The agent's records.
        message: The owner's message.
        agent: The agent's name.

    Returns:
        The last attempt refused, for each task that has not started.
    """
    job = store.find_job(message.job)
    tasks = message.tasks or tuple(job.tasks if job is not None else ())
    revoked = []
    for task in tasks:
        last = dispatching.Attempt(
            message.job, task, message.epoch, ledger_record.LAST_NUMBER
        )
        if revoke_task(store, last, agent):
            revoked.append(last)
    return tuple(revoked)


def revoke_task(
    store: record_store.RecordStore, last: dispatching.Attempt, agent: str
) -> bool:
    """Refuses every attempt at a task up to and including `last`.

    Args:
        store: The agent's records.
        last: The last attempt to refuse.
        agent: The agent's name.

    Returns:
        Whether no attempt up to `last` has started or can start.
    """
    record = store.find_task(last.job, last.task)
    if record is None:
        record = store.put_task(last, None)
    elif record.progress is not None or not record.precedes(last):
        return record.state is ledger_record.TaskState.REFUSED
    record.refuse(last, _create_failure(last, agent))
    return True


def revoke_queued_by(
    store: record_store.RecordStore, entry: claiming.MemberRef, agent: str
) -> tuple[dispatching.Attempt, ...]:
    """Refuses, and returns, the attempts of an entry queued at an agent."""
    revoked = []
    for job in store:
        if job.entry == entry:
            revoked += revoke_queued(job, ANY_EPOCH, agent)
    return tuple(revoked)


def revoke_queued(
    job: ledger_record.JobRecord, below: int, agent: str
) -> list[dispatching.Attempt]:
    """Refuses the queued attempts of epochs below `below`.

    Args:
        job: The job's record.
        below: The epoch, or `ANY_EPOCH`.
        agent: The agent's name.

    Returns:
        The attempts that were queued.
    """
    revoked = []
    for record in job.tasks.values():
        attempt = record.attempt
        if record.state is not ledger_record.TaskState.QUEUED:
            continue
        if attempt.epoch < below:
            last = attempt._replace(number=ledger_record.LAST_NUMBER)
            record.refuse(last, _create_failure(attempt, agent))
            revoked.append(attempt)
    return revoked


def _create_failure(
    attempt: dispatching.Attempt, agent: str
) -> failure_lib.Failure:
    return failure_lib.Failure(
        failure_lib.Outcome.NOT_RUN,
        cause_lib.Cause.CANCELLED,
        "revoke",
        agent,
        f"task {attempt.task} of job {attempt.job} was revoked",
    )
