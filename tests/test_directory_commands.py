"""Tests the results and the history of the directory's commands."""

from __future__ import annotations

import pytest

from skylarkcleat.directory import answers
from skylarkcleat.directory import command as command_lib
from skylarkcleat.directory import directory as directory_lib
from skylarkcleat.directory import history as history_lib
from skylarkcleat.directory import result as result_lib
from skylarkcleat.directory import snapshot as snapshot_lib
from skylarkcleat.model import keeper_shard
from skylarkcleat.model import member as member_lib
from skylarkcleat.protocol import subscribing
from tests import directory_support as support

AT_MS = support.AT_MS
BEN = command_lib.Author("ben", "calm again", "key-1")
Accepted = result_lib.Accepted
Conflict = result_lib.Conflict


@pytest.fixture
def directory():
    return directory_lib.Directory()


def test_of_two_changes_to_the_same_version_exactly_one_wins(directory):
    support.apply_profile(directory)
    first = support.apply_profile(
        directory, 1, author=support.ADA._replace(key="key-2"), urgency=9
    )
    second = support.apply_profile(directory, 1, author=BEN, urgency=1)
    assert first.profile.version == 2
    assert second == Conflict(
        2, first.profile, "ada", AT_MS, support.ADA.reason
    )
    assert directory.view.profiles["orders"].urgency == 9


def test_a_profile_is_not_created_twice(directory):
    created = support.apply_profile(directory)
    again = support.apply_profile(directory, author=BEN)
    assert isinstance(again, Conflict)
    assert again.current == created.profile


def test_the_version_of_a_removed_profile_matches_no_later_one(directory):
    support.apply_profile(directory)
    remove = command_lib.RemoveProfile(BEN, AT_MS, 1, "orders")
    assert isinstance(support.apply(directory, remove), Accepted)
    recreated = support.apply_profile(
        directory, author=support.ADA._replace(key="key-2")
    )
    assert recreated.profile.version == 2
    stale = command_lib.RemoveProfile(
        BEN._replace(key="key-2"), AT_MS, 1, "orders"
    )
    assert isinstance(support.apply(directory, stale), Conflict)


def test_removing_an_unknown_profile_returns_unknown(directory):
    remove = command_lib.RemoveProfile(BEN, AT_MS, 1, "orders")
    assert support.apply(directory, remove) == result_lib.Unknown("orders")


def test_a_resend_returns_the_first_answer_after_later_changes(directory):
    first = support.apply_profile(directory, urgency=9)
    support.apply_profile(directory, 1, author=BEN, urgency=1)
    revision = directory.view.revision
    assert support.apply_profile(directory, urgency=9) == first
    assert directory.view.revision == revision


def test_a_resend_returns_the_first_refusal(directory):
    support.apply_profile(directory)
    refused = support.apply_profile(directory, 7, author=BEN)
    support.apply_profile(
        directory, 1, author=support.ADA._replace(key="key-2")
    )
    assert support.apply_profile(directory, 7, author=BEN) == refused


def test_a_resend_returns_the_first_answer_after_a_snapshot(directory):
    first = support.apply_profile(directory)
    support.apply_profile(directory, 1, author=BEN)
    replica = directory_lib.Directory()
    replica.restore(directory.capture())
    assert support.apply_profile(replica) == first
    assert replica.capture() == directory.capture()


def test_a_resend_to_another_replica_is_applied_once():
    replicas = [directory_lib.Directory() for _ in range(3)]
    support.Cluster(*replicas)
    for replica in replicas:
        first = support.apply_profile(replica)
        assert support.apply_profile(replica, at_ms=AT_MS + 5_000) == first
    captures = {replica.capture() for replica in replicas}
    assert len(captures) == 1


def test_a_key_used_for_another_change_is_refused(directory):
    support.apply_profile(directory)
    assert support.apply_profile(
        directory, 1, urgency=2
    ) == result_lib.KeyReused("key-1")
    assert directory.view.profiles["orders"].version == 1


def test_another_operator_may_use_the_same_key(directory):
    support.apply_profile(directory)
    assert isinstance(support.apply_profile(directory, 1, author=BEN), Accepted)


def test_kept_answers_are_bounded_by_age_and_number():
    kept = answers.Answers(limit=2, kept_for_ms=1_000)
    for number, at_ms in enumerate((0, 900, 1_000)):
        kept.keep(answers.KeptAnswer("ada", str(number), 0, at_ms, b""))
    assert [answer.key for answer in kept.list_answers()] == ["1", "2"]
    kept.keep(answers.KeptAnswer("ada", "3", 0, 1_901, b""))
    assert [answer.key for answer in kept.list_answers()] == ["2", "3"]


