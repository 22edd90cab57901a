from __future__ import annotations

import pytest

from skylarkcleat.model import cause as cause_lib
from skylarkcleat.protocol import diagnostics
from skylarkcleat.timeline import account as account_lib
from skylarkcleat.timeline import clock as clock_lib
from skylarkcleat.timeline import delay as delay_lib
from skylarkcleat.timeline import ending as ending_lib
from skylarkcleat.timeline import incident as incident_lib
from skylarkcleat.timeline import incident_codec
from skylarkcleat.timeline import kind as kind_lib
from skylarkcleat.timeline import reporter as reporter_lib
from tests import timeline_cases as cases

Cause = cause_lib.Cause
Kind = kind_lib.Kind


@pytest.fixture
def account():
    return account_lib.Account(cases.ENTRY, "waycross")


def copy_events(account: account_lib.Account, step: delay_lib.Step | None):
    """Records a job as the entry saw it; returns what the agents saw."""
    events = cases.play(cases.Plan(step=step, names_last=True))
    for row in events:
        if row.process == cases.ENTRY:
            values = row._asdict()
            for name in ("stamp", "process", "zone"):
                del values[name]
            account.recorder.record(wall_ms=cases.START_MS, **values)
    return [row for row in events if row.process != cases.ENTRY]


def test_good_job_is_not_reported(account):
    copy_events(account, None)
    assert account.find_witnesses(cases.JOB) == ()
    assert account.close_job(cases.JOB, cases.START_MS, 1.0) is None
    assert account.take_report(1, 1.0) is None


def test_late_job_is_reported_with_what_the_witnesses_saw(account):
    seen = copy_events(account, delay_lib.Step.QUEUE)
    assert cases.AGENTS[1] in account.find_witnesses(cases.JOB)
    alone = account.close_job(cases.JOB, cases.START_MS, 1.0)
    assert alone.cause is Cause.WAITED_FOR_SLOT
    account.close_job(cases.JOB, cases.START_MS, 1.0, seen)
    report = account.take_report(7, 1.0)
    incidents = incident_codec.unpack_incidents(report.packed)
    assert incidents[-1].cause is Cause.QUEUED_BEHIND_OTHER_WORK
    ids = tuple(each.id for each in incidents)
    account.take_ack(diagnostics.IncidentAck(report.request, ids))
    assert account.take_report(8, 99.0) is None


def test_agent_reports_the_job_of_a_lost_entry():
    account = account_lib.Account(cases.AGENTS[0], "valdosta")
    names = {"task": 0, "attempt": 1, "epoch": 1, "peer": cases.ENTRY}
    account.recorder.record(Kind.STARTED, cases.START_MS, cases.JOB, **names)
    incident = account.close_lost(
        cases.JOB, cases.ENTRY, cases.START_MS + 9_000, 1.0
    )
    assert incident.cause is Cause.ENTRY_LOST
    assert incident.trouble is incident_lib.Trouble.ENTRY_LOST


def test_without_room_an_incident_is_counted_and_not_made(account):
    account.reporter = reporter_lib.Reporter(max_pending=1)
    for number in range(3):
        account.recorder.record(
            Kind.FINISHED,
            cases.START_MS,
            f"job-{number}",
            ending=ending_lib.Ending.FAILED,
            cause=Cause.RUNNER_ERROR,
        )
        account.close_job(f"job-{number}", cases.START_MS, 1.0)
    assert account.take_report(1, 1.0).unrecorded == 2


def test_wrong_clock_of_a_peer_is_recorded_and_not_followed(account):
    wrong = (cases.START_MS + 3_600_000) << clock_lib.COUNTER_BITS
    account.receive("agent-a-1", wrong, cases.START_MS)
    (fault,) = account.recorder.find_process_events()
    assert (fault.kind, fault.peer) == (Kind.CLOCK_FAULT, "agent-a-1")
    assert fault.duration_ms == 3_600_000
    assert clock_lib.read_ms(fault.stamp) == cases.START_MS


def test_events_are_handed_out_on_demand(account):
    copy_events(account, None)
    found = account.answer(diagnostics.EventQuery(3, cases.JOB))
    assert found.events == account.recorder.find_job(cases.JOB)
    assert (found.request, found.process) == (3, cases.ENTRY)
