"""Tasks that crash the runners which start them, and those beside them."""

from __future__ import annotations

import pytest

from skylarkcleat.protocol import leasing
from skylarkcleat.protocol import reporting
from skylarkcleat.protocol import scheduling
from skylarkcleat.scheduling import crashes as crashes_lib
from tests import scheduling_world as world_lib

SEEDS = (1, 2, 3)


FRESH = (0.03, True)
OLD = (5.0, True)
UNANSWERED = (0.03, False)
ALONE = (0.03, True, True)


@pytest.mark.parametrize(
    ("losses", "is_deadly"),
    [
        ((), False),
        ((FRESH,), False),
        ((FRESH, FRESH), True),
        ((FRESH, OLD, OLD), False),
        ((OLD, FRESH, OLD, FRESH), True),
        ((OLD, OLD, OLD), False),
        ((OLD, OLD, OLD, OLD), True),
        # LOST: a task was given up though it had run on one runner only.
        ((FRESH, UNANSWERED), False),
        ((UNANSWERED, UNANSWERED), False),
        ((FRESH, UNANSWERED, UNANSWERED), True),
        ((UNANSWERED, UNANSWERED, UNANSWERED), True),
        ((OLD, UNANSWERED, UNANSWERED), False),
    ],
)
def test_a_task_is_given_up_after_two_crashes_at_its_start(losses, is_deadly):
    crashes = crashes_lib.Crashes()
    for run_s, is_certain in losses:
        crashes = crashes.add(run_s, is_certain)
    assert crashes.is_deadly is is_deadly


def _play(seed, share, **changes):
    deadly = world_lib.DeadlyTasks("stock", share, 5, 10, **changes)
    load = world_lib.Load(seed=seed, length_s=20, deadly=deadly)
    return world_lib.Simulation(load).play()


@pytest.fixture(scope="module", params=SEEDS)
def world(request):
    return _play(request.param, 0.03)


# BUDGET: a task that crashes its runners is not started again and again.
def test_a_deadly_task_crashes_two_runners_at_most(world):
    assert world.crashes
    assert max(world.crashes.values()) == crashes_lib.MAX_CRASHES


def test_a_deadly_job_is_answered_as_failed(world):
    verdicts = {o.verdict for o in world.outcomes if o.is_deadly}
    assert verdicts == {scheduling.Verdict.FAILED}


def test_no_more_value_is_lost_than_runner_time(world):
    deadly, load = world.load.deadly, world.load
    lost_s = sum(world.crashes.values()) * (deadly.down_s + deadly.lost_s)
    left = 1 - lost_s / (load.runners * load.length_s)
    assert world.find_value_share() >= left, world_lib.describe(world)


@pytest.mark.parametrize("seed", SEEDS)
def test_hardly_a_job_beside_deadly_ones_is_given_up(seed):
    world = _play(seed, 0.1)
    others = [o for o in world.outcomes if not o.is_deadly]
    failed = [o for o in others if o.verdict is scheduling.Verdict.FAILED]
    assert len(failed) <= len(others) / 100


# A task may crash its runner late, when it looks like those beside it.
@pytest.mark.parametrize("seed", SEEDS)
def test_a_task_that_crashes_late_is_started_four_times_at_most(seed):
    world = _play(seed, 0.03, crash_s=0.4)
    assert max(world.crashes.values()) <= crashes_lib.MAX_LOSSES


# Tasks that one crash had made suspects began again on one runner together, so
# that its crash was put down to each of them.
def test_suspects_of_one_crash_begin_again_on_different_runners():
    world = world_lib.Simulation(world_lib.Load(runners=3, speeds=(1.0,)))
    for runner in range(3):
        world._register(runner)
    owner = world.owner
    step = scheduling.Step(2, 1000, 64, 0, 100)
    job = scheduling.Job("5c0e7a21d94b36f8", "spec", (step,))
    queue = world._queues["stock"]
    for task in ("5c0e7a21d94b36f8.0.0.0", "5c0e7a21d94b36f8.0.0.1"):
        owner._jobs.recent.record_crash(task, 0.01, True, False)
    submit = scheduling.Submit(1, "h", "/p/", job, 4, 10_000, 1)
    owner.submit(world_lib.FRONT, submit, queue, 0.1)
    owner.place(0.1)
    starts = [
        outgoing.peer.name
        for outgoing in owner.outbox.take()
        if isinstance(outgoing.message, leasing.Start)
    ]
    assert len(set(starts)) == 2


@pytest.mark.parametrize(
    ("losses", "is_proven"),
    [
        ((FRESH, FRESH), False),
        ((FRESH, FRESH, FRESH), False),
        ((ALONE,), False),
        ((FRESH, ALONE), True),
        ((ALONE, OLD, FRESH), True),
        ((OLD, OLD, OLD, OLD, ALONE), False),
        ((ALONE, UNANSWERED, UNANSWERED), False),
    ],
)
def test_a_task_is_proven_deadly_by_a_crash_where_it_had_begun_alone(
    losses, is_proven
):
    crashes = crashes_lib.Crashes()
    for loss in losses:
        crashes = crashes.add(*loss)
    assert crashes.is_proven is is_proven


# LOST: jobs were called failed that had only run beside tasks that crash their
# runners: at four losses, or twice begun a moment before.
@pytest.mark.parametrize("seed", [4, 6])
def test_no_job_beside_deadly_ones_is_called_failed(seed):
    world = _play(seed, 0.1)
    others = [o for o in world.outcomes if not o.is_deadly]
    assert not [o for o in others if o.verdict is scheduling.Verdict.FAILED]


# The same: a job that lost four runners may be sent again, and then runs.
def test_a_job_under_which_four_runners_were_lost_may_be_sent_again():
    world = world_lib.Simulation(world_lib.Load(runners=6, speeds=(1.0,)))
    for runner in range(6):
        world._register(runner)
    step = scheduling.Step(1, 1000, 64, 0, 4000)
    job = scheduling.Job("5c0e7a21d94b36f8", "spec", (step,))
    _submit(world, job, 1, 0.1)
    for number in range(1, crashes_lib.MAX_LOSSES):
        assert not _lose_runner(world, job, 0.1 + 0.2 * number)
    assert _lose_runner(world, job, 1.0) == [scheduling.Verdict.UNCERTAIN]
    _submit(world, job, 2, 2.3)
    assert world.owner.jobs[job.id].started
    assert _lose_runner(world, job, 2.5) == [scheduling.Verdict.UNCERTAIN]


def _submit(world, job, number, now):
    queue = world._queues["stock"]
    submit = scheduling.Submit(number, "h", "/p/", job, 4, 10_000, 1)
    world.owner.submit(world_lib.FRONT, submit, queue, now)
    _place(world, now)


def _place(world, now):
    for runner in range(world.load.runners):
        world._renew(runner)(now)
    world.owner.place(now)


def _lose_runner(world, job, now):
    """Loses the runner of a job's only task; returns the verdicts given."""
    task = world.owner.jobs[job.id].tasks[0]
    epoch = world.owner.workers[task.side].epoch
    run = leasing.Run(task.name, task.run, 1000, 64, 0)
    lost = reporting.RunnerLost(epoch, (run,))
    world.owner.handle_side_report(task.side, lost, now)
    _place(world, now)
    messages = [outgoing.message for outgoing in world.owner.outbox.take()]
    return [m.verdict for m in messages if isinstance(m, scheduling.Reply)]
