"""Replicas under faults of network, processes and disks.

The same checks run on deliberately faulty replicas, which they must detect.
"""

import random

import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies as st

from skylarkcleat.consensus import context as context_lib
from skylarkcleat.consensus import message as message_lib
from skylarkcleat.consensus import proposal as proposal_lib
from skylarkcleat.consensus import replica as replica_lib
from tests import consensus_cluster
from tests import consensus_faulty
from tests import consensus_nemesis

NAMES = ("a", "b", "c", "d", "e")


class ReplicaFaults(stateful.RuleBasedStateMachine):
    """Applies faults of the network, the processes and the disks in any order.

    The name of a rule decides its place in the order from which hypothesis
    draws, so renaming one would change the examples.
    """

    @stateful.initialize(size=st.sampled_from([3, 5]))
    def found(self, size):
        self.cluster = consensus_cluster.Cluster(NAMES[:size])
        self.cluster.run_in_order(2.5)

    def pick(self, place):
        nodes = list(self.cluster.nodes.values())
        return nodes[place % len(nodes)]

    @stateful.rule(seed=st.integers(0, 999), steps=st.integers(20, 100))
    def run_on(self, seed, steps):
        self.cluster.run_at_random(steps, random.Random(seed))

    @stateful.rule(seconds=st.floats(0.1, 1.5))
    def flow_on(self, seconds):
        self.cluster.run_in_order(seconds)

    @stateful.rule(count=st.integers(1, 12))
    def propose(self, count):
        for node in self.cluster.nodes.values():
            for _ in range(count):
                self.cluster.propose(node)

    @stateful.rule(place=st.integers(0, 4))
    def confirm(self, place):
        self.cluster.confirm(self.pick(place))

    @stateful.rule()
    def recover(self):
        for node in self.cluster.nodes.values():
            node.frozen = False
            if node.replica is None:
                node.start()

    @stateful.rule(place=st.integers(0, 4))
    def crash_or_start(self, place):
        node = self.pick(place)
        if node.replica is None:
            node.start()
        else:
            node.crash()

    @stateful.rule(place=st.integers(0, 4))
    def freeze_or_thaw(self, place):
        node = self.pick(place)
        node.frozen = not node.frozen

    @stateful.rule(place=st.integers(0, 4))
    def lose_disk(self, place):
        node = self.pick(place)
        if self.cluster.may_lose_disk(node):
            node.lose_disk()
            node.start()

    @stateful.rule(
        first=st.sampled_from(NAMES),
        second=st.sampled_from(NAMES),
        both=st.booleans(),
    )
    def cut(self, first, second, both):
        self.cluster.cuts.add((first, second))
        if both:
            self.cluster.cuts.add((second, first))

    @stateful.rule()
    def heal(self):
        self.cluster.cuts.clear()

    @stateful.rule(place=st.integers(0, 4))
    def resign(self, place):
        node = self.pick(place)
        if node.is_live:
            node.replica.resign(self.cluster.now)
            node.step()

    @stateful.rule()
    def grow(self):
        spare = [n for n in NAMES if n not in self.cluster.nodes]
        if spare:
            self.cluster.grow(spare[0])

    @stateful.rule(name=st.sampled_from(NAMES), admit=st.booleans())
    def change_membership(self, name, admit):
        for node in self.cluster.nodes.values():
            if node.is_live and node.leads:
                change = node.replica.admit if admit else node.replica.expel
                change(name, self.cluster.now)
                node.step()

    def teardown(self):
        if hasattr(self, "cluster"):
            self.cluster.settle()


TestReplicaFaults = ReplicaFaults.TestCase
TestReplicaFaults.settings = hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=150,
    stateful_step_count=30,
    suppress_health_check=list(hypothesis.HealthCheck),
)


@pytest.fixture
def make_cluster():
    def make(replica_class=replica_lib.Replica, names="abc"):
        cluster = consensus_cluster.Cluster(names, replica_class)
        cluster.run_in_order(2.5)
        cluster.propose(cluster.find_leader())
        cluster.run_in_order(0.5)
        return cluster

    return make


def elect_two(cluster):
    """Makes two followers campaign in one term while their voter crashes.

    Guards against a vote that is sent before it is durable: the voter would
    forget it and vote again in the same term.
    """
    voter = cluster.find_leader()
    candidates = cluster.find_followers()
    campaign = message_lib.Campaign(voter.context.term)
    for candidate in candidates:
        voter.context.send_now(candidate.context.identity, campaign)
    voter.step()
    for candidate in candidates:
        cluster.deliver_between(voter, candidate)
        candidate.sync()
        cluster.deliver_between(candidate, candidate)
        cluster.deliver_between(candidate, voter)
        cluster.deliver_between(voter, candidate)
        voter.crash()
        voter.start()


def read_after_thaw(cluster):
    """Freezes a leader while others commit, then reads at the old leader.

    Guards against a stale read by a leader that was replaced meanwhile.
    """
    old = cluster.find_leader()
    old.frozen = True
    cluster.run_in_order(3)
    for node in cluster.find_followers():
        cluster.propose(node)
    cluster.run_in_order(1)
    old.frozen = False
    cluster.confirm(old)


