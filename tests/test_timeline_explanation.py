from __future__ import annotations

import hypothesis
import pytest
from hypothesis import strategies as st

from skylarkcleat.model import cause as cause_lib
from skylarkcleat.timeline import delay as delay_lib
from skylarkcleat.timeline import ending as ending_lib
from skylarkcleat.timeline import explanation
from skylarkcleat.timeline import kind as kind_lib
from skylarkcleat.timeline import missing as missing_lib
from tests import timeline_cases as cases

Cause = cause_lib.Cause
Kind = kind_lib.Kind
Step = delay_lib.Step

TRUTHS = {
    None: Cause.ON_TIME,
    Step.CLAIM: Cause.CLAIM_SLOW,
    Step.DISPATCH: Cause.ENTRY_BUSY,
    Step.NETWORK: Cause.NETWORK_SLOW,
    Step.QUEUE: Cause.QUEUED_BEHIND_OTHER_WORK,
    Step.RUN: Cause.STRAGGLING_RUNNER,
    Step.GATHER: Cause.ENTRY_BUSY,
}
OPEN_CAUSES = {Cause.NOT_KNOWN, Cause.STILL_RUNNING}
PROVISIONAL_CAUSES = {
    Step.QUEUE: {Cause.WAITED_FOR_SLOT},
    Step.RUN: {Cause.RAN_LONG},
}
skews = st.tuples(*[st.integers(-20_000, 20_000)] * 4)


@pytest.mark.parametrize(("step", "truth"), TRUTHS.items())
def test_cause_is_the_step_that_took_long(step, truth):
    told = explanation.explain(cases.JOB, cases.play(cases.Plan(step=step)))
    assert told.cause is truth
    assert told.ending is ending_lib.Ending.ANSWERED
    assert not told.missing
    assert (told.late_ms > 0) == (step is not None)


def test_queue_is_told_in_plain_words():
    plan = cases.Plan(step=Step.QUEUE, excess_ms=5_000)
    told = explanation.explain(cases.JOB, cases.play(plan))
    assert told.summary == (
        "Late by 2.1 s against its deadline of 3.0 s: 1 of 6 tasks waited "
        "behind a flood of `stock-check` on agent-valdosta-2 in Valdosta "
        "(5.0 s); it was answered once"
    )


def test_queue_behind_the_same_profile_is_told_apart():
    plan = cases.Plan(step=Step.QUEUE, ahead=cases.PROFILE)
    told = explanation.explain(cases.JOB, cases.play(plan))
    assert told.cause is Cause.QUEUED_BEHIND_OWN_WORK


def test_tasks_that_are_all_long_are_not_put_down_to_a_runner():
    plan = cases.Plan(all_long=True)
    told = explanation.explain(cases.JOB, cases.play(plan))
    assert told.cause is Cause.LONGER_THAN_DECLARED


def test_single_long_run_is_not_put_down_to_either_side():
    plan = cases.Plan(tasks=1, all_long=True)
    told = explanation.explain(cases.JOB, cases.play(plan))
    assert told.cause is Cause.RAN_LONG


@hypothesis.settings(derandomize=True, max_examples=150, deadline=None)
@hypothesis.given(skews, st.integers(1, 12), st.integers(0, 9), st.data())
def test_good_request_is_never_blamed(skews_ms, tasks, seed, data):
    events = cases.play(cases.Plan(tasks=tasks, skews_ms=skews_ms))
    kept = data.draw(st.lists(st.sampled_from(events), unique=True))
    told = explanation.explain(cases.JOB, cases.shuffle(kept, seed))
    assert told.cause in {Cause.ON_TIME, *OPEN_CAUSES}
    whole = explanation.explain(cases.JOB, cases.shuffle(events * 2, seed))
    assert whole.cause is Cause.ON_TIME
    assert len(whole.lines) == len(events)


