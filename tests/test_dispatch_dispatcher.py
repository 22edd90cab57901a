from __future__ import annotations

import pytest

from skylarkcleat.dispatch import dispatcher
from skylarkcleat.dispatch import health
from skylarkcleat.dispatch import retry
from skylarkcleat.dispatch import work
from skylarkcleat.emulator import workload
from skylarkcleat.model import cause
from skylarkcleat.model import failure
from skylarkcleat.model import member
from skylarkcleat.protocol import dispatching

PROFILE = workload.create_profile("orders")
IDLE = dispatching.Load(0, 0, 0)


def create_member(name, state=member.MemberState.UP, incarnation=1):
    return member.Member(
        name,
        incarnation,
        member.Role.AGENT,
        "waycross",
        "tcp://127.0.0.1:1",
        workload.UPSTREAM,
        8,
        64,
        state,
    )


def create_work(job="job", tasks=1, deadline_at=30.0, repeatable=False):
    return work.Work(job, PROFILE, tasks, (), deadline_at, repeatable)


def create_attempt(placement):
    return dispatching.Attempt(
        placement.job, placement.task, 1, placement.number
    )


def create_refusal(placement, why=cause.Cause.OVERLOADED):
    detail = failure.Failure(
        failure.Outcome.NOT_RUN, why, "offer", placement.agent, "full"
    )
    return dispatching.Refusal(create_attempt(placement), detail, IDLE)


def create_attempt_failure(placement):
    detail = failure.Failure(
        failure.Outcome.FAILED,
        cause.Cause.RUNNER_ERROR,
        "run",
        placement.agent,
        "the runner answered 500",
    )
    return dispatching.AttemptFailure(
        create_attempt(placement), detail, 1.0, IDLE
    )


def create_answer(placement, run_ms=100.0):
    return dispatching.Answer(create_attempt(placement), b"", run_ms, 0.0, IDLE)


@pytest.fixture
def entry():
    created = dispatcher.create_dispatcher("entry-0", "waycross", 1)
    for i in range(4):
        created.add_agent(create_member(f"agent-{i}"), 0.0)
    return created


def test_submit_reports_no_upstream_when_no_agent_is_up():
    alone = dispatcher.create_dispatcher("entry-0", "waycross", 1)
    refused = alone.submit(create_work(), 0.0)
    assert refused.cause is cause.Cause.NO_UPSTREAM
    assert refused.outcome is failure.Outcome.NOT_RUN


def test_refuses_work_past_its_deadline(entry):
    refused = entry.submit(create_work(deadline_at=1.0), 2.0)
    assert refused.cause is cause.Cause.DEADLINE_PASSED


def test_places_each_task_once(entry):
    entry.submit(create_work(tasks=20), 0.0)
    placed = entry.place(0.0) + entry.place(0.0)
    assert sorted(p.task for p in placed) == list(range(20))


def test_sends_nothing_to_a_leaving_agent(entry):
    entry.update_member(
        create_member("agent-0", member.MemberState.LEAVING), 0.0
    )
    entry.submit(create_work(tasks=20), 0.0)
    assert "agent-0" not in {p.agent for p in entry.place(0.0)}


def test_retries_a_refused_attempt_elsewhere(entry):
    entry.submit(create_work(), 0.0)
    first = entry.place(0.0)[0]
    decision = entry.on_refusal(first.agent, create_refusal(first), 0.0)
    assert isinstance(decision, retry.RetryDecision)
    assert entry.place(0.0) == []
    assert entry.next_wakeup(0.0) == decision.at
    second = entry.place(decision.at)[0]
    assert second.number == 2
    assert second.agent != first.agent


def test_stops_retrying_after_the_last_attempt(entry):
    entry.submit(create_work(), 0.0)
    for _ in range(PROFILE.max_attempts):
        placed = entry.place(10.0)[0]
        decision = entry.on_refusal(placed.agent, create_refusal(placed), 5.0)
    assert decision.cause is cause.Cause.NO_ATTEMPT_LEFT
    assert entry.place(20.0) == []


