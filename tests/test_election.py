from __future__ import annotations

import pytest

from skylarkcleat.discovery import election as election_lib
from skylarkcleat.discovery import heartbeat_age
from skylarkcleat.discovery import owner_search
from skylarkcleat.discovery import rank as rank_lib
from skylarkcleat.discovery import successors
from skylarkcleat.protocol import locating
from skylarkcleat.protocol import owning
from skylarkcleat.scheduling import lease
from skylarkcleat.wire import session as session_lib


def _claim(name, incarnation=1):
    me = session_lib.Endpoint(name, incarnation)
    election = election_lib.Election(me, 0, 0.0, 0.0)
    assert not election.tick(0.1)
    assert election.tick(owner_search.MIN_SEARCH_S)
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
    disk = rank_lib.find_rank(True, 1.72, 200.0)
    strong = rank_lib.find_rank(False, 1.29, 31.0)
    weak = rank_lib.find_rank(False, 0.516, 12.5)
    assert strong < disk < weak
    assert rank_lib.find_rank(False, 1.07, 1000.0) < disk


# A weak front that owned the jobs while all fronts with a disk were down was
# overloaded, and kept them for 20 s beside stronger fronts that followed it.
def test_an_owner_that_answers_late_hands_over_to_a_front_that_suits_better():
    election = _claim("front-2")
    election.rank = rank_lib.find_rank(False, 0.516, 12.5)
    better = rank_lib.find_rank(True, 1.72, 200.0)
    front = locating.FrontRef("front-1", "z", better, True, False, 0)
    view = locating.View(
        front, (), election.followed, 0, locating.LogRef(), (), 1
    )
    election.record_view(view, 1.0)
    delay_s = 2 * lease.FRONT_LEASE_S
    now = 1.0
    while now < 1.0 + 2 * successors.HANDOVER_AFTER_S:
        now += lease.HEARTBEAT_INTERVAL_S
        term = election.followed.term
        reply = owning.OwnerHeartbeatReply(term, now - delay_s)
        election.handle_heartbeat_reply(front.name, reply, now)
    assert election.find_successor(now, False) == front.name


WEAK = rank_lib.find_rank(False, 0.516, 12.5)
STRONG = rank_lib.find_rank(True, 1.72, 200.0)
DELAYS_S = (0.0, 2 * lease.FRONT_LEASE_S, 2 * lease.SIDE_LEASE_S)
"""How late an owner handles replies."""


@pytest.fixture(params=DELAYS_S)
def delay_s(request):
    return request.param


def _own(rank, followers):
    """Returns an owner that knows the ranks of its followers."""
    election = _claim("front-9")
    election.rank = rank
    for name, its_rank in followers.items():
        front = locating.FrontRef(name, "z", its_rank, True, False, 0)
        view = locating.View(
            front, (), election.followed, 0, locating.LogRef(), (), 1
        )
        election.record_view(view, 1.0)
    return election


def _reply(election, names, delay_s, begin, end):
    """Lets fronts reply to the heartbeats that were sent in a time.

    Returns:
        When the last reply was handled.
    """
    sent_at = begin
    while sent_at < end:
        for name in names:
            reply = owning.OwnerHeartbeatReply(election.followed.term, sent_at)
            election.handle_heartbeat_reply(name, reply, sent_at + delay_s)
        sent_at += lease.HEARTBEAT_INTERVAL_S
    return sent_at - lease.HEARTBEAT_INTERVAL_S + delay_s


def test_a_late_owner_stays_beside_fronts_that_suit_no_better(delay_s):
    election = _own(STRONG, {"front-1": WEAK, "front-2": STRONG})
    now = _reply(election, ["front-1", "front-2"], delay_s, 1.0, 6.0)
    assert not election.find_successor(now, False)


@pytest.mark.parametrize("is_stopping", [False, True])
def test_a_follower_that_is_gone_is_no_successor(delay_s, is_stopping):
    """The others still reply, which a late owner learns late."""
    election = _own(WEAK, {"front-1": STRONG, "front-2": STRONG + 1})
    _reply(election, ["front-1", "front-2"], delay_s, 1.0, 6.0)
    lost_at = 6.0 + 2 * lease.FRONT_LEASE_S
    now = _reply(election, ["front-2"], delay_s, 6.0, lost_at)
    assert election.find_successor(now, is_stopping) == "front-2"


