"""The lines that tell how close a cluster is to losing its majority."""

import pytest

from skylarkcleat.consensus import status_log
from tests import consensus_cluster

SILENT_S = consensus_cluster.LIMITS.silent_s


@pytest.fixture
def cluster():
    cluster = consensus_cluster.Cluster("abc")
    cluster.run_in_order(2.5)
    return cluster


@pytest.fixture
def follow(cluster, log_lines):
    """Runs a cluster and records what one node writes meanwhile."""

    def run(node, seconds, linked="abc"):
        log = status_log.StatusLog(
            node.name, node.replica, lambda: linked, cluster.now
        )
        log_lines.clear()
        end = cluster.now + seconds
        while cluster.now < end:
            cluster.run_in_order(0.1)
            log.record_leader()
            log.record_cluster(cluster.now)
        return log_lines

    return run


def select(lines, kind):
    return [line for line in lines if line["message_type"] == kind]


def test_leader_writes_that_one_more_loss_stops_the_log(cluster, follow):
    cluster.find_followers()[0].crash()
    lines = follow(cluster.find_leader(), SILENT_S + 1)
    margins = select(lines, "consensus:margin")
    assert [line["spare"] for line in margins] == [1, 0]
    assert margins[-1]["silent"] == (cluster.find_followers()[0].name,)
    assert margins[-1]["voters"] == 3


def test_replica_writes_who_votes(cluster, follow):
    leader = cluster.find_leader()
    cluster.find_followers()[0].lose_disk()
    cluster.find_followers()[0].start()
    lines = follow(leader, 2)
    members = select(lines, "consensus:members")
    sizes = [(len(m["voters"]), len(m["learners"])) for m in members]
    assert (2, 1) in sizes
    assert sizes[-1] == (3, 0)


def test_replica_without_a_leader_writes_so_again_and_again(cluster, follow):
    left = cluster.find_leader()
    for node in cluster.find_followers():
        node.crash()
    seconds = 2.5 * status_log.LEADERLESS_INTERVAL_S
    lines = select(follow(left, seconds), "consensus:leaderless")
    assert len(lines) == 2
    assert all(sorted(line["voters"]) == ["a", "b", "c"] for line in lines)
    assert lines[1]["seconds"] >= 2 * status_log.LEADERLESS_INTERVAL_S


def test_replica_without_a_leader_names_the_voters_without_a_link(
    cluster, follow
):
    left = cluster.find_leader()
    for node in cluster.find_followers():
        node.crash()
    seconds = 1.5 * status_log.LEADERLESS_INTERVAL_S
    (line,) = select(follow(left, seconds, ""), "consensus:leaderless")
    assert line["unlinked"] == [v for v in "abc" if v != left.name]
    (line,) = select(follow(left, seconds), "consensus:leaderless")
    assert line["unlinked"] == []
