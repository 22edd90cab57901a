"""Replays of loads far above the capacity, on the runners of a deployment.

Guard against two failures that were seen: decisions that cost more the more
jobs wait, and queues that get their results by accident.
"""

from __future__ import annotations

import pytest

from tests import scheduling_world as world_lib

RUNNERS = 65
MAX_VISITED_PER_TASK = 100
"""Entries and blocks of the room index that are looked at for a task. It was
327 in the burst and 678 behind 2,000 jobs, and is 30 without a backlog."""


def _play(rate, bursts=(), length_s=5.0, runners=RUNNERS):
    load = world_lib.Load(
        rate=rate * runners / 11,
        runners=runners,
        length_s=length_s,
        bursts=bursts,
    )
    return world_lib.Simulation(load).play()


@pytest.mark.parametrize(
    ("factor", "for_s", "length_s"), [(2.5, 4.0, 5.0), (40, 1.0, 3.0)]
)
def test_a_backlog_does_not_raise_the_cost_of_a_decision(
    factor, for_s, length_s
):
    """The second burst leaves 2,000 jobs that wait."""
    burst = world_lib.Burst("fit", 0.5, for_s, factor)
    world = _play(1.6, (burst,), length_s)
    rooms = world.owner.find_rooms(world_lib.UPSTREAM, 25.0)
    visited = rooms.visited / len(world.runs)
    assert visited <= MAX_VISITED_PER_TASK