@pytest.mark.parametrize("is_stopping", [False, True])
def test_an_owner_that_hears_nobody_has_no_successor(delay_s, is_stopping):
    election = _own(WEAK, {"front-1": STRONG})
    now = _reply(election, ["front-1"], delay_s, 1.0, 6.0)
    assert election.find_successor(now, is_stopping)
    now += lease.FRONT_LEASE_S + 0.01
    assert not election.find_successor(now, is_stopping)


@pytest.mark.parametrize("is_frozen", [False, True])
def test_a_follower_that_was_away_has_to_follow_again(delay_s, is_frozen):
    """One that was frozen replies to the heartbeats of that time afterwards."""
    election = _own(WEAK, {"front-1": STRONG})
    _reply(election, ["front-1"], delay_s, 1.0, 6.0)
    back_at = 6.0 + 2 * lease.SIDE_LEASE_S
    sent_at = 6.0
    while is_frozen and sent_at < back_at:
        reply = owning.OwnerHeartbeatReply(election.followed.term, sent_at)
        election.handle_heartbeat_reply("front-1", reply, back_at + delay_s)
        sent_at += lease.HEARTBEAT_INTERVAL_S
    end = back_at + successors.HANDOVER_AFTER_S
    now = _reply(election, ["front-1"], delay_s, back_at, end - 0.1)
    assert not election.find_successor(now, False)
    now = _reply(election, ["front-1"], delay_s, end - 0.1, end + 0.2)
    assert election.find_successor(now, False) == "front-1"


def test_a_gap_counts_though_a_backlog_that_ends_hides_it():
    election = _own(WEAK, {"front-1": STRONG})
    gap_s = 2 * lease.SIDE_LEASE_S
    _reply(election, ["front-1"], gap_s, 1.0, 6.0)
    now = _reply(election, ["front-1"], 0.0, 6.0 + gap_s, 6.2 + gap_s)
    assert not election.find_successor(now, False)


def _tick_until_claim(election, begin):
    """Returns when a front that hears nothing claims the jobs."""
    now = begin
    while not election.is_owner:
        now += 0.02
        election.tick(now)
        assert now < begin + 60.0
    return now


def test_a_late_owner_that_handed_over_waits_for_late_heartbeats(delay_s):
    """Else it claimed the jobs before it had handled its successor's."""
    election = _own(WEAK, {"front-1": STRONG})
    now = _reply(election, ["front-1"], delay_s, 1.0, 6.0)
    election.resign("front-1", now)
    waited_s = _tick_until_claim(election, now) - now
    assert waited_s >= lease.OWNER_TIMEOUT_S + delay_s


def test_a_very_late_owner_claims_again_in_bounded_time():
    election = _own(WEAK, {"front-1": STRONG})
    now = _reply(election, ["front-1"], 60.0, 1.0, 6.0)
    election.resign("front-1", now)
    waited_s = _tick_until_claim(election, now) - now
    most_s = lease.OWNER_TIMEOUT_S + election_lib.MAX_CLAIM_DELAY_S
    assert waited_s <= most_s + 0.1


# Fronts waited for one that had handed over, while its successor was lost.
def test_others_do_not_wait_for_an_owner_that_handed_over(delay_s):
    election = _own(WEAK, {"front-1": STRONG})
    now = _reply(election, ["front-1"], delay_s, 1.0, 6.0)
    assert election.find_last_seen_ms(now) == 0
    assert election.find_shown_rank(now) == WEAK
    election.resign("front-1", now)
    assert election.find_last_seen_ms(now) == -1
    assert election.find_shown_rank(now) == rank_lib.UNSUITABLE_RANK
    assert _hear(election, "front-1", election.followed.term, now)
    assert election.find_last_seen_ms(now + 0.1) == 100
    now += lease.OWNER_TIMEOUT_S + election_lib.MAX_CLAIM_DELAY_S
    assert election.find_last_seen_ms(now) == -1
    assert election.find_shown_rank(now) == WEAK


def _describe(name, rank, term):
    """Returns the view of a front that hears no owner any more."""
    front = locating.FrontRef(name, "z", rank, True, False, 0)
    owner = locating.OwnerRef("front-0", term) if term else locating.OwnerRef()
    return locating.View(front, (), owner, -1, locating.LogRef(), (), 1)


def _tick_beside(election, view, begin, length_s):
    """Returns when a front claims that another one's views reach, if so."""
    now = begin
    while now < begin + length_s:
        now += 0.02
        election.record_view(view, now)
        if election.tick(now):
            return now
    return None


