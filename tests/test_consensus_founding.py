"""Replicas that found a cluster while some of them are lost."""

from __future__ import annotations

import random

import pytest

from skylarkcleat.consensus import membership_plan
from tests import consensus_cluster

LIMITS = consensus_cluster.LIMITS._replace(
    voters=membership_plan.count_voters(1)
)
FOUNDED_S = 2 * LIMITS.silent_s + 2.0
"""How long it may take until a majority has founded a cluster."""

REPLACED_S = 2 * LIMITS.silent_s + 2.0
"""How long it may take until a lost voter is exchanged."""


def _create_cluster(names):
    """Creates empty replicas that may found a cluster once they agree."""
    cluster = consensus_cluster.Cluster(names, limits=LIMITS)
    for node in cluster.nodes.values():
        node.crash()
        node.may_bootstrap = False
        node.start()
    cluster.network.clear()
    for node in cluster.nodes.values():
        node.replica.allow_bootstrap(names)
    return cluster


def _commit(cluster):
    """Commits a command; returns the leader."""
    leader = cluster.find_leader()
    before = len(cluster.committed_entries)
    cluster.propose(leader)
    cluster.run_in_order(1.0)
    assert len(cluster.committed_entries) > before
    return leader


# CONFIG (review/2): one replica that was lost at the first start kept the
# others from founding a log, for good.
@pytest.mark.parametrize("lost", "abc")
def test_a_majority_founds_a_cluster_without_a_replica_that_is_lost(lost):
    cluster = _create_cluster("abc")
    cluster.remove(cluster.nodes[lost])
    cluster.run_in_order(FOUNDED_S)
    _commit(cluster)


@pytest.mark.parametrize("lost", "abc")
def test_the_successor_of_a_replica_lost_at_the_founding_votes(lost):
    cluster = _create_cluster("abc")
    cluster.remove(cluster.nodes[lost])
    cluster.discover("d")
    cluster.run_in_order(FOUNDED_S + REPLACED_S)
    leader = _commit(cluster)
    voters = {v.name for v in leader.context.membership.voters}
    assert voters == {*"abcd"} - {lost}
    cluster.remove(leader)
    cluster.run_in_order(REPLACED_S)
    _commit(cluster)


def test_a_replica_that_comes_after_the_founding_votes_with_its_disk():
    cluster = _create_cluster("abc")
    late = cluster.nodes["a"]
    late.crash()
    cluster.run_in_order(FOUNDED_S)
    late.start()
    cluster.run_in_order(REPLACED_S)
    leader = _commit(cluster)
    assert late.disk.identity in leader.context.membership.voters


def test_a_minority_founds_nothing():
    cluster = _create_cluster("abc")
    cluster.remove(cluster.nodes["a"])
    cluster.remove(cluster.nodes["b"])
    cluster.run_in_order(3 * FOUNDED_S)
    assert cluster.nodes["c"].context.snapshot is None


# The only one to join is the one that made the offer, if all else is lost.
def test_an_offer_that_nobody_takes_binds_nobody():
    cluster = _create_cluster("abc")
    first = cluster.nodes["a"]
    for node in cluster.find_followers():
        cluster.cuts.add((first.name, node.name))
    cluster.run_in_order(1.0)
    assert first.context.snapshot is None
    cluster.run_in_order(FOUNDED_S)
    _commit(cluster)
    cluster.cuts.clear()
    cluster.run_in_order(REPLACED_S)
    leader = _commit(cluster)
    assert first.disk.identity in leader.context.membership.voters


def _disturb(cluster, generator):
    """Cuts links at random, loses messages and proposes commands."""
    nodes = list(cluster.nodes.values())
    for _ in range(12):
        cluster.cuts = {
            (one.name, other.name)
            for one in nodes
            for other in nodes
            if generator.random() < 0.4
        }
        cluster.run_at_random(200, generator)
        for node in nodes:
            if node.leads:
                cluster.propose(node)
    cluster.cuts.clear()


# `Cluster` fails if two clusters both commit: their entries differ.
@pytest.mark.parametrize("seed", range(40))
def test_two_clusters_never_both_work(seed):
    generator = random.Random(seed)
    cluster = _create_cluster("abcde"[: generator.choice((3, 4, 5))])
    _disturb(cluster, generator)
    cluster.run_in_order(2 * FOUNDED_S)


@pytest.mark.parametrize("seed", range(40))
def test_replicas_that_were_cut_off_at_the_founding_found_one_cluster(
    seed, monkeypatch
):
    generator = random.Random(seed)
    cluster = _create_cluster("abcde"[: generator.choice((3, 4, 5))])
    monkeypatch.setattr(cluster, "crash_unsynced_node", lambda _: None)
    _disturb(cluster, generator)
    cluster.run_in_order(4 * FOUNDED_S)
    _commit(cluster)


@pytest.fixture
def remembering(monkeypatch):
    """Lets a replica that starts again know the initial replicas at once."""
    start = consensus_cluster.Node.start

    def start_with_record(node):
        start(node)
        context = node.context
        if context.snapshot is None or context.may_leave_cluster:
            node.replica.allow_bootstrap(node.cluster.names)

    monkeypatch.setattr(consensus_cluster.Node, "start", start_with_record)


def _restart_at_random(cluster, generator):
    """Restarts one replica, or all at the same moment, a few times."""
    for _ in range(generator.choice((1, 2, 4))):
        cluster.run_at_random(generator.choice((5, 20, 80, 200)), generator)
        nodes = list(cluster.nodes.values())
        if generator.random() < 0.5:
            nodes = generator.sample(nodes, 1)
        for node in nodes:
            node.crash()
        for node in nodes:
            node.start()


# CONFIG (review/7): replicas that started again during the founding had lost
# what they had agreed on. Their disks keep it now.
@pytest.mark.parametrize("disturbed", [False, True])
@pytest.mark.parametrize("seed", range(40))
def test_replicas_that_restart_at_the_founding_found_one_cluster(
    seed, disturbed, remembering
):
    generator = random.Random(seed)
    cluster = _create_cluster("abcde"[: generator.choice((3, 4, 5))])
    _restart_at_random(cluster, generator)
    if disturbed:
        _disturb(cluster, generator)
        _restart_at_random(cluster, generator)
    cluster.run_in_order(4 * FOUNDED_S)
    _commit(cluster)
