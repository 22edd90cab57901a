from __future__ import annotations

import pytest

from skylarkcleat.front import pause as pause_lib
from skylarkcleat.protocol import scheduling
from tests import ownership_checks as checks_lib
from tests import ownership_pauses

TICK_S = 0.02


# TWICE: a front that had stood still sent a job to its owner before it noticed
# that the caller had gone, and had sent the job again beside another owner.
@pytest.mark.parametrize("sent_before_s", [0.3, -0.2])
@pytest.mark.parametrize("seed", range(8))
def test_a_front_that_stood_still_starts_nothing_for_callers_who_have_left(
    seed, sent_before_s, monkeypatch
):
    world = ownership_pauses.simulate(seed, sent_before_s, monkeypatch)
    assert not checks_lib.list_overlaps(world)
    assert world.late_verdicts == [scheduling.Verdict.COMPLETED]


def test_a_long_pause_is_noticed_before_and_after_the_next_tick(log_lines):
    pauses = pause_lib.PauseWatch(TICK_S, 0.0)
    pauses.tick(0.02)
    assert not pauses.is_recovering(0.04)
    resumed_at = 0.04 + pause_lib.LONG_PAUSE_S
    assert pauses.is_recovering(resumed_at)
    pauses.tick(resumed_at)
    pauses.tick(resumed_at + TICK_S)
    assert pauses.is_recovering(resumed_at + TICK_S)
    assert not pauses.is_recovering(resumed_at + pause_lib.RECOVERY_S)
    (line,) = log_lines
    assert (line["message_type"], line["late_ms"]) == ("front:paused", 1000)


def test_a_short_pause_holds_nothing_up(log_lines):
    pauses = pause_lib.PauseWatch(TICK_S, 0.0)
    pauses.tick(0.5)
    assert not pauses.is_recovering(0.5)
    assert [line["late_ms"] for line in log_lines] == [480]
