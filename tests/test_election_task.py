"""What a front sends to others as the owner of the jobs."""

from __future__ import annotations

import itertools
import random
import types

import pytest

from skylarkcleat import clock as clock_lib
from skylarkcleat.discovery import election as election_lib
from skylarkcleat.discovery import owner_load
from skylarkcleat.discovery import peer_table as peer_table_lib
from skylarkcleat.discovery import rank as rank_lib
from skylarkcleat.discovery import successors
from skylarkcleat.front import configuration_cache as configuration_cache_lib
from skylarkcleat.front import election_task as election_task_lib
from skylarkcleat.front import load_log
from skylarkcleat.front import pause as pause_lib
from skylarkcleat.protocol import locating
from skylarkcleat.protocol import owning
from skylarkcleat.scheduling import lease
from skylarkcleat.wire import session as session_lib

LOCAL = session_lib.Endpoint("front-1", 1)
FOLLOWER = session_lib.Endpoint("front-2", 1)
TERM = 5_000_000
LINK_MBPS = 8.0


@pytest.fixture
def sent():
    return []


@pytest.fixture
def task(sent):
    """The election task of an owner with one side process."""
    election = election_lib.Election(LOCAL, 0, 0.0, 0.0)
    election.followed = election.followed._replace(name=LOCAL.name, term=TERM)
    ownership = types.SimpleNamespace(
        sides=("side-1",),
        unknown_sides=(),
        handle_heartbeat_reply=lambda peer, message: None,
        begin=lambda term, predecessor: None,
        end=lambda reason: ("side-1",),
        tick=lambda: None,
        is_congested=lambda now: False,
        describe_intake=lambda now: (0, 0.0),
        count_jobs=lambda: 0,
    )
    created = election_task_lib.ElectionTask(
        LOCAL,
        election,
        peer_table_lib.PeerTable((), random.Random(1)),
        configuration_cache_lib.ConfigurationCache(None),
        ownership,
        pause_lib.PauseWatch(election_task_lib.TICK_S, 0.0),
        load_log.LoadLog(
            owner_load.OwnerLoad(LINK_MBPS, 0.0), ownership, lambda: 0
        ),
        lambda name, message: sent.append((name, message)),
    )
    created._heartbeats.begin(0.0)
    return created


# TWICE: names of side processes that were lost with a session were never sent
# again, so that a successor started tasks before it had heard those sides.
def test_side_names_are_sent_again_after_their_session_has_ended(task, sent):
    reply = owning.OwnerHeartbeatReply(TERM, 1.0)
    expected = (FOLLOWER.name, owning.SideNames(TERM, ("side-1",)))
    task.receive(FOLLOWER, reply)
    task.receive(FOLLOWER, reply)
    assert sent == [expected]
    task.forget_sent("front-3")
    task.receive(FOLLOWER, reply)
    assert sent == [expected]
    task.forget_sent(FOLLOWER.name)
    task.receive(FOLLOWER, reply)
    assert sent == [expected, expected]


# An owner that had started again was not sent the configuration that it lacks.
def test_the_version_of_an_owner_is_forgotten_with_its_session(task):
    task.record_owner_version(FOLLOWER.name, 7)
    task.forget_sent(FOLLOWER.name)
    assert task.find_owner_version(FOLLOWER.name) == 0


# An overloaded owner looked for a successor in its ticks, when all replies that
# it had handled were old.
def test_an_owner_that_stalls_hands_over_as_it_handles_a_reply(
    task, sent, monkeypatch
):
    front = locating.FrontRef(FOLLOWER.name, "z", -1, True, False, 0)
    followed = locating.OwnerRef(LOCAL.name, TERM)
    view = locating.View(front, (), followed, 0, locating.LogRef(), (), 1)
    task._election.record_view(view, 0.0)
    stall_s = 2 * lease.FRONT_LEASE_S
    now = 0.0
    monkeypatch.setattr(clock_lib, "read_monotonic", lambda: now)
    while now < successors.HANDOVER_AFTER_S + 2 * stall_s:
        now += stall_s
        task.receive(FOLLOWER, owning.OwnerHeartbeatReply(TERM, now - stall_s))
    handover = owning.Handover(TERM, (), ("side-1",))
    assert (FOLLOWER.name, handover) in sent
    assert task._election.followed == (FOLLOWER.name, TERM)


