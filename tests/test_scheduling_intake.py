"""Jobs that come faster than an owner has processor time to take them up."""

from __future__ import annotations

import pytest

from skylarkcleat.configuration import content
from skylarkcleat.protocol import scheduling
from skylarkcleat.scheduling import intake as intake_lib
from skylarkcleat.wire import session as session_lib

FRONT = session_lib.Endpoint("front-1", 1)
OTHER = session_lib.Endpoint("front-2", 1)
QUEUE = content.Queue("q", "h", "/p/", "desk", 1500, 60, 0, 2, 1.6)
CAPACITY_PER_S = 600
TAKE_S = 1 / CAPACITY_PER_S
REFUSE_S = TAKE_S / 10
OVERLOAD = (1000, 3.0)
AFTER = (400, 3.0)


def _pend(request, now, work_ms=200, peer=FRONT, **changes):
    job = scheduling.Job(
        f"{request:016x}", "", (scheduling.Step(1, 1000, 64, 0, work_ms),)
    )
    message = scheduling.Submit(request, "h", "/p/", job, 0, 5000, 1, **changes)
    return intake_lib.create_pending(peer, message, QUEUE, now)


def _list_arrivals():
    now, arrivals = 0.0, []
    for per_s, for_s in (OVERLOAD, AFTER):
        until = now + for_s
        while now < until:
            arrivals.append(now)
            now += 1 / per_s
    return arrivals


def _replay():
    """Returns when each job in time was taken up, and the longest wait."""
    intake, arrivals = intake_lib.Intake(), _list_arrivals()[::-1]
    taken, now, longest = [], 0.0, 0.0
    while arrivals or len(intake):
        while arrivals and arrivals[-1] <= now:
            intake.add(_pend(len(arrivals), arrivals.pop()))
        now += REFUSE_S * len(intake.take_late(now))
        pending = intake.take(now)
        if pending is None:
            now = max(now, arrivals[-1]) if arrivals else now
            continue
        now += TAKE_S
        longest = max(longest, now - pending.received_at)
        if now < pending.due_at:
            taken.append(now)
    return taken, longest


# Goodput fell to a tenth once jobs came faster than they were taken up, and
# stayed there: each was taken up when its caller was about to leave.
def test_goodput_stays_near_capacity_in_an_overload_and_after():
    taken, _ = _replay()
    during = sum(now < OVERLOAD[1] for now in taken) / OVERLOAD[1]
    assert during >= 0.9 * CAPACITY_PER_S
    begin, end = OVERLOAD[1] + 1, OVERLOAD[1] + AFTER[1]
    after = sum(begin <= now < end for now in taken) / (end - begin)
    assert after >= 0.99 * AFTER[0]


def test_no_job_waits_for_longer_than_it_can():
    _, longest = _replay()
    slack_s = 0.6 * 0.2 + 0.06
    assert longest <= slack_s + 0.01


def test_without_congestion_jobs_are_taken_up_in_order():
    intake = intake_lib.Intake()
    for request in (1, 2, 3):
        intake.add(_pend(request, 0.0))
    found = [intake.take(0.01).message.request for _ in range(3)]
    assert found == [1, 2, 3]


def test_a_late_job_is_taken_up_while_there_is_time_for_it():
    intake = intake_lib.Intake()
    late = _pend(1, 10.0, heartbeat_at=1.0, since_heartbeat_ms=50)
    assert late.due_at < 10.0
    intake.add(late)
    assert not intake.take_late(10.0)
    assert intake.take(10.0) == late


# The age counted from when the owner took a job up, whatever it had waited in
# sockets and queues before.
@pytest.mark.parametrize(
    ("heartbeat_at", "since_ms", "transit_s"),
    [(0.0, 0, 0.0), (9.0, 300, 0.7), (9.9, 200, 0.0)],
    ids=["no heartbeat", "waited", "ahead"],
)
def test_a_job_is_as_old_as_its_way_was_long(heartbeat_at, since_ms, transit_s):
    changes = {"heartbeat_at": heartbeat_at, "since_heartbeat_ms": since_ms}
    pending = _pend(1, 10.0, **changes)
    assert pending.sent_at == pytest.approx(10.0 - transit_s)


def test_a_job_that_is_sent_again_is_taken_up_once():
    intake = intake_lib.Intake()
    for _ in range(2):
        intake.add(_pend(1, 0.0))
    assert intake.take(0.0) is not None
    assert intake.take(0.0) is None


def test_jobs_of_callers_and_fronts_that_have_gone_are_not_taken_up():
    intake = intake_lib.Intake()
    for request, peer in ((1, FRONT), (2, FRONT), (3, OTHER)):
        intake.add(_pend(request, 0.0, peer=peer))
    assert intake.discard(FRONT, 1)
    assert not intake.discard(FRONT, 1)
    intake.discard_front(OTHER.name)
    assert intake.take_job(f"{2:016x}").message.request == 2
    assert len(intake) == 0
