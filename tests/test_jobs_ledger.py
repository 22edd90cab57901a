"""Tests of an agent's records of starts, refusals, fences and answers."""

from __future__ import annotations

import pytest

from skylarkcleat.jobs import ledger as ledger_lib
from skylarkcleat.jobs import ledger_record
from skylarkcleat.jobs import reply
from skylarkcleat.jobs import retention
from skylarkcleat.model import cause as cause_lib
from skylarkcleat.model import failure as failure_lib
from skylarkcleat.model import job_id
from skylarkcleat.protocol import claiming
from skylarkcleat.protocol import dispatching
from skylarkcleat.protocol import fencing

NOW_MS = 1_764_800_000_000
JOB = job_id.create_job_id(NOW_MS).text
AGENT = claiming.MemberRef("agent-1", 7)
FIRST = claiming.MemberRef("entry-1", 1)
SECOND = claiming.MemberRef("entry-2", 1)
LOAD = dispatching.Load(0, 0, 0)
OVERLOADED = failure_lib.Failure(
    failure_lib.Outcome.NOT_RUN,
    cause_lib.Cause.OVERLOADED,
    "dispatch",
    "agent-1",
    "the queue is full",
)


@pytest.fixture
def ledger():
    return ledger_lib.Ledger(AGENT, max_records=100, max_bytes=1000)


def dispatch_of(task=0, epoch=1, number=1, job=JOB, repeatable=False):
    attempt = dispatching.Attempt(job, task, epoch, number)
    return dispatching.Dispatch(
        attempt, 7, "p", 1, 1000, 0, b"{}", repeatable=repeatable
    )


def admit(ledger, entry=FIRST, now_ms=NOW_MS, **parts):
    return ledger.admit(dispatch_of(**parts), entry, now_ms)


def run(ledger, body=b"1", **parts):
    attempt = admit(ledger, **parts).attempt
    assert ledger.start(attempt) is None
    answer = dispatching.Answer(attempt, body, 1.0, 0.0, LOAD)
    return ledger.record_answer(answer), answer


def fence(ledger, epoch=2, wanted=(), incarnation=7, entry=SECOND):
    message = fencing.Fence(JOB, epoch, incarnation, wanted)
    return ledger.fence(message, entry, NOW_MS)


def test_a_repeated_dispatch_is_not_queued_again(ledger):
    assert isinstance(admit(ledger), ledger_record.Admitted)
    repeated = admit(ledger)
    assert repeated.state is ledger_record.TaskState.QUEUED
    assert repeated.reply is None


def test_a_repeated_dispatch_gets_the_kept_answer(ledger):
    entry, answer = run(ledger)
    assert entry == FIRST
    assert admit(ledger).reply == answer


def test_a_dispatch_for_another_incarnation_has_an_unknown_outcome(ledger):
    dispatch = dispatch_of()._replace(incarnation=6)
    failure = ledger.admit(dispatch, FIRST, NOW_MS)
    assert failure.outcome is failure_lib.Outcome.UNKNOWN
    answer = reply.create_reply(dispatch.attempt, failure, LOAD)
    assert isinstance(answer, dispatching.AttemptFailure)


def test_a_refused_attempt_never_starts(ledger):
    attempt = admit(ledger).attempt
    assert ledger.refuse(attempt, OVERLOADED) == FIRST
    assert ledger.start(attempt).outcome is failure_lib.Outcome.NOT_RUN
    assert admit(ledger) == OVERLOADED
    refusal = reply.create_reply(attempt, admit(ledger), LOAD)
    assert isinstance(refusal, dispatching.Refusal)


def test_a_later_attempt_follows_a_refused_one(ledger):
    ledger.refuse(admit(ledger).attempt, OVERLOADED)
    assert isinstance(admit(ledger, number=2), ledger_record.Admitted)
    assert admit(ledger, number=1).state is ledger_record.TaskState.QUEUED


def test_a_started_attempt_cannot_be_refused(ledger):
    attempt = admit(ledger).attempt
    ledger.start(attempt)
    assert ledger.refuse(attempt, OVERLOADED) is None


@pytest.mark.parametrize("repeatable", [False, True])
def test_only_a_repeatable_request_starts_after_a_failure(ledger, repeatable):
    attempt = admit(ledger, repeatable=repeatable).attempt
    ledger.start(attempt)
    broken = dispatching.AttemptFailure(attempt, OVERLOADED, 1.0, LOAD)
    assert ledger.record_attempt_failure(broken) == FIRST
    again = admit(ledger, number=2, repeatable=repeatable)
    assert isinstance(again, ledger_record.Admitted) is repeatable


