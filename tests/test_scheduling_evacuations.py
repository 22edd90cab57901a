"""What an owner does about evacuated zones."""

from __future__ import annotations

import itertools

import pytest

from skylarkcleat.configuration import content
from skylarkcleat.configuration import evacuations
from skylarkcleat.metrics import decisions
from skylarkcleat.protocol import leasing
from skylarkcleat.protocol import reporting
from skylarkcleat.protocol import scheduling
from skylarkcleat.scheduling import active_job
from skylarkcleat.scheduling import cold_start
from skylarkcleat.scheduling import owner as owner_lib
from skylarkcleat.scheduling import predecessor as predecessor_lib
from skylarkcleat.scheduling import workers as workers_lib
from skylarkcleat.scheduling import zones_in_use
from skylarkcleat.wire import session as session_lib

QUEUE = content.Queue("q", "h", "/p/", "desk", 1500, 60, 0, 2, 1.6)
FRONT = session_lib.Endpoint("front", 1)
LATER = workers_lib.GROWTH_WINDOW_S + 0.1
_JOBS = itertools.count(1)


def _evacuate(*zones, revision=1):
    states = [evacuations.ZoneState(zone, True, 9, revision) for zone in zones]
    return zones_in_use.ZonesInUse(revision, tuple(states))


def _register(owner, side, zone, now, labels=("a", "r1")):
    runner = leasing.Runner(side, 1, "desk", 2000, 1024, 0, labels, False)
    peer = session_lib.Endpoint(side, 1)
    owner.register(peer, leasing.Register(side, zone, 1, runner, now), now)
    owner.handle_side_report(side, reporting.Report(1, (), ()), now)
    owner.workers[side].open_at = now


@pytest.fixture
def owner():
    """An owner with a runner in each of two zones, that are not new."""
    made = owner_lib.Owner(FRONT, predecessor_lib.Predecessor(), 0.0)
    for side, zone in (("side-e", "east"), ("side-w", "west")):
        _register(made, side, zone, 0.0)
        made.workers[side].granted_at = LATER
    return made


def _submit(owner, tasks=1, requirement=""):
    step = scheduling.Step(tasks, 1000, 64, 0, 300, requirement=requirement)
    number = next(_JOBS)
    job = scheduling.Job(f"{number:016x}", "spec", (step,))
    message = scheduling.Submit(number, "h", "/p/", job, 0, 5000, 1)
    owner.submit(FRONT, message, QUEUE, LATER)


def _place(owner):
    """Returns the sides that tasks start on, and what else is sent."""
    owner.outbox.take()
    owner.place(LATER)
    owner.tick(LATER)
    sent = owner.outbox.take()
    starts = [o.peer.name for o in sent if isinstance(o.message, leasing.Start)]
    others = [
        o.message for o in sent if not isinstance(o.message, leasing.Start)
    ]
    return starts, others


# Guards against a start in an evacuated zone, a run there that is cut off, and
# a waiting task that is not placed elsewhere.
def test_runs_in_an_evacuated_zone_finish_and_others_start_elsewhere(owner):
    _submit(owner, tasks=4)
    assert sorted(_place(owner)[0]) == ["side-e"] * 2 + ["side-w"] * 2
    owner.update_zones(_evacuate("east"))
    _submit(owner)
    assert _place(owner) == ([], [])
    worker = owner.workers["side-w"]
    placed = next(iter(worker.runs.values()))
    end = leasing.End(1, placed.task, placed.run, leasing.Ending.DONE)
    owner.handle_side_report("side-w", reporting.Ended(1, (end,)), LATER)
    assert _place(owner)[0] == ["side-w"]
    assert len(owner.workers["side-e"].runs) == 2


# Guards against jobs that wait until they are late though no runner may take
# them, and against a refusal while one may.
@pytest.mark.parametrize(
    ("zones", "requirement", "is_refused"),
    [
        (("east", "west"), "", True),
        (("east",), "", False),
        (("east",), "only-east", True),
        (("west",), "only-east", False),
        (("east",), "nowhere", False),
    ],
)
def test_what_no_runner_may_take_is_refused_at_once(
    owner, zones, requirement, is_refused, log_lines
):
    _register(owner, "side-x", "east", 0.0, ("only-east", "r1"))
    owner.workers["side-x"].granted_at = LATER
    owner.update_zones(_evacuate(*zones))
    _submit(owner, requirement=requirement)
    starts, others = _place(owner)
    assert bool(others) == is_refused
    if is_refused:
        (reply,) = others
        assert reply.verdict is scheduling.Verdict.NOT_RUN
        assert reply.detail == active_job.NO_RUNNER
        assert not starts
    refused = {
        line["zone"]: line["refused"]
        for line in log_lines
        if line["message_type"] == "owner:evacuation"
    }
    assert refused == dict.fromkeys(zones, int(is_refused))


# Guards against a side that registers after the evacuation and gets tasks, and
# against an owner that refuses jobs while it only doesn't know.
def test_an_owner_that_is_not_certain_starts_and_refuses_nothing(owner):
    owner.update_zones(zones_in_use.ZonesInUse(1, (), False))
    _register(owner, "side-x", "north", 0.0)
    owner.workers["side-x"].granted_at = LATER
    _submit(owner)
    assert _place(owner) == ([], [])
    owner.update_zones(_evacuate("east", "west"))
    assert _place(owner)[0] == ["side-x"]


# Guards against a cold runner that gets as many tasks as a warm one, that gets
# none, and that counts as slow once it is warm.
def test_a_cold_runner_gets_tasks_after_a_warm_one(owner):
    worker = owner.workers["side-e"]
    cold = worker.runner._replace(cold_ms=500)
    peer = session_lib.Endpoint("side-e", 1)
    owner.renew(peer, leasing.Renew(1, 0.0, cold), LATER)
    _submit(owner, tasks=2)
    assert _place(owner)[0] == ["side-w"] * 2
    _submit(owner)
    assert _place(owner)[0] == ["side-e"]
    worker.update_factor(LATER + 0.49)
    assert worker.factor == cold_start.COLD_FACTOR
    worker.update_factor(LATER + 0.51)
    assert worker.factor == 1.0


# Guards against gauges that go on showing an evacuation that is over.
def test_gauges_show_the_evacuated_zones():
    metrics = decisions.DecisionMetrics()
    left = {"zone": "east", "runs": 3, "refused": 2}
    metrics({"message_type": "front:evacuations", "since_ms": {"east": 5000}})
    metrics({"message_type": "owner:evacuation", **left})
    text = metrics.render(["text/plain"], 0)[0].decode()
    assert 'skylarkcleat_zone_evacuated_since_seconds{zone="east"} 5' in text
    assert 'skylarkcleat_zone_runs_left{zone="east"} 3' in text
    assert 'skylarkcleat_zone_jobs_refused{zone="east"} 2' in text
    metrics({"message_type": "front:evacuations", "since_ms": {}})
    metrics({"message_type": "owner:ended"})
    text = metrics.render(["text/plain"], 0)[0].decode()
    assert text.count('{zone="east"} 0') == 3