def test_a_new_incarnation_replaces_the_previous_one_permanently(directory):
    old = support.make_agent("agent-1", incarnation=1)
    new = support.make_agent("agent-1", incarnation=2)
    support.announce(directory, old)
    support.announce(directory, new)
    support.announce(directory, old)
    assert directory.view.members == {"agent-1": new}


def test_a_dead_incarnation_cannot_rejoin(directory):
    agent = support.make_agent("agent-1", incarnation=5)
    support.announce(directory, agent)
    dead = (subscribing.MemberRef("agent-1", 5),)
    support.apply(directory, command_lib.UpdateMembers(AT_MS, dead=dead))
    replica = directory_lib.Directory()
    replica.restore(directory.capture())
    for state in (directory, replica):
        support.announce(state, agent)
        assert not state.view.members


def test_the_death_of_a_previous_incarnation_keeps_the_current_one(directory):
    support.announce(directory, support.make_agent("agent-1", incarnation=2))
    stale = (subscribing.MemberRef("agent-1", 1),)
    support.apply(
        directory, command_lib.UpdateMembers(AT_MS, leaving=stale, dead=stale)
    )
    assert directory.view.members["agent-1"].state is member_lib.MemberState.UP


def test_an_operator_drains_a_member_once(directory):
    support.announce(directory, support.make_agent("agent-1"))
    drain = command_lib.DrainMember(BEN, AT_MS, "agent-1")
    support.apply(directory, drain)
    support.apply(directory, drain._replace(author=BEN._replace(key="")))
    entries = directory.history.find_entries("member agent-1", 10)
    assert [entry.verb for entry in entries] == ["drained", "joined"]
    assert entries[0].operator == "ben"
    assert entries[0].reason == "calm again"


def test_draining_an_unknown_member_returns_unknown(directory):
    drain = command_lib.DrainMember(BEN, AT_MS, "agent-1")
    assert support.apply(directory, drain) == result_lib.Unknown("agent-1")


def test_shards_move_one_epoch_at_a_time(directory):
    ref = keeper_shard.KeeperRef("agent-1", 1)
    shard = keeper_shard.KeeperShard(3, 1, (ref,), (ref,), 0)
    late = shard._replace(epoch=3)
    support.apply(directory, command_lib.UpdateShards(AT_MS, (late, shard)))
    assert directory.view.shards[3] == shard
    for epoch in (2, 1):
        ready = (subscribing.ShardReady(3, epoch),)
        support.apply(directory, command_lib.UpdateShards(AT_MS, ready=ready))
        copied = epoch == shard.epoch
        assert (directory.view.shards[3].previous == ()) is copied


def test_lost_claims_are_recorded_in_the_history(directory):
    shard = keeper_shard.KeeperShard(0, 1, (), (), AT_MS)
    support.apply(directory, command_lib.UpdateShards(AT_MS, (shard,)))
    (entry,) = directory.history.find_entries("shard 0", 10)
    assert entry.verb is history_lib.Verb.CLAIMS_LOST


def test_refusals_are_recorded_in_the_history(directory):
    support.apply_profile(directory)
    support.apply_profile(directory, 4, author=BEN)
    author = command_lib.Author("10.0.0.9")
    support.apply(
        directory,
        command_lib.RecordRefusal(author, AT_MS, "profile orders", "no token"),
    )
    newest, conflict, _ = directory.history.find_entries("profile orders", 10)
    assert newest.operator == "10.0.0.9"
    assert newest.detail == "no token"
    assert conflict.detail == "expected version 4, found version 1"


def test_history_is_bounded_and_members_evict_no_operator_entries():
    history = history_lib.History(operator_limit=2, member_limit=2)
    verbs = (history_lib.Verb.APPLIED, *[history_lib.Verb.JOINED] * 5)
    for number, verb in enumerate(verbs):
        history.record(
            history_lib.HistoryEntry(number, number, verb, "", "", "", "")
        )
    revisions = [entry.revision for entry in history.find_entries("", 10)]
    assert revisions == [5, 4, 0]


@pytest.mark.parametrize("data", [b"", b"\x90", b"garbage"])
def test_a_damaged_snapshot_is_refused(directory, data):
    with pytest.raises(snapshot_lib.UnusableSnapshotError, match="be read"):
        directory.restore(data)


def test_a_snapshot_of_another_shard_count_is_refused(directory):
    other = directory_lib.Directory(shard_count=4)
    with pytest.raises(
        snapshot_lib.UnusableSnapshotError, match="4 shards; the settings"
    ):
        directory.restore(other.capture())