def test_a_revocation_covers_what_has_not_arrived(ledger):
    queued = admit(ledger, task=0).attempt
    run(ledger, task=1)
    revoke = dispatching.Revoke(JOB, 1, (0, 1, 2))
    revoked = ledger.revoke(revoke, NOW_MS)
    assert [attempt.task for attempt in revoked] == [0, 2]
    assert ledger.start(queued).outcome is failure_lib.Outcome.NOT_RUN
    for task in (0, 2):
        failure = admit(ledger, task=task, number=2)
        assert failure.outcome is failure_lib.Outcome.NOT_RUN
    assert isinstance(admit(ledger, task=2, epoch=2), ledger_record.Admitted)


def test_a_late_revocation_does_not_affect_a_later_epoch(ledger):
    attempt = admit(ledger, epoch=2).attempt
    assert ledger.revoke(dispatching.Revoke(JOB, 1, (0,)), NOW_MS) == ()
    assert ledger.start(attempt) is None


def test_a_fence_revokes_reports_and_redirects(ledger):
    _, answer = run(ledger, task=0)
    running = admit(ledger, task=1).attempt
    ledger.start(running)
    queued = admit(ledger, task=2).attempt
    fenced = fence(ledger)
    started = {
        task.attempt.task: task.progress for task in fenced.report.started
    }
    assert started == {
        0: fencing.Progress.ANSWERED,
        1: fencing.Progress.RUNNING,
    }
    assert fenced.answers == (answer,)
    assert fenced.revoked == (queued,)
    late = dispatching.Answer(running, b"2", 1.0, 0.0, LOAD)
    assert ledger.record_answer(late) == SECOND


def test_a_fence_refuses_lower_epochs_permanently(ledger):
    fence(ledger)
    failure = admit(ledger, task=5)
    assert failure.outcome is failure_lib.Outcome.NOT_RUN
    assert failure.step == ledger_lib.FENCE_STEP
    assert isinstance(admit(ledger, task=5, epoch=2), ledger_record.Admitted)


def test_a_repeated_fence_does_not_revoke_its_own_epoch(ledger):
    fence(ledger)
    attempt = admit(ledger, epoch=2, entry=SECOND).attempt
    assert fence(ledger).revoked == ()
    assert ledger.start(attempt) is None


def test_a_late_fence_reports_the_higher_epoch(ledger):
    fence(ledger, epoch=3)
    fenced = fence(ledger, epoch=2, entry=FIRST)
    assert fenced.report.epoch == 3
    assert fenced.answers == ()


def test_a_fence_for_another_incarnation_is_ignored(ledger):
    assert fence(ledger, incarnation=6) is None


def test_a_task_with_a_dropped_answer_is_reported_as_started(ledger):
    run(ledger, body=b"x" * 200, task=0)
    run(ledger, body=b"y" * 200, task=1)
    assert ledger.store.answer_bytes <= 1000
    progress = [task.progress for task in fence(ledger).report.started]
    assert progress == [fencing.Progress.DROPPED, fencing.Progress.ANSWERED]
    assert admit(ledger, task=0).state is ledger_record.TaskState.DROPPED


def test_the_queue_of_a_departed_entry_is_revoked(ledger):
    attempt = admit(ledger).attempt
    assert ledger.revoke_queued_by(FIRST) == (attempt,)
    assert ledger.start(attempt).outcome is failure_lib.Outcome.NOT_RUN


def test_records_are_bounded_and_forgotten_jobs_never_start():
    ledger = ledger_lib.Ledger(AGENT, max_records=6)
    jobs = [job_id.create_job_id(NOW_MS + 1000 * i).text for i in range(5)]
    for job in jobs:
        assert isinstance(admit(ledger, job=job), ledger_record.Admitted)
    assert ledger.store.record_count <= 6
    failure = admit(ledger, job=jobs[0])
    assert failure.outcome is failure_lib.Outcome.UNKNOWN
    message = fencing.Fence(jobs[0], 2, 7)
    assert ledger.fence(message, SECOND, NOW_MS).report.records_lost


def test_an_old_identifier_is_refused_before_its_record_is_forgotten(ledger):
    run(ledger)
    late_ms = NOW_MS + retention.ACCEPT_AGE_MS + 1
    ledger.expire(late_ms)
    assert ledger.store.record_count == 2
    assert admit(ledger, now_ms=late_ms).outcome is failure_lib.Outcome.UNKNOWN
    ledger.expire(NOW_MS + retention.FORGET_AGE_MS + 2000)
    assert (ledger.store.record_count, ledger.store.answer_bytes) == (0, 0)
    early = admit(ledger, now_ms=NOW_MS)
    assert early.outcome is failure_lib.Outcome.UNKNOWN