def _start(name, rank, term):
    """Returns a front that last heard the owner of a term at 1 s, if any."""
    me = session_lib.Endpoint(name, 1)
    election = election_lib.Election(me, rank, 0.0, 0.0)
    if term:
        assert _hear(election, "front-0", term, 1.0)
    return election


# A weak front with a link full of a configuration heard nobody, and displaced
# an owner that all others followed. One that is alone claims in bounded time,
# also if it pauses: a search begins anew after each pause.
@pytest.mark.parametrize("is_pausing", [False, True])
@pytest.mark.parametrize(
    ("rank", "known", "least_s", "most_s"),
    [
        (WEAK, (STRONG,), 0.5, 0.6),
        (WEAK, (STRONG + rank_lib.OUTDATED_OFFSET,), 0.5, 0.6),
        (WEAK, (WEAK + 1, rank_lib.UNSUITABLE_RANK), 0.3, 0.4),
        (WEAK, (), 0.3, 0.4),
        (STRONG, (STRONG + 1,), 0.3, 0.4),
    ],
)
def test_a_weak_front_that_hears_nobody_waits_for_a_strong_one(
    rank, known, least_s, most_s, is_pausing
):
    election = _start("front-1", rank, 7_000_000)
    for number, other in enumerate(known):
        election.record_view(_describe(f"front-{number + 2}", other, 0), 0.5)
    now, pause_s = 1.0, 0.16 if is_pausing else 0.0
    paused_at = now
    while not election.is_owner:
        assert now < 3.0
        now += 0.02
        if now - paused_at >= 0.4:
            now += pause_s
            paused_at = now
        election.tick(now)
    assert least_s < now - 1.0 <= most_s + 2 * pause_s


def test_no_front_waits_for_a_weak_one_that_may_be_isolated():
    isolated = _start("front-1", WEAK, 7_000_000)
    isolated.record_view(_describe("front-2", STRONG, 0), 0.5)
    assert isolated.find_shown_rank(1.1) == WEAK
    assert isolated.find_shown_rank(1.4) == rank_lib.UNSUITABLE_RANK
    assert isolated.find_shown_rank(1.6) < rank_lib.UNSUITABLE_RANK


def test_a_weak_front_does_not_wait_for_the_owner_that_is_lost():
    election = _start("front-1", WEAK, 7_000_000)
    election.record_view(_describe("front-0", STRONG, 7_000_000), 0.5)
    assert _tick_until_claim(election, 1.0) <= 1.4


TERM = 5_000_001
DISKLESS = rank_lib.find_rank(False, 1.29, 31.0)


# Fronts waited for an owner that had started again: it had the best rank, but
# knew no side process, so that its jobs waited for all leases.
@pytest.mark.parametrize("rank", [STRONG - 1, STRONG, STRONG + 1, DISKLESS])
def test_a_front_does_not_wait_for_one_that_has_just_started(rank):
    election = _start("front-1", STRONG, TERM)
    started = _describe("front-0", rank, 0)
    claimed_at = _tick_beside(election, started, 1.0, 1.0)
    assert claimed_at - 1.0 < owner_search.LATE_SEARCH_S


@pytest.mark.parametrize("rank", [STRONG - 1, STRONG, STRONG + 1, DISKLESS])
def test_a_front_that_has_just_started_leaves_the_jobs_to_others(rank):
    election = _start("front-0", rank, 0)
    follower = _describe("front-1", STRONG, TERM)
    assert not _tick_beside(election, follower, 1.0, owner_search.LATE_SEARCH_S)


# A front of an earlier version goes by the rank only, and waits for the other.
def test_a_front_that_has_just_started_leaves_them_for_a_bounded_time():
    election = _start("front-0", STRONG, 0)
    follower = _describe("front-1", STRONG, TERM)
    claimed_at = _tick_beside(election, follower, 1.0, 2.0)
    assert claimed_at - 1.0 < owner_search.LATE_SEARCH_S + 0.1


def test_a_weak_front_waits_for_a_stronger_one_that_has_just_started():
    election = _start("front-1", WEAK, TERM)
    started = _describe("front-0", STRONG, 0)
    assert not _tick_beside(election, started, 1.0, 2.0)
    election = _start("front-0", STRONG, 0)
    weak = _describe("front-1", WEAK, TERM)
    assert _tick_beside(election, weak, 1.0, owner_search.LATE_SEARCH_S)


def test_a_front_never_waits_for_one_that_stops_whatever_that_knows():
    election = _start("front-1", WEAK, 0)
    stopping = _describe("front-0", rank_lib.UNSUITABLE_RANK, TERM)
    assert _tick_beside(election, stopping, 1.0, owner_search.LATE_SEARCH_S)


