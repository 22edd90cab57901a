from __future__ import annotations

import pytest

from skylarkcleat.protocol import scheduling
from tests import ownership_checks as checks_lib
from tests import ownership_growth as growth_lib
from tests import ownership_runner

Growth = growth_lib.Growth
Trouble = growth_lib.Trouble

CASES = [
    Growth(Trouble.NONE, added_before_s=0.5),
    Growth(Trouble.FROZEN),
    Growth(Trouble.FROZEN, added_before_s=0.5),
    Growth(Trouble.FROZEN, added_before_s=0.5, replaces=True),
    Growth(Trouble.FROZEN, woken_after_s=-0.15, is_paused=True),
    Growth(Trouble.HELD_BACK, added_before_s=0.5),
    Growth(Trouble.HELD_BACK, added_before_s=0.5, replaces=True),
    Growth(Trouble.HELD_BACK, added_before_s=0.5, is_paused=True),
    Growth(Trouble.UNHEARD),
    Growth(Trouble.UNHEARD, added_before_s=0.5, replaces=True),
]


# TWICE (review/6): a front took over that had missed the names of new side
# processes, and took its list for complete since it had handled a heartbeat.
@pytest.mark.parametrize("growth", CASES)
@pytest.mark.parametrize("seed", range(8))
def test_a_successor_that_missed_new_side_processes_starts_nothing_twice(
    seed, growth, monkeypatch
):
    world = growth_lib.simulate(seed, growth, monkeypatch)
    assert not checks_lib.list_overlaps(world)
    assert not checks_lib.list_false_refusals(world)
    assert checks_lib.find_peak_cpu(world) <= ownership_runner.CPU
    if growth.trouble is not Trouble.UNHEARD:
        # Else the former owner's front still hears nobody.
        assert set(world.late_verdicts) == {scheduling.Verdict.COMPLETED}
