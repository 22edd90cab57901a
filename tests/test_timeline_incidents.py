from __future__ import annotations

import zlib

import msgspec
import pytest

from skylarkcleat.model import cause as cause_lib
from skylarkcleat.protocol import diagnostics
from skylarkcleat.timeline import delay as delay_lib
from skylarkcleat.timeline import explanation
from skylarkcleat.timeline import incident as incident_lib
from skylarkcleat.timeline import incident_codec
from skylarkcleat.timeline import kind as kind_lib
from skylarkcleat.timeline import queries
from skylarkcleat.timeline import reporter as reporter_lib
from skylarkcleat.timeline import summary as summary_lib
from tests import timeline_cases as cases

Cause = cause_lib.Cause
Kind = kind_lib.Kind
Trouble = incident_lib.Trouble
HOUR_MS = 3_600_000


@pytest.mark.parametrize("tasks", [2, 12, 120, 480])
def test_incident_is_compact_and_explains_the_same(tasks):
    incident = cases.build_late_incident(tasks)
    assert incident.trouble is Trouble.LATE
    assert incident.cause is Cause.QUEUED_BEHIND_OTHER_WORK
    assert len(incident.events) <= 4 * 5 + 4
    assert len(incident.events) + incident.omitted == 5 * tasks + 3
    told = explanation.explain(cases.JOB, [], incidents=[incident])
    assert told.cause is incident.cause
    assert told.summary == incident.summary
    assert f"1 of {tasks} tasks" in told.summary
    assert len(told.lines) == len(incident.events)
    slow = [row.kind.value for row in incident.events if row.task == 1]
    assert slow == ["sent", "queued", "started", "answered", "received"]


def test_incident_of_a_job_that_failed_everywhere_is_bounded():
    rows = [
        row._replace(kind=Kind.BROKEN, cause=Cause.RUNNER_ERROR)
        if row.kind is Kind.ANSWERED
        else row
        for row in cases.play(cases.Plan(tasks=480))
    ]
    incident = incident_lib.create_incident(
        cases.JOB, cases.ENTRY, cases.START_MS, Trouble.FAILED, rows
    )
    assert len(incident.events) == incident_lib.MAX_EVENTS
    assert len(incident.events) + incident.omitted == len(rows)


def test_stripped_incident_still_explains_itself():
    incident = incident_lib.strip_events(cases.build_late_incident(12))
    told = explanation.explain(cases.JOB, [], incidents=[incident])
    assert told.cause is Cause.QUEUED_BEHIND_OTHER_WORK
    assert told.summary == incident.summary


def test_clear_report_goes_before_a_vague_one():
    clear = cases.build_late_incident(12)
    vague = clear._replace(
        id="other", cause=Cause.WAITED_FOR_SLOT, summary="vague", omitted=999
    )
    told = explanation.explain(cases.JOB, [], incidents=[vague, clear])
    assert told.summary == clear.summary


def test_good_job_is_no_incident():
    assert incident_lib.find_trouble(cases.play(cases.Plan())) is None
    assert incident_lib.find_trouble([]) is None


def test_slowest_agents_are_the_witnesses():
    rows = [
        row
        for row in cases.play(
            cases.Plan(tasks=2, step=delay_lib.Step.RUN, names_last=True)
        )
        if row.process == cases.ENTRY
    ]
    names = incident_lib.choose_witnesses(rows, cases.JOB)
    assert names == cases.AGENTS[:2]


def test_report_and_ack_survive_the_wire():
    incidents = (cases.build_late_incident(12), cases.build_incident(1))
    packed = incident_codec.pack_incidents(incidents)
    report = diagnostics.IncidentReport(1, "entry", packed, 3)
    data = msgspec.msgpack.encode(report)
    again = msgspec.msgpack.decode(data, type=diagnostics.IncidentReport)
    assert again == report
    unpacked = incident_codec.unpack_incidents(again.packed)
    assert unpacked == incidents
    assert unpacked[0].events[0].kind is incidents[0].events[0].kind


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"junk",
        zlib.compress(b"\x93junk"),
        incident_codec.pack_incidents([])[:-1],
        zlib.compress(bytes(incident_codec.MAX_UNPACKED_BYTES + 1)),
    ],
)
def test_bad_packing_is_refused(data):
    with pytest.raises(incident_codec.InvalidIncidentsError):
        incident_codec.unpack_incidents(data)


def test_reporter_sends_until_acknowledged():
    reporter = reporter_lib.Reporter()
    incident = cases.build_incident(1)
    reporter.report(incident, 0.0)
    reporter.report(incident, 0.1)
    assert reporter.take_due(0.1).incidents == (incident,)
    assert reporter.take_due(1.0) is None
    assert reporter.take_due(2.2).incidents == (incident,)
    reporter.acknowledge([incident.id, "unknown"])
    assert reporter.take_due(9.0) is None
    assert reporter.pending == 0


def test_reporter_falls_back_to_causes_then_to_counts():
    reporter = reporter_lib.Reporter(bytes_per_s=1_000, burst_bytes=20_000)
    whole = cases.build_late_incident(12)
    for number in range(500):
        reporter.report(whole._replace(id=str(number)), 0.0)
    sent = [
        len(batch.incidents)
        for batch in iter(lambda: reporter.take_due(0.0), None)
    ]
    assert reporter.stripped > 0
    assert reporter.unrecorded > 0
    assert sum(sent) == reporter.pending
    assert sum(sent) + reporter.unrecorded == 500
    assert max(sent) <= reporter_lib.MAX_BATCH


def test_reporter_holds_a_bounded_number_while_control_is_away():
    reporter = reporter_lib.Reporter(burst_bytes=1e9, max_pending=10)
    for number in range(25):
        reporter.report(cases.build_incident(number), float(number))
    assert (reporter.pending, reporter.unrecorded) == (10, 15)


def test_incidents_are_handed_out_in_pieces():
    rows = [cases.build_incident(i) for i in range(600)]
    question = diagnostics.IncidentQuery(1, skip=0)
    got, done = [], False
    while not done:
        found = queries.answer_incident_inquiry(
            rows, 0, question._replace(skip=len(got))
        )
        got += incident_codec.unpack_incidents(found.packed)
        done = found.done
    assert got == rows


@pytest.mark.parametrize("direction", [1, -1])
def test_summary_counts_each_job_once_under_its_best_cause(direction):
    other = cases.build_incident(
        1,
        process="agent",
        id="job-1/agent/1",
        ending=None,
        cause=Cause.NOT_KNOWN,
        profile="",
    )
    late = cases.build_incident(3, cause=Cause.STRAGGLING_RUNNER, late_ms=900.0)
    outside = cases.build_incident(4, wall_ms=cases.START_MS + HOUR_MS)
    rows = [
        other,
        cases.build_incident(1),
        cases.build_incident(2),
        cases.build_incident(2),
        late,
        outside,
    ]
    found = summary_lib.summarize(
        rows[::direction], cases.START_MS, cases.START_MS + HOUR_MS
    )
    assert [(row.cause, row.jobs) for row in found.rows] == [
        (Cause.RUNNER_ERROR, 2),
        (Cause.STRAGGLING_RUNNER, 1),
    ]
    assert found.rows[0].samples == ("job-1", "job-2")
    assert found.rows[1].worst_late_ms == 900.0
