"""When a front fetches a version that it lacks."""

from __future__ import annotations

import pytest

from skylarkcleat import clock as clock_lib
from skylarkcleat.front import latest_version

HEARTBEAT_S = 0.08


@pytest.fixture
def play(monkeypatch):
    """Returns when fetches are due, with a heartbeat each 80 ms."""

    def run(versions, until):
        latest = latest_version.LatestVersion()
        now, fetched = 0.0, []
        monkeypatch.setattr(clock_lib, "read_monotonic", lambda: now)
        while now < until:
            number, held = versions(now)
            if latest.record(number, held):
                fetched.append(now)
            now += HEARTBEAT_S
        return fetched

    return run


# A large configuration was fetched ten times a second until its first copy had
# come through a thin link; the owner's heartbeats waited behind the copies.
def test_a_version_under_way_is_fetched_ever_less_often(play):
    fetched = play(lambda now: (2, 1), 1.5)
    assert len(fetched) <= 4
    assert fetched[1] - fetched[0] <= 0.25


def test_the_next_version_is_fetched_at_once(play):
    fetched = play(lambda now: (2, 1) if now < 1 else (3, 2 + (now > 2)), 3.0)
    later = [at for at in fetched if at >= 1]
    assert later[0] <= 1 + latest_version.MAX_FETCH_INTERVAL_S
