from __future__ import annotations

import pytest

from skylarkcleat.configuration import content
from skylarkcleat.protocol import leasing
from skylarkcleat.protocol import reporting
from skylarkcleat.protocol import scheduling
from skylarkcleat.scheduling import owner as owner_lib
from skylarkcleat.scheduling import placed_run
from skylarkcleat.scheduling import predecessor as predecessor_lib
from skylarkcleat.scheduling import speed as speed_lib
from skylarkcleat.scheduling import worker as worker_lib
from skylarkcleat.wire import session as session_lib

LOCAL = session_lib.Endpoint("front", 1)
SIDE = session_lib.Endpoint("side-1", 1)
QUEUE = content.Queue("q", "h", "/p/", "desk", 1500, 60, 0, 4, 1.6)


def _register(owner):
    runner = leasing.Runner(
        "i-1", 1, "desk", 64000, 65536, 0, ("a", "r1"), False
    )
    register = leasing.Register("side-1", "z", 1, runner, 0.0)
    owner.register(SIDE, register, 0.0)
    owner.handle_side_report("side-1", reporting.Report(1, (), ()), 0.0)
    owner.workers["side-1"].open_at = 0.0


@pytest.mark.parametrize("slower", [0.5, 1.6, 6.0])
def test_tasks_that_end_together_yield_the_factor_of_the_runner(slower):
    owner = owner_lib.Owner(LOCAL, predecessor_lib.Predecessor(), 0.0)
    _register(owner)
    step = scheduling.Step(32, 1000, 64, 0, 100)
    job = scheduling.Job("0" * 16, "spec", (step,))
    submit = scheduling.Submit(1, "h", "/p/", job, 0, 5000, 1)
    owner.submit(LOCAL, submit, QUEUE, 0.0)
    owner.place(0.0)
    starts = [
        order.message
        for order in owner.outbox.take()
        if isinstance(order.message, leasing.Start)
    ]
    assert len(starts) == 32
    ends = tuple(
        leasing.End(number, start.task, start.run, leasing.Ending.DONE)
        for number, start in enumerate(starts, 1)
    )
    owner.handle_side_report("side-1", reporting.Ended(1, ends), 0.1 * slower)
    factor = owner.workers["side-1"].speed.find_factor(0.1 * slower)
    assert 0.6 * slower < factor < 1.4 * slower


def test_a_runner_with_overdue_runs_counts_as_slow():
    speed = speed_lib.RunnerSpeed()
    assert speed.find_current_factor(1.0, [0.2, 1.4]) == 1.0
    late = speed.find_current_factor(1.0, [3.0, 3.0])
    assert late > 1.5
    assert speed.find_current_factor(1.0, [3.0] * 50) <= 3.01


@pytest.mark.parametrize(("jobs", "is_slow"), [(1, False), (4, True)])
def test_the_late_tasks_of_one_job_count_once(jobs, is_slow):
    register = leasing.Register("side-1", "z", 1, None, 0.0)
    speed = speed_lib.RunnerSpeed()
    worker = worker_lib.Worker(register, SIDE, 0.0, 0.0, speed)
    step = scheduling.Step(8, 1000, 64, 0, 100)
    for number in range(8):
        job = f"{number % jobs:016x}"
        placed = placed_run.PlacedRun(f"{job}.0.0.{number}", 1, step, 0.0, 0.1)
        worker.add(placed)
    worker.update_factor(0.3)
    assert (worker.factor > 1.6) is is_slow
