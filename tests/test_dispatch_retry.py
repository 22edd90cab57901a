from __future__ import annotations

import random
import types

import pytest

from skylarkcleat.dispatch import job_table
from skylarkcleat.dispatch import retry
from skylarkcleat.model import cause as cause_lib
from skylarkcleat.model import failure as failure_lib

TASKS = 40


@pytest.fixture
def job():
    profile = types.SimpleNamespace(name="votive-order", max_attempts=3)
    work = types.SimpleNamespace(
        job="job", tasks=TASKS, profile=profile, deadline_at=100.0
    )
    created = job_table.JobState(work, 0.0)
    for task in created.tasks:
        task.number = 1
    return created


def _refuse_all(job, cause):
    """Decides on a retry of each task, all refused by one agent."""
    retries = retry.Retries(random.Random(1))
    failure = failure_lib.Failure(
        failure_lib.Outcome.NOT_RUN, cause, "queue", "agent-2", "refused"
    )
    return [
        retries.decide(job, task, "agent-2", failure, 1.0)
        for task in range(TASKS)
    ]


@pytest.mark.parametrize(
    "cause",
    [cause_lib.Cause.DRAINING, cause_lib.Cause.CONFIGURATION_STALE],
)
def test_refusals_of_all_work_cost_no_retry_budget(job, cause):
    decisions = _refuse_all(job, cause)
    assert all(isinstance(d, retry.RetryDecision) for d in decisions)


def test_other_refusals_are_bounded_by_the_budget(job):
    decisions = _refuse_all(job, cause_lib.Cause.OVERLOADED)
    retried = [d for d in decisions if isinstance(d, retry.RetryDecision)]
    assert len(retried) == retry.INITIAL_TOKENS


@pytest.mark.parametrize(
    "cause",
    [cause_lib.Cause.DRAINING, cause_lib.Cause.CONFIGURATION_STALE],
)
def test_max_attempts_bounds_causes_exempt_from_the_budget(job, cause):
    for task in job.tasks:
        task.number = 3
    assert not any(
        isinstance(each, retry.RetryDecision)
        for each in _refuse_all(job, cause)
    )
