"""Tests the assignment of keepers to shards."""

from __future__ import annotations

import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies as st

from skylarkcleat.directory import freshness
from skylarkcleat.directory import shard_assignment
from skylarkcleat.jobs import retention
from skylarkcleat.model import keeper_shard
from skylarkcleat.model import member as member_lib
from tests import directory_support as support

NOW_MS = support.AT_MS
ZONES = ("waycross", "valdosta", "brunswick", "macon")
SHARDS = 8
LEASE_MS = 1000 * freshness.CONFIG_LEASE_S
SKEW_MS = 2 * retention.MAX_SKEW_MS
Ref = keeper_shard.KeeperRef


def make_table(count=SHARDS):
    return [
        keeper_shard.KeeperShard(number, 0, (), (), 0)
        for number in range(count)
    ]


def make_agents(count, zones=ZONES):
    return {
        f"agent-{number}": support.make_agent(
            f"agent-{number}", zones[number % len(zones)]
        )
        for number in range(count)
    }


def refer(member):
    return Ref(member.name, member.incarnation)


def assign(agents, table, now_ms=NOW_MS):
    """Assigns until nothing changes, with every copy complete at once."""
    for _ in range(200):
        changed = shard_assignment.assign_shards(agents.values(), table, now_ms)
        if not changed:
            return table
        for shard in changed:
            assert shard.epoch == table[shard.number].epoch + 1
            table[shard.number] = shard._replace(previous=())
    raise AssertionError("the assignment does not settle")


@pytest.mark.parametrize("count", [0, 1, 2, 3, 10, 40])
def test_keepers_are_in_different_zones(count):
    table = assign(make_agents(count), make_table())
    wanted = 0 if not count else 1 if count < 3 else 3
    for shard in table:
        assert len(shard.keepers) == len(set(shard.keepers)) == wanted
        zones = {int(ref.name[6:]) % len(ZONES) for ref in shard.keepers}
        assert len(zones) == wanted
        assert shard.horizon_ms == 0


def test_agents_that_join_later_are_assigned_their_share():
    agents = make_agents(3)
    table = assign(agents, make_table(16))
    agents = make_agents(12)
    table = assign(agents, table)
    load = [
        sum(refer(agent) in shard.keepers for shard in table)
        for agent in agents.values()
    ]
    assert sum(load) == 48
    assert max(load) <= 5


def test_only_a_leaving_keeper_is_replaced_and_its_claims_are_copied():
    agents = make_agents(8)
    table = assign(agents, make_table())
    leaving = table[0].keepers[0]
    agents[leaving.name] = agents[leaving.name]._replace(
        state=member_lib.MemberState.LEAVING
    )
    changed = shard_assignment.assign_shards(agents.values(), table, NOW_MS)
    assert {shard.number for shard in changed} == {
        shard.number for shard in table if leaving in shard.keepers
    }
    for shard in changed:
        before = table[shard.number]
        kept = [ref for ref in before.keepers if ref != leaving]
        assert list(shard.keepers[:2]) == kept
        assert shard.previous == before.keepers
        assert shard.horizon_ms == before.horizon_ms


def test_one_dead_keeper_loses_no_claims():
    agents = make_agents(8)
    table = assign(agents, make_table())
    del agents[table[0].keepers[0].name]
    assert all(shard.horizon_ms == 0 for shard in assign(agents, table))


def test_a_lost_majority_raises_the_horizon_past_every_granted_id():
    agents = make_agents(8)
    table = assign(agents, make_table())
    shard = table[0]
    for ref in shard.keepers[:2]:
        del agents[ref.name]
    reset = assign(agents, table)[0]
    assert reset.horizon_ms > NOW_MS + LEASE_MS + SKEW_MS
    assert reset.keepers[0] == shard.keepers[2]


def test_the_horizon_grows_even_if_the_next_leaders_clock_is_behind():
    agents = make_agents(3)
    table = [keeper_shard.KeeperShard(0, 4, (Ref("gone", 1),), (), NOW_MS)]
    (shard,) = shard_assignment.assign_shards(agents.values(), table, 0)
    assert shard.horizon_ms == NOW_MS + 1


def test_a_shard_with_a_copy_under_way_is_not_reassigned():
    agents = make_agents(8)
    table = assign(agents, make_table())
    refs = [refer(agent) for agent in agents.values()]
    table[0] = table[0]._replace(
        keepers=tuple(refs[:3]), previous=tuple(refs[1:4])
    )
    agents["agent-0"] = agents["agent-0"]._replace(
        state=member_lib.MemberState.LEAVING
    )
    changed = shard_assignment.assign_shards(agents.values(), table, NOW_MS)
    assert 0 not in {shard.number for shard in changed}


def test_losing_the_majority_that_a_copy_reads_raises_the_horizon():
    agents = make_agents(8)
    refs = [refer(agent) for agent in agents.values()]
    gone = (Ref("agent-1", 0), Ref("agent-2", 0))
    shard = keeper_shard.KeeperShard(0, 2, tuple(refs[:3]), (refs[0], *gone), 0)
    (reset,) = shard_assignment.assign_shards(agents.values(), [shard], NOW_MS)
    assert reset.horizon_ms > NOW_MS
    assert reset.previous == ()


def test_a_shard_whose_claims_cannot_be_collected_is_reset():
    agents = make_agents(8)
    table = assign(agents, make_table())
    (reset,) = shard_assignment.assign_shards(
        agents.values(), table, NOW_MS, lost={3}
    )
    assert reset.number == 3
    assert reset.keepers == table[3].keepers
    assert reset.previous == ()
    assert reset.horizon_ms > NOW_MS


