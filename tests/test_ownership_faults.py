"""The whole chain from callers to runners, under faults in virtual time."""

from __future__ import annotations

import pytest

from skylarkcleat.protocol import scheduling
from tests import ownership_world as world_lib


@pytest.mark.parametrize("seed", range(24))
def test_no_task_runs_twice_at_the_same_time(seed, monkeypatch):
    world = world_lib.simulate(seed, world_lib.Faults(), monkeypatch)
    assert not world_lib.list_overlaps(world)
    assert not world_lib.list_false_refusals(world)
    assert world_lib.find_peak_cpu(world) <= world_lib.RUNNER_CPU


def test_all_jobs_complete_without_faults(monkeypatch):
    faults = world_lib.Faults(gap_s=1e9, unanswered_fraction=0.0)
    world = world_lib.simulate(1, faults, monkeypatch, jobs_per_s=2)
    last = [verdicts[-1] for verdicts in world.verdicts.values()]
    assert set(last) == {scheduling.Verdict.COMPLETED}
    assert len(last) > 20