def test_never_retries_a_started_task_that_is_not_repeatable(entry):
    entry.submit(create_work(), 0.0)
    placed = entry.place(0.0)[0]
    decision = entry.on_attempt_failure(
        placed.agent, create_attempt_failure(placed), 0.0
    )
    assert decision.cause is cause.Cause.RUNNER_ERROR
    assert entry.place(20.0) == []


def test_retry_budget_bounds_attempts_while_every_run_fails(entry):
    sent = 0
    for i in range(200):
        entry.submit(create_work(f"job-{i}", repeatable=True), 0.0)
    for step in range(200):
        now = step * 1.0
        for placed in entry.place(now):
            sent += 1
            entry.on_attempt_failure(
                placed.agent, create_attempt_failure(placed), now
            )
    bound = 200 + retry.INITIAL_TOKENS + 200 * retry.TOKENS_PER_TASK
    assert 200 <= sent <= bound


def test_cancel_lists_sent_tasks_and_drops_queued_ones(entry):
    entry.submit(create_work(tasks=480), 0.0)
    placed = entry.place(0.0)
    cancelled = entry.cancel("job", 0.0)
    named = {(c.agent, task) for c in cancelled for task in c.tasks}
    assert named == {(p.agent, p.task) for p in placed}
    assert entry.place(0.0) == []
    assert entry.next_wakeup(0.0) is None


def test_a_revoked_task_stops_counting_after_its_job_is_removed(entry):
    entry.submit(create_work(tasks=100), 0.0)
    first = entry.place(0.0)
    for cancellation in entry.cancel("job", 0.0):
        revoked = dispatching.Revoked("job", 1, cancellation.tasks, IDLE)
        entry.remove_job("job")
        entry.on_revoked(cancellation.agent, revoked, 0.0)
    entry.submit(create_work("next", tasks=100), 0.0)
    assert len(entry.place(0.0)) == len(first)


def test_remove_agent_returns_its_placements_without_outcome(entry):
    entry.submit(create_work(tasks=20), 0.0)
    placed = [p for p in entry.place(0.0) if p.agent == "agent-1"]
    lost = entry.remove_agent("agent-1", 0.0)
    assert {(p.job, p.task, p.number) for p in lost} == {
        (p.job, p.task, p.number) for p in placed
    }
    assert entry.remove_agent("agent-1", 0.0) == []


def run_jobs_failing_on(entry, bad, now, jobs=40):
    """Runs jobs of one task, failing those on `bad` agents; counts these."""
    failed = 0
    for i in range(jobs):
        entry.submit(create_work(f"{now}-{i}", deadline_at=now + 30), now)
        for placed in entry.place(now):
            if placed.agent in bad:
                failed += 1
                entry.on_attempt_failure(
                    placed.agent, create_attempt_failure(placed), now
                )
            else:
                entry.on_answer(placed.agent, create_answer(placed), now)
    return failed


def test_ejects_a_runner_that_fails_every_task_after_a_few_failures(entry):
    assert (
        run_jobs_failing_on(entry, {"agent-2"}, 0.0)
        <= health.EJECT_AFTER_FAILURES
    )


def test_probes_an_ejected_runner_with_one_task_and_readmits_it(entry):
    run_jobs_failing_on(entry, {"agent-2"}, 0.0)
    assert run_jobs_failing_on(entry, {"agent-2"}, 10.0) <= 1
    assert run_jobs_failing_on(entry, set(), 60.0) == 0
    entry.submit(create_work("wide", 32, 90.0), 60.0)
    assert "agent-2" in {p.agent for p in entry.place(60.0)}


def test_never_ejects_all_runners_when_all_fail(entry):
    everyone = {f"agent-{i}" for i in range(4)}
    for step in range(20):
        run_jobs_failing_on(entry, everyone, step * 0.5, jobs=10)
    entry.submit(create_work("after", 24, 40.0), 10.0)
    used = {p.agent for p in entry.place(10.0)}
    assert len(used) >= 2