@hypothesis.settings(derandomize=True, max_examples=150, deadline=None)
@hypothesis.given(
    skews,
    st.sampled_from([step for step in TRUTHS if step]),
    st.sets(st.sampled_from((cases.ENTRY, *cases.AGENTS))),
)
def test_missing_process_never_turns_into_a_wrong_cause(skews_ms, step, gone):
    plan = cases.Plan(step=step, skews_ms=skews_ms)
    rows = [row for row in cases.play(plan) if row.process not in gone]
    missing = [missing_lib.Missing(name, "does not answer") for name in gone]
    told = explanation.explain(cases.JOB, rows, missing)
    vague = PROVISIONAL_CAUSES.get(step, set())
    assert told.cause in {TRUTHS[step], Cause.NOT_KNOWN, *vague}
    assert {each.process for each in told.missing} == gone
    if told.cause is Cause.NOT_KNOWN:
        assert all(name in told.summary for name in sorted(gone)[:3])


@hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
@hypothesis.given(
    skews, st.sampled_from([step for step in TRUTHS if step]), st.data()
)
def test_late_request_is_never_blamed_for_lack_of_evidence(
    skews_ms, step, data
):
    events = cases.play(cases.Plan(step=step, skews_ms=skews_ms))
    lost = data.draw(st.sets(st.sampled_from(events), max_size=12))
    rows = [row for row in events if row not in lost]
    told = explanation.explain(cases.JOB, rows)
    vague = PROVISIONAL_CAUSES.get(step, set())
    assert told.cause in {TRUTHS[step], *OPEN_CAUSES, *vague}


@pytest.mark.parametrize("step", [step for step in TRUTHS if step])
def test_no_single_lost_event_leads_to_a_wrong_cause(step):
    events = cases.play(cases.Plan(step=step))
    right = {TRUTHS[step], *OPEN_CAUSES, *PROVISIONAL_CAUSES.get(step, set())}
    for lost in events:
        rows = [row for row in events if row != lost]
        assert explanation.explain(cases.JOB, rows).cause in right


def test_nothing_at_hand_is_said():
    told = explanation.explain(cases.JOB, [])
    assert told.cause is Cause.NOT_KNOWN
    assert told.summary == "No outcome on record: not known"
    assert told.lines == ()


@pytest.mark.parametrize("cause", sorted(cause_lib.CALLER_CAUSES))
def test_refusal_keeps_the_cause_that_the_entry_gave(cause):
    entry = cases.Node(cases.ENTRY, 0)
    cases.finish(entry, cases.Plan(), 2, ending_lib.Ending.NOT_RUN, cause)
    told = explanation.explain(cases.JOB, entry.recorder.find_job(cases.JOB))
    assert told.cause is cause
    assert told.summary.startswith("Refused, not run: ")
    assert told.summary.endswith("; none of it ran")


def test_passed_deadline_is_put_down_to_the_queue():
    rows = list(cases.play(cases.Plan(step=Step.QUEUE)))
    rows = [
        row
        for row in rows
        if row.task != 1 or row.kind in (Kind.SENT, Kind.QUEUED)
    ]
    rows = [
        row._replace(
            ending=ending_lib.Ending.FAILED, cause=Cause.DEADLINE_PASSED
        )
        if row.kind is Kind.FINISHED
        else row
        for row in rows
    ]
    told = explanation.explain(cases.JOB, rows)
    assert told.cause is Cause.QUEUED_BEHIND_OTHER_WORK
    assert told.summary.startswith("Failed: 1 of 6 tasks waited behind a flood")


def test_failed_task_names_its_runner():
    rows = []
    for row in cases.play(cases.Plan()):
        if row.task == 3 and row.kind is Kind.ANSWERED:
            row = row._replace(kind=Kind.BROKEN, cause=Cause.RUNNER_GARBAGE)
        if row.kind is Kind.FINISHED:
            row = row._replace(
                ending=ending_lib.Ending.FAILED, cause=Cause.RUNNER_GARBAGE
            )
        rows.append(row)
    told = explanation.explain(cases.JOB, rows)
    assert told.summary == (
        "Failed: the runner answered something unreadable (1 of 6 tasks, on "
        "agent-valdosta-1); the caller got no answer"
    )
