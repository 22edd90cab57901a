from __future__ import annotations

import pytest

from skylarkcleat.model import cause as cause_lib
from skylarkcleat.timeline import delay as delay_lib
from skylarkcleat.timeline import ending as ending_lib
from skylarkcleat.timeline import event as event_lib
from skylarkcleat.timeline import explanation
from skylarkcleat.timeline import kind as kind_lib
from skylarkcleat.timeline import missing as missing_lib
from tests import timeline_cases as cases

Cause = cause_lib.Cause
Kind = kind_lib.Kind
Step = delay_lib.Step


def test_lost_entry_is_explained_from_what_the_agents_saw():
    rows = [
        row
        for row in cases.play(cases.Plan())
        if row.process != cases.ENTRY and row.kind is not Kind.ANSWERED
    ]
    agent = cases.Node(cases.AGENTS[0], 0)
    agent.record(5_000, Kind.LOST, peer=cases.ENTRY)
    rows += agent.recorder.find_job(cases.JOB)
    told = explanation.explain(cases.JOB, rows)
    assert told.cause is Cause.ENTRY_LOST
    assert told.ending is None
    assert told.summary == (
        "No outcome on record: the entry that answered for it was lost; "
        "6 tasks known to have started, 0 to have been answered; missing: "
        "entry-waycross-1 (the entry that answers for the job; no event of "
        "it is at hand)"
    )


def test_lost_agent_is_not_taken_for_the_entry():
    rows = [
        row for row in cases.play(cases.Plan()) if row.kind is not Kind.FINISHED
    ]
    entry = cases.Node(cases.ENTRY, 0)
    entry.record(5_000, Kind.LOST, peer=cases.AGENTS[0])
    rows += entry.recorder.find_job(cases.JOB)
    assert explanation.explain(cases.JOB, rows).cause is Cause.STILL_RUNNING


def test_take_over_is_judged_by_the_new_owner():
    entry = cases.Node("entry-brunswick-1", 0)
    rows = [
        row for row in cases.play(cases.Plan()) if row.kind is not Kind.FINISHED
    ]
    entry.record(4_000, Kind.TAKEN_OVER, epoch=2, peer=cases.ENTRY)
    cases.finish(
        entry, cases.Plan(), 4_100, ending_lib.Ending.UNKNOWN, Cause.AGENT_LOST
    )
    told = explanation.explain(
        cases.JOB, [*rows, *entry.recorder.find_job(cases.JOB)]
    )
    assert told.cause is Cause.AGENT_LOST
    assert told.ending is ending_lib.Ending.UNKNOWN
    assert told.summary.startswith("Outcome unknown: the agent beside")


def test_resubmission_is_told_as_run_once():
    other = cases.Node("entry-brunswick-1", 0)
    other.record(9_000, Kind.RESUBMITTED, peer=cases.ENTRY)
    rows = [*cases.play(cases.Plan()), *other.recorder.find_job(cases.JOB)]
    told = explanation.explain(cases.JOB, rows)
    assert told.cause is Cause.RESUBMITTED
    assert told.summary == (
        "Answered on time: it was submitted once more, and nothing of it "
        "ran again; it was answered once"
    )


def test_owner_is_believed_before_an_entry_that_was_asked_again():
    other = cases.Node("entry-brunswick-1", 0)
    other.record(9_000, Kind.RESUBMITTED, peer=cases.ENTRY)
    cases.finish(
        other,
        cases.Plan(),
        9_002,
        ending_lib.Ending.UNKNOWN,
        Cause.ANSWER_NOT_KEPT,
    )
    rows = [*cases.play(cases.Plan()), *other.recorder.find_job(cases.JOB)]
    told = explanation.explain(cases.JOB, rows)
    assert told.ending is ending_lib.Ending.ANSWERED
    assert told.cause is Cause.RESUBMITTED


def test_second_start_is_owned_up_to():
    agent = cases.Node("agent-brunswick-9", 0)
    agent.record(50, Kind.STARTED, task=2, attempt=1, epoch=1)
    rows = [*cases.play(cases.Plan()), *agent.recorder.find_job(cases.JOB)]
    told = explanation.explain(cases.JOB, rows)
    assert told.cause is Cause.STARTED_TWICE
    assert "a task was started twice" in told.summary


def play_retry() -> list[event_lib.Event]:
    entry = cases.Node(cases.ENTRY, 0)
    agents = [
        cases.Node(name, skew)
        for name, skew in zip(cases.AGENTS[:2], (15_000, -15_000), strict=True)
    ]
    cases.accept(entry, cases.Plan(tasks=1))
    for number, agent in enumerate(agents, 1):
        names = {"task": 0, "attempt": number, "epoch": 1}
        at_ms = 2_500.0 * (number - 1)
        entry.record(at_ms, Kind.SENT, peer=agent.name, at_ms=at_ms, **names)
        agent.record(at_ms + 1, Kind.STARTED, **names)
        if number == 1:
            agent.record(2_400, Kind.BROKEN, cause=Cause.RUNNER_SILENT, **names)
            entry.record(
                2_401,
                Kind.RETRIED,
                peer=agent.name,
                cause=Cause.RUNNER_SILENT,
                at_ms=2_401,
                **names,
            )
    entry.record(2_600, Kind.RECEIVED, duration_ms=90, at_ms=2_600, **names)
    cases.finish(entry, cases.Plan(), 2_601)
    return [
        row
        for node in (entry, *agents)
        for row in node.recorder.find_job(cases.JOB)
    ]


def test_allowed_retry_is_no_second_start():
    told = explanation.explain(cases.JOB, play_retry())
    assert told.cause is Cause.RUNNER_SILENT
    assert told.summary == (
        "Late by 2.5 s against its ideal of 110 ms: 1 of 1 task had to be "
        "tried again (2.5 s), because the runner took the task and fell "
        "silent; it was answered once"
    )


def test_retry_that_names_no_attempt_is_no_second_start_either():
    rows = [
        row._replace(attempt=0, epoch=0) if row.kind is Kind.RETRIED else row
        for row in play_retry()
        if row.kind is not Kind.BROKEN
    ]
    told = explanation.explain(cases.JOB, rows)
    assert told.cause is not Cause.STARTED_TWICE


@pytest.mark.parametrize("gone", [(), ("entry-mendoza-1",)])
def test_second_start_is_not_alleged_on_half_the_evidence(gone):
    excuses = {Kind.BROKEN, Kind.RETRIED}
    rows = [row for row in play_retry() if row.kind not in excuses]
    missing = [missing_lib.Missing(name, "does not answer") for name in gone]
    told = explanation.explain(cases.JOB, rows, missing)
    assert (told.cause is Cause.STARTED_TWICE) == (not gone)


def test_queue_is_known_from_the_entry_alone_if_the_agent_told_it():
    rows = [
        row._replace(subject="stock-check", count=40)
        if row.kind is Kind.RECEIVED and row.task == 1
        else row
        for row in cases.play(cases.Plan(step=Step.QUEUE))
        if row.process == cases.ENTRY
    ]
    told = explanation.explain(cases.JOB, rows)
    assert told.cause is Cause.QUEUED_BEHIND_OTHER_WORK
    assert "behind a flood of `stock-check`" in told.summary
