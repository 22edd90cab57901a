"""Works out the account's cost at the largest size from measured slopes."""

from __future__ import annotations

import collections.abc
import typing as t

from skylarkcleat.timeline import recorder
from skylarkcleat.timeline import reporter

WORKERS = 13_000
TASK_STARTS_PER_S = 850_000
TASKS_PER_JOB = 20
ENTRIES = 400
REPLICAS = 5
EVENTS_PER_TASK_AT_ENTRY = 2
EVENTS_PER_TASK_AT_AGENT = 3
EVENTS_PER_JOB = 3
STORE_BYTES = 1 << 30
BAD_JOBS = (0.0001, 0.001, 0.01, 0.05)


class Costs(t.NamedTuple):
    """Slopes that were measured; seconds are of a processor.

    Attributes:
        event_s: To record an event.
        event_bytes: To keep it.
        outcome_s: To count a job that ended.
        task_s: To count a task that was answered.
        trouble_s: To tell whether a job is an incident, by task.
        create_s: To make an incident, by task.
        store_s: To store an incident.
        full_bytes: An incident with its events, packed.
        stripped_bytes: One without, packed.
        head_bytes: What a record on the disk adds.
    """

    event_s: float
    event_bytes: float
    outcome_s: float
    task_s: float
    trouble_s: float
    create_s: float
    store_s: float
    full_bytes: float
    stripped_bytes: float
    head_bytes: float


def work_out(costs: Costs) -> collections.abc.Iterator[str]:
    """Yields one line for each role and share of jobs that end badly."""
    tasks = TASK_STARTS_PER_S / WORKERS
    agent = tasks * (EVENTS_PER_TASK_AT_AGENT * costs.event_s + costs.task_s)
    jobs = TASK_STARTS_PER_S / TASKS_PER_JOB / ENTRIES
    each_task = EVENTS_PER_TASK_AT_ENTRY * costs.event_s + costs.trouble_s
    each_job = EVENTS_PER_JOB * costs.event_s + costs.outcome_s
    entry = jobs * (TASKS_PER_JOB * each_task + each_job)
    memory = recorder.DEFAULT_MAX_EVENTS * costs.event_bytes
    yield (
        f"at {WORKERS} workers, {TASK_STARTS_PER_S} task starts/s, "
        f"{TASKS_PER_JOB} tasks a job, {ENTRIES} entries, {REPLICAS} replicas:"
    )
    yield f"agent: {tasks:.0f} tasks/s, {agent:.3%} of a core"
    yield f"entry: {jobs:.0f} jobs/s, {entry:.3%} of a core"
    yield f"recorder: {memory / 1e6:.1f} MB when full"
    for share in BAD_JOBS:
        yield _work_out_incidents(costs, jobs * share, share)


def _work_out_incidents(costs: Costs, per_entry: float, share: float) -> str:
    budget = reporter.DEFAULT_BYTES_PER_S
    size = costs.full_bytes
    if per_entry * size > budget:
        size = costs.stripped_bytes
    sent = min(per_entry * size, budget)
    stored_per_s = sent / size * ENTRIES / REPLICAS
    written = stored_per_s * (size + costs.head_bytes)
    hours = STORE_BYTES / written / 3_600
    create = per_entry * TASKS_PER_JOB * costs.create_s
    store = stored_per_s * costs.store_s
    form = "full" if size == costs.full_bytes else "stripped"
    left = 1 - sent / (per_entry * size)
    return (
        f"{share:.2%} of jobs bad: entry {per_entry:.2f} incidents/s {form}, "
        f"{sent:.0f} B/s, {create:.3%} of a core, {left:.0%} only counted; "
        f"replica {written / 1e3:.1f} KB/s, {store:.3%} of a core, "
        f"{hours:.0f} h kept in 1 GiB"
    )