def test_the_rank_decides_among_fronts_that_followed_the_same_owner():
    better = _start("front-2", STRONG - 1, TERM)
    assert _tick_beside(better, _describe("front-1", STRONG, TERM), 1.0, 1.0)
    worse = _start("front-1", STRONG, TERM)
    view = _describe("front-2", STRONG - 1, TERM)
    assert not _tick_beside(worse, view, 1.0, 2.0)


# A front that went on just after the owner was lost told others that it had
# heard that owner just then; they waited until their lists were out of date.
@pytest.mark.parametrize("waited_s", [0.0, 0.2, 3.0])
def test_a_front_tells_how_long_a_heartbeat_has_waited(waited_s):
    election = _start("front-1", STRONG, TERM)
    for at in (1.08, 1.16):
        assert _hear(election, "front-0", TERM, at)
    heartbeat = owning.OwnerHeartbeat(TERM, (), 1.24, 0, 1)
    now = 1.24 + waited_s
    assert election.handle_heartbeat("front-0", heartbeat, 0, now)
    told_ms = election.find_last_seen_ms(now)
    if waited_s >= lease.OWNER_TIMEOUT_S:
        assert told_ms == -1
    else:
        assert told_ms == pytest.approx(waited_s * 1000, abs=10)
    assert election.has_live_owner(now)


def test_clocks_that_differ_or_drift_make_no_heartbeat_old():
    age = heartbeat_age.HeartbeatAge()
    waited = []
    for number in range(1000):
        now = 0.08 * number
        sent_at = 7000.0 + now * (1 - lease.CLOCK_DRIFT)
        waited.append(age.measure(TERM, sent_at, now))
    assert max(waited) < 0.001
    assert age.measure(TERM + 1, 5.0, 90.0) == 0.0


def _miss_owner(election, begin, end):
    """Lets a front search for the owner that it has lost."""
    now = begin
    while now < end:
        now += 0.02
        assert not election.tick(now)
    return now


def _confirm_list(election, heard_at):
    election.side_list.update(owning.SideNames(TERM, ("side-1",)))
    election.side_list.confirm(owning.SideNamesConfirmed(TERM, heard_at, 0.7))


# A front that had stood still went before others with complete lists.
def test_a_front_whose_list_is_out_of_date_comes_after_its_like():
    outdated = _start("front-1", STRONG, TERM)
    now = _miss_owner(outdated, 1.0, 1.3)
    shown = outdated.find_shown_rank(now)
    assert shown == STRONG + rank_lib.OUTDATED_OFFSET
    informed = _start("front-2", STRONG + 1, TERM)
    _confirm_list(informed, 1.0)
    assert informed.find_shown_rank(1.3) == STRONG + 1
    view = _describe("front-1", shown, TERM)
    claimed_at = _tick_beside(informed, view, 1.0, 1.0)
    assert claimed_at - 1.0 < owner_search.LATE_SEARCH_S
    outdated = _start("front-1", STRONG, TERM)
    view = _describe("front-2", STRONG + 1, TERM)
    assert not _tick_beside(outdated, view, 1.0, owner_search.LATE_SEARCH_S)


def test_fronts_whose_lists_are_out_of_date_claim_in_their_usual_order():
    view = _describe("front-1", STRONG + rank_lib.OUTDATED_OFFSET, TERM)
    better = _start("front-2", STRONG - 1, TERM)
    claimed_at = _tick_beside(better, view, 1.0, 1.0)
    assert claimed_at - 1.0 < owner_search.LATE_SEARCH_S
    # Nor does it once its search is late, and the view is of a moment before.
    worse = _start("front-2", STRONG + 1, TERM)
    assert not _tick_beside(worse, view, 1.0, 2.0)


def test_a_strong_front_with_an_old_list_precedes_a_weak_one():
    strong = _start("front-2", STRONG, TERM)
    weak = _describe("front-1", WEAK, TERM)
    claimed_at = _tick_beside(strong, weak, 1.0, 1.0)
    assert claimed_at - 1.0 < owner_search.LATE_SEARCH_S


def test_a_late_search_shows_the_plain_rank():
    election = _start("front-1", STRONG, TERM)
    alone = _describe("front-2", STRONG - 1, TERM)
    assert not _tick_beside(election, alone, 1.0, 1.0)
    assert election.find_shown_rank(2.0) == STRONG