def return_a_follower(cluster):
    """Partitions a follower for a long time and reconnects it.

    Guards against a returning follower that deposes a healthy leader.
    """
    term = cluster.find_leader().context.term
    lost = cluster.find_followers()[0]
    for name in cluster.names - {lost.name}:
        cluster.cuts |= {(name, lost.name), (lost.name, name)}
    cluster.run_in_order(10)
    cluster.cuts.clear()
    cluster.run_in_order(3)
    if cluster.find_leader().context.term != term:
        raise consensus_cluster.ViolationError("a returning replica disturbs")


SCENARIOS = [
    (elect_two, consensus_faulty.VotesBeforeSync, "lead the same term"),
    (read_after_thaw, consensus_faulty.ReadsWithoutQuorum, "was accepted"),
    (return_a_follower, consensus_faulty.WithoutPreVote, "disturbs"),
]


@pytest.mark.parametrize("scenario", [s[0] for s in SCENARIOS])
def test_a_replica_withstands_a_scenario(make_cluster, scenario):
    cluster = make_cluster()
    scenario(cluster)
    cluster.settle()


@pytest.mark.parametrize(("scenario", "faulty", "message"), SCENARIOS)
def test_a_scenario_catches_a_faulty_replica(
    make_cluster, scenario, faulty, message
):
    with pytest.raises(consensus_cluster.ViolationError, match=message):
        scenario(make_cluster(faulty))


def with_replica(replica_class):
    return lambda names: consensus_cluster.Cluster(names, replica_class)


@pytest.mark.parametrize("seed", range(40))
def test_a_cluster_withstands_random_faults(seed):
    consensus_nemesis.explore(seed)


@pytest.mark.parametrize(
    ("create", "message"),
    [
        (with_replica(consensus_faulty.AppendsBeforeSync), "was committed"),
        (with_replica(consensus_faulty.IgnoresLag), "was committed"),
        (consensus_faulty.LearnerThatVotes, "was committed|the same term"),
    ],
    ids=["append-before-sync", "ignored-lag", "learner-that-votes"],
)
def test_random_faults_catch_a_faulty_cluster(create, message):
    with pytest.raises(consensus_cluster.ViolationError, match=message):
        explore_all(create)


def explore_all(create):
    for seed in range(40):
        consensus_nemesis.explore(seed, create)


# Two voters lose their disks one after the other; nothing that was committed
# may be lost, so the first has to vote again before the second is lost.
def test_a_lost_disk_counts_as_repaired_only_once_it_votes(make_cluster):
    cluster = make_cluster()
    first, second = cluster.find_followers()
    first.lose_disk()
    first.start()
    assert not first.context.is_voter
    cluster.settle()
    assert first.context.is_voter
    accepted = dict(cluster.committed_entries)
    second.lose_disk()
    second.start()
    cluster.settle()
    assert second.context.is_voter
    for index, entry in accepted.items():
        assert cluster.committed_entries[index] == entry


def test_a_lagging_replica_catches_up_in_bounded_messages(make_cluster):
    cluster = make_cluster()
    lost = cluster.find_followers()[0]
    lost.crash()
    for _ in range(60):
        for _ in range(5):
            cluster.propose(cluster.find_leader())
        cluster.run_in_order(0.1)
    sizes = []
    post = cluster.post

    def measure(envelopes):
        sizes.extend(len(getattr(e[3], "data", b"")) for e in envelopes)
        post(envelopes)

    cluster.post = measure
    lost.start()
    cluster.run_in_order(2)
    assert lost.context.applied == max(cluster.committed_entries)
    assert max(sizes) <= consensus_cluster.LIMITS.message_bytes


def test_a_resigning_leader_is_replaced_within_its_lease(make_cluster):
    cluster = make_cluster()
    old = cluster.find_leader()
    old.replica.resign(cluster.now)
    old.step()
    cluster.run_in_order(0.2)
    assert old.context.role is context_lib.Role.FOLLOWER
    assert cluster.find_leader() is not old


# While no follower answers, nothing commits and no snapshot shortens the log,
# so the leader has to reject commands before the log exhausts its memory.
def test_memory_stays_bounded_when_commands_are_large(make_cluster):
    cluster = make_cluster()
    leader = cluster.find_leader()
    limit = consensus_cluster.LIMITS.snapshot_bytes
    for follower in cluster.find_followers():
        follower.frozen = True
    while not isinstance(
        leader.replica.propose(b"x" * 2**20, cluster.now),
        proposal_lib.Rejection,
    ):
        assert leader.context.log.size <= 5 * limit
    for follower in cluster.find_followers():
        follower.frozen = False
    cluster.run_in_order(2)
    assert all(n.context.log.size < limit for n in cluster.nodes.values())


@pytest.mark.parametrize("ticks", range(1, 30, 3))
# A replacement that loses its disk too must not block its next replacement.
def test_a_replacement_may_be_lost_at_any_step(make_cluster, ticks):
    cluster = make_cluster()
    lost = cluster.find_followers()[0]
    for _ in range(2):
        lost.lose_disk()
        lost.start()
        cluster.run_at_random(10 * ticks, random.Random(ticks), loss=0)
    lost.lose_disk()
    lost.start()
    cluster.settle()
    assert lost.context.is_voter


# Heartbeat replies do not wait for the disk, so followers whose disks stall
# still keep their leader.
def test_stalled_disks_of_followers_depose_no_leader(make_cluster):
    cluster = make_cluster()
    term = cluster.find_leader().context.term
    for follower in cluster.find_followers():
        follower.sync = lambda: None
    for _ in range(10):
        cluster.propose(cluster.find_leader())
        cluster.run_in_order(0.5)
    assert cluster.find_leader().context.term == term
