"""Runners that fail what they start are held back, but never all of them."""

from __future__ import annotations

import pytest

from skylarkcleat.protocol import leasing
from skylarkcleat.protocol import scheduling
from skylarkcleat.scheduling import held_runners
from skylarkcleat.scheduling import placed_run
from skylarkcleat.scheduling import speed as speed_lib
from skylarkcleat.scheduling import worker as worker_lib
from skylarkcleat.wire import session as session_lib
from tests import scheduling_world as world_lib

RUNNERS = 65


def _create_worker(number, failures):
    register = leasing.Register(f"side-{number}", "z", 1, None, 0.0)
    speed = speed_lib.RunnerSpeed()
    for _ in range(failures):
        speed.record_failure(10.0)
    peer = session_lib.Endpoint(register.side, 1)
    return worker_lib.Worker(register, peer, 0.0, 0.0, speed, order=number)


def test_a_fault_of_all_runners_does_not_outlast_itself():
    """All were held for up to 8 s after a second in which every task failed."""
    fault = world_lib.Fault(tuple(range(RUNNERS)), 2.0, 1.0, fails=True)
    world = world_lib.Simulation(
        world_lib.Load(
            rate=RUNNERS / 11, runners=RUNNERS, length_s=8.0, faults=(fault,)
        )
    ).play()
    assert world.find_value_share() >= 0.8, world_lib.describe(world)


@pytest.mark.parametrize("failing", [1, 3, 8])
def test_at_most_half_of_the_runners_are_held(failing):
    workers = [_create_worker(n, 4 if n < failing else 0) for n in range(8)]
    held = held_runners.HeldRunners()
    count = sum(held.holds(each, lambda: workers, 10.1) for each in workers)
    assert count == min(failing, 4)


def test_after_a_hold_one_task_is_tried():
    """A runner that still fails drew as many tasks as it has room for."""
    worker = _create_worker(0, 2)
    held = held_runners.HeldRunners()
    assert held.holds(worker, lambda: [worker], 10.9)
    assert not held.holds(worker, lambda: [worker], 11.0)
    step = scheduling.Step(1, 1000, 64, 0, 100)
    worker.add(placed_run.PlacedRun("0.0.0.0", 1, step, 11.0, 0.1))
    assert held.holds(worker, lambda: [worker], 11.05)
    worker.speed.failures = 0
    assert not held.holds(worker, lambda: [worker], 11.1)