def test_keepers_spread_again_when_a_zone_returns():
    agents = make_agents(6, zones=("waycross", "valdosta"))
    table = assign(agents, make_table())
    agents |= {
        f"late-{number}": support.make_agent(f"late-{number}", "brunswick")
        for number in range(3)
    }
    zones = {name: agent.zone for name, agent in agents.items()}
    for shard in assign(agents, table):
        assert len({zones[ref.name] for ref in shard.keepers}) == 3


class ClaimMachine(stateful.RuleBasedStateMachine):
    """Claims in the memory of keepers, while agents start and stop.

    A claim is granted when a majority of the shard's keepers hold it, and a
    copy reads a majority of the previous keepers. Therefore every later epoch
    holds a granted claim, or its id lies before the horizon. Keepers of a
    lost epoch that are only partitioned grant claims until their lease
    expires.
    """

    def __init__(self):
        super().__init__()
        self.now_ms = NOW_MS
        self.members = {}
        self.shard = make_table(1)[0]
        self.memory = {}
        self.granted = set()
        self.incarnation = 0
        self.anew_ms = None

    def majority(self, refs, rotation):
        alive = [ref for ref in refs if ref in self.memory]
        wanted = len(refs) // 2 + 1
        if len(alive) < wanted:
            return None
        rotation %= len(alive)
        return (alive[rotation:] + alive[:rotation])[:wanted]

    @stateful.rule(number=st.integers(0, 6), zone=st.sampled_from(ZONES))
    def start(self, number, zone):
        self.incarnation += 1
        name = f"agent-{number}"
        self.kill(number)
        self.members[name] = support.make_agent(name, zone, self.incarnation)
        self.memory[refer(self.members[name])] = set()

    @stateful.rule(number=st.integers(0, 6))
    def kill(self, number):
        member = self.members.pop(f"agent-{number}", None)
        if member:
            del self.memory[refer(member)]

    @stateful.rule(number=st.integers(0, 6))
    def leave(self, number):
        member = self.members.get(f"agent-{number}")
        if member:
            self.members[member.name] = member._replace(
                state=member_lib.MemberState.LEAVING
            )

    @stateful.rule()
    def assign(self):
        before = self.shard
        for shard in shard_assignment.assign_shards(
            self.members.values(), [before], self.now_ms
        ):
            self.shard = shard
            lost = any(
                2 * sum(ref not in self.memory for ref in refs) > len(refs)
                for refs in (before.keepers, before.previous)
            )
            assert (shard.horizon_ms > before.horizon_ms) == lost
            if lost:
                self.anew_ms = self.now_ms

    @stateful.rule(rotation=st.integers(0, 2))
    def copy(self, rotation):
        if not self.shard.previous:
            return
        sources = self.majority(self.shard.previous, rotation)
        targets = self.majority(self.shard.keepers, rotation)
        if sources and targets:
            claims = set().union(*(self.memory[ref] for ref in sources))
            for ref in targets:
                self.memory[ref] |= claims
            self.shard = self.shard._replace(previous=())

    @stateful.rule(
        rotation=st.integers(0, 2),
        ahead_ms=st.sampled_from((-5_000, 0, SKEW_MS)),
    )
    def grant(self, rotation, ahead_ms):
        time_ms = self.now_ms + ahead_ms
        writers = self.majority(self.shard.keepers, rotation)
        if self.shard.previous or not writers:
            return
        if time_ms < self.shard.horizon_ms:
            return
        claim = (time_ms, len(self.granted))
        self.granted.add(claim)
        for ref in writers:
            self.memory[ref].add(claim)

    @stateful.rule(ahead_ms=st.sampled_from((-5_000, 0, SKEW_MS)))
    def grant_by_keepers_that_are_cut_off(self, ahead_ms):
        if self.anew_ms and self.now_ms <= self.anew_ms + LEASE_MS:
            claim = (self.now_ms + ahead_ms, len(self.granted))
            self.granted.add(claim)

    @stateful.rule(passed_ms=st.integers(1, 4_000))
    def wait(self, passed_ms):
        self.now_ms += passed_ms

    @stateful.invariant()
    def no_granted_claim_is_forgotten(self):
        if self.shard.previous:
            return
        for rotation in range(3):
            readers = self.majority(self.shard.keepers, rotation)
            if readers is None:
                return
            known = set().union(*(self.memory[ref] for ref in readers))
            for claim in self.granted - known:
                assert claim[0] < self.shard.horizon_ms


ClaimMachine.TestCase.settings = hypothesis.settings(
    derandomize=True,
    max_examples=200,
    stateful_step_count=40,
    deadline=None,
    database=None,
)
test_claims_outlive_every_change_of_keepers = ClaimMachine.TestCase


@pytest.mark.parametrize("is_gone", [True, False])
def test_the_primary_of_a_shard_is_an_agent_that_is_up(is_gone):
    agents = make_agents(3)
    table = assign(agents, make_table())
    name = table[0].keepers[0].name
    if is_gone:
        del agents[name]
    else:
        agents[name] = agents[name]._replace(
            state=member_lib.MemberState.LEAVING
        )
    before = list(table)
    table = assign(agents, table)
    for old, new in zip(before, table, strict=True):
        assert new.keepers[0].name != name
        assert new.horizon_ms == old.horizon_ms
        assert new == old or set(new.keepers) == set(old.keepers)
