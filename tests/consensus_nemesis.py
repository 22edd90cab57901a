"""Random faults for a cluster; the same seed repeats the same faults."""

import random

from tests import consensus_cluster

ROUNDS = 60


def explore(seed, create=consensus_cluster.Cluster):
    """Runs one cluster through random faults.

    Returns:
        The cluster, after all faults have ended.

    Raises:
        ViolationError: The cluster broke a guarantee or made no progress.
    """
    generator = random.Random(seed)
    cluster = create("abc" if seed % 3 else "abcde")
    cluster.run_in_order(2.5)
    for _ in range(ROUNDS):
        act(cluster, generator)
        cluster.run_at_random(generator.randrange(120), generator)
        if generator.random() < 0.15:
            cluster.run_in_order(generator.uniform(0.5, 3))
    cluster.settle()
    return cluster


def act(cluster, generator):
    node = generator.choice(list(cluster.nodes.values()))
    other = generator.choice(list(cluster.nodes.values()))
    action = generator.choice(ACTIONS)
    action(cluster, node, other)


def propose(cluster, node, other):
    for node in cluster.nodes.values():
        for _ in range(3):
            cluster.propose(node)


def confirm(cluster, node, other):
    for node in cluster.nodes.values():
        cluster.confirm(node)


def crash(cluster, node, other):
    if node.replica is None:
        node.start()
    else:
        node.crash()
        other.crash()
        node.start()


def freeze(cluster, node, other):
    node.frozen = not node.frozen


def thaw(cluster, node, other):
    for node in cluster.nodes.values():
        node.frozen = False
        if node.replica is None:
            node.start()


def lose_disk(cluster, node, other):
    if cluster.may_lose_disk(node):
        node.lose_disk()
        node.start()


def cut(cluster, node, other):
    cluster.cuts.add((node.name, other.name))


def isolate(cluster, node, other):
    for other in cluster.nodes.values():
        cluster.cuts.add((node.name, other.name))
        cluster.cuts.add((other.name, node.name))


def heal(cluster, node, other):
    cluster.cuts.clear()


def resign(cluster, node, other):
    if node.is_live:
        node.replica.resign(cluster.now)
        node.step()


def change(cluster, node, other):
    for node in cluster.nodes.values():
        if node.is_live and node.leads:
            if len(node.context.membership.voters) > 3:
                node.replica.expel(other.name, cluster.now)
            else:
                node.replica.admit(other.name, cluster.now)
            node.step()


def grow(cluster, node, other):
    if len(cluster.nodes) == 3:
        cluster.grow("d")


ACTIONS = [
    *(propose, propose, propose, propose, confirm, confirm),
    *(crash, crash, freeze, thaw, thaw, lose_disk, lose_disk),
    *(cut, isolate, heal, heal, resign, change, grow),
]
