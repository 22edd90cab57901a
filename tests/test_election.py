from __future__ import annotations

import pytest

from skylarkcleat.discovery import election as election_lib
from skylarkcleat.protocol import locating
from skylarkcleat.protocol import owning
from skylarkcleat.scheduling import lease
from skylarkcleat.wire import session as session_lib


def _claim(name, incarnation=1):
    me = session_lib.Endpoint(name, incarnation)
    election = election_lib.Election(me, 0, 0.0, 0.0)
    assert not election.tick(0.1)
    assert election.tick(election_lib.MIN_SEARCH_S)
    return election


def test_a_front_without_peers_claims_the_ownership():
    election = _claim("front-1")
    assert election.is_owner
    assert election.is_first


def test_no_two_claims_have_the_same_term():
    claims = [_claim("front-1"), _claim("front-2"), _claim("front-1", 2)]
    assert len({claim.followed.term for claim in claims}) == len(claims)
    assert all(claim.is_first for claim in claims)


def _hear(election, sender, term, now):
    heartbeat = owning.OwnerHeartbeat(term, (), now, 0, 1)
    return election.handle_heartbeat(sender, heartbeat, 0, now) is not None


@pytest.mark.parametrize("sender", ["front-2", "front-3"])
def test_a_front_follows_the_only_owner_left_whatever_its_term(sender):
    """An owner outlives one of a larger term, or a handover to it is lost."""
    me = session_lib.Endpoint("front-1", 1)
    election = election_lib.Election(me, 0, 0.0, 0.0)
    assert _hear(election, "front-2", 7_000_002, 0.0)
    lost_at = lease.OWNER_TIMEOUT_S
    assert not _hear(election, sender, 5_000_001, lost_at - 0.01)
    assert _hear(election, sender, 5_000_001, lost_at)
    assert election.followed == (sender, 5_000_001)


def test_an_owner_is_a_strong_front_without_a_disk_where_there_is_one():
    """The users' fronts: of the grown deployments, then of the small ones."""
    disk = election_lib.find_rank(True, 1.72, 200.0)
    strong = election_lib.find_rank(False, 1.29, 31.0)
    weak = election_lib.find_rank(False, 0.516, 12.5)
    assert strong < disk < weak
    assert election_lib.find_rank(False, 1.07, 1000.0) < disk


# A weak front that owned the jobs while all fronts with a disk were down was
# overloaded, and kept them for 20 s beside stronger fronts that followed it.
def test_an_owner_that_answers_late_hands_over_to_a_front_that_suits_better():
    election = _claim("front-2")
    election.rank = election_lib.find_rank(False, 0.516, 12.5)
    better = election_lib.find_rank(True, 1.72, 200.0)
    front = locating.FrontRef("front-1", "z", better, True, False, 0)
    view = locating.View(
        front, (), election.followed, 0, locating.LogRef(), (), 1
    )
    election.record_view(view, 1.0)
    delay_s = 2 * lease.FRONT_LEASE_S
    now = 1.0
    while now < 1.0 + 2 * election_lib.HANDOVER_AFTER_S:
        now += lease.HEARTBEAT_INTERVAL_S
        term = election.followed.term
        reply = owning.OwnerHeartbeatReply(term, now - delay_s)
        election.handle_heartbeat_reply(front.name, reply, now)
    assert election.find_successor(now, False) == front.name
