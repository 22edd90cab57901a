from __future__ import annotations

from skylarkcleat.discovery import election as election_lib
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