def test_a_takeover_tells_what_the_list_of_side_processes_rests_on(
    task, log_lines, monkeypatch
):
    now = 0.0
    monkeypatch.setattr(clock_lib, "read_monotonic", lambda: now)
    owner = session_lib.Endpoint("front-3", 1)
    followed = locating.OwnerRef(owner.name, TERM + 1)
    task.receive(owner, owning.OwnerHeartbeat(TERM + 1, (), 7.0, 3, 0))
    task.receive(owner, owning.SideNames(TERM + 1, ("side-1", "side-2")))
    task.receive(owner, owning.SideNamesConfirmed(TERM + 1, 7.0, 0.7))
    task._begin_ownership(followed, 0.4)
    line = next(
        line for line in log_lines if line["message_type"] == "front:takeover"
    )
    assert (line["remaining_ms"], line["complete"]) == (300, True)
    assert (line["listed_term"], line["listed"]) == (TERM + 1, 2)
    assert line["announced"] == 3


# Starts with large specifications filled the owner's link, so that renewals of
# leases and heartbeats came too late, and side processes were lost.
@pytest.mark.parametrize(
    ("mbps", "is_stronger"),
    [(7.9, True), (4.0, False)],
    ids=["full", "half in use"],
)
def test_an_owner_whose_link_is_full_ranks_behind_stronger_fronts(
    task, mbps, is_stronger, monkeypatch
):
    now, link = 0.0, []
    monkeypatch.setattr(task._load, "_count_sent", lambda: sum(link))
    monkeypatch.setattr(task, "_heartbeats", types.SimpleNamespace(run=id))
    with_disk = rank_lib.find_rank(True, 1.7, 200.0)
    while now < 2 * owner_load.WINDOW_S:
        now += election_task_lib.TICK_S
        link.append(mbps / 8 * 1_000_000 * election_task_lib.TICK_S)
        task._run_ownership(now)
        task._update_rank(now)
    assert (with_disk < task._election.rank) == is_stronger


# An owner that is too weak and one that is less suitable would hand the jobs
# to each other for as long as the load lasts.
def test_jobs_come_back_to_an_overloaded_owner_ever_less_often():
    load = owner_load.OwnerLoad(LINK_MBPS, 0.0)
    now, since = 0.0, []
    while now < 1000.0:
        now += owner_load.WINDOW_S
        if not load.is_overloaded(now):
            load.begin(now, 0)
            now += owner_load.WINDOW_S
            load.record(owner_load.Use(10_000_000, False), now)
            since.append(now)
    gaps = [after - before for before, after in itertools.pairwise(since)]
    assert gaps[0] >= owner_load.HOLD_S
    assert all(
        after >= 1.9 * before for before, after in itertools.pairwise(gaps)
    )


# Views are asked for in searches only: an owner handed the jobs back, by an old
# view, to the front that had been overloaded, every three seconds.
def test_what_a_follower_tells_of_itself_goes_before_an_old_view(task):
    front = locating.FrontRef(FOLLOWER.name, "z", -1, True, False, 0)
    followed = locating.OwnerRef(LOCAL.name, TERM)
    view = locating.View(front, (), followed, 0, locating.LogRef(), (), 1)
    election = task._election
    election.record_view(view, 0.0)
    for rank, is_outranked in ((None, True), (7, False), (-2, True)):
        reply = owning.OwnerHeartbeatReply(TERM, 0.0, rank)
        election.handle_heartbeat_reply(FOLLOWER.name, reply, 0.0)
        assert election.is_outranked_by(FOLLOWER.name) == is_outranked


# An owner that had been frozen handed over side processes which had long been
# another owner's: each had to register there again, and no job started for 1 s.
def test_an_owner_that_stood_still_hands_over_no_expired_leases(
    task, sent, monkeypatch
):
    monkeypatch.setattr(
        task._ownership, "tick", lambda: setattr(task._ownership, "sides", ())
    )
    monkeypatch.setattr(task._ownership, "end", lambda _: task._ownership.sides)
    heartbeat = owning.OwnerHeartbeat(TERM + 1_000_000, (), 9.0, 1, 0)
    task.receive(FOLLOWER, heartbeat)
    assert task._election.followed.name == FOLLOWER.name
    assert owning.Handover(TERM, (), ()) in [message for _, message in sent]


# An owner handed its jobs to a front that had just said that it stops.
def test_a_view_goes_before_an_older_reply(task):
    front = locating.FrontRef(FOLLOWER.name, "z", 99, True, False, 0)
    followed = locating.OwnerRef(LOCAL.name, TERM)
    view = locating.View(front, (), followed, 0, locating.LogRef(), (), 1)
    election = task._election
    reply = owning.OwnerHeartbeatReply(TERM, 0.0, -2)
    election.handle_heartbeat_reply(FOLLOWER.name, reply, 0.0)
    election.record_view(view, 0.1)
    assert not election.is_outranked_by(FOLLOWER.name)
