"""The line that tells why an owner may not send tasks to side processes."""

from __future__ import annotations

import collections

import pytest

from skylarkcleat.protocol import leasing
from skylarkcleat.scheduling import lease
from skylarkcleat.scheduling import speed as speed_lib
from skylarkcleat.scheduling import worker as worker_lib
from skylarkcleat.scheduling import worker_obstacle
from skylarkcleat.scheduling import worker_phase
from skylarkcleat.scheduling import workers_log
from skylarkcleat.wire import session as session_lib

RUNNER = leasing.Runner("i-1", 1, "desk", 8000, 1024, 0, (), False)
CLOSED = worker_phase.Closed


def create_worker(**changes):
    register = leasing.Register("side", "z", 1, RUNNER, 0.0)
    peer = session_lib.Endpoint("side", 1)
    worker = worker_lib.Worker(
        register, peer, 0.0, 0.0, speed_lib.RunnerSpeed()
    )
    worker.phase = worker_phase.Phase.READY
    for name, value in changes.items():
        setattr(worker, name, value)
    return worker


@pytest.mark.parametrize(
    ("changes", "obstacle"),
    [
        ({}, CLOSED.NONE),
        ({"phase": worker_phase.Phase.REPORTING}, CLOSED.REPORTING),
        ({"phase": worker_phase.Phase.OUTDATED}, CLOSED.OUTDATED),
        ({"runner": None}, CLOSED.NO_RUNNER),
        ({"runner": RUNNER._replace(draining=True)}, CLOSED.DRAINING),
        ({"unresponsive_since": 0.0}, CLOSED.UNRESPONSIVE),
        ({"open_at": 1.0}, CLOSED.TOO_NEW),
        ({"paused_until": 1.0}, CLOSED.PAUSED),
        ({"granted_at": -lease.FRONT_LEASE_S}, CLOSED.LEASE_LATE),
    ],
)
def test_a_worker_says_why_it_gets_no_tasks(changes, obstacle):
    worker = create_worker(**changes)
    assert worker_obstacle.find_obstacle(worker, 0.1) is obstacle
    assert worker.is_open(0.1) is (obstacle is CLOSED.NONE)


def test_counts_are_logged_when_they_change(log_lines):
    log = workers_log.WorkersLog(0.0)
    one = collections.Counter({CLOSED.NONE: 2, CLOSED.REPORTING: 1})
    other = collections.Counter({CLOSED.NONE: 3})
    for now, counts in ((0.0, one), (0.1, other), (0.6, other), (9, other)):
        log.record(counts, now)
    lines = [(line["open"], line["closed"]) for line in log_lines]
    assert lines == [(2, {"reporting": 1}), (3, {})]
