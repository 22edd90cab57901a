"""Evacuations under virtual time: which zones tasks start in, and when."""

from __future__ import annotations

import pytest

from tests import ownership_checks as checks_lib
from tests import ownership_zones as zones_lib

EVACUATE_S = 5.0
HEARTBEAT_S = 0.3
"""A heartbeat of the owner, and a start that was under way to its runner."""

_World = zones_lib.ZonedWorld
PLAYS = {
    "east": (("east",), lambda *_: None, HEARTBEAT_S),
    "west": (("west",), lambda *_: None, HEARTBEAT_S),
    "both": (zones_lib.ZONES, lambda *_: None, HEARTBEAT_S),
    "lost-east": (("east",), _World.lose_owner, EVACUATE_S),
    "lost-west": (("west",), _World.lose_owner, EVACUATE_S),
    "leader": (("east",), _World.lose_leader, HEARTBEAT_S),
    "late": (("west",), _World.hold_up_owner, EVACUATE_S),
    "cut-east": (("east",), _World.cut_owner_off, EVACUATE_S),
    "cut-west": (("west",), _World.cut_owner_off, EVACUATE_S),
}


# Guards against an owner that goes on starting tasks in an evacuated zone: its
# own, the one with most disks (`east`), both zones, as it is lost, as the
# log's leader is, as all that it hears is late, and as it is cut off together
# with the zone.
@pytest.mark.parametrize(
    ("zones", "trouble", "within_s"), PLAYS.values(), ids=PLAYS
)
@pytest.mark.parametrize("seed", range(2))
def test_no_task_starts_in_an_evacuated_zone(
    seed, zones, trouble, within_s, monkeypatch
):
    world = zones_lib.simulate(seed, zones, trouble, monkeypatch)
    since = world.in_force_at + within_s
    assert not world.list_starts(zones, since, world.ended_at)
    others = set(zones_lib.ZONES) - set(zones)
    assert not others or world.list_starts(others, since, world.ended_at)
    assert world.list_starts(zones, world.back_at, float("inf"))
    assert not checks_lib.list_overlaps(world)
    assert not checks_lib.list_false_refusals(world)
