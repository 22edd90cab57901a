"""A cluster of replicas on a simulated network, with simulated disks and time.

The cluster checks that at most one replica leads each term, that no committed
entry changes, that restored states match the committed entries, and that
confirmed reads include all entries committed before them.
"""

import random

import msgspec

from skylarkcleat.consensus import context as context_lib
from skylarkcleat.consensus import entry as entry_lib
from skylarkcleat.consensus import entry_log as entry_log_lib
from skylarkcleat.consensus import identity as identity_lib
from skylarkcleat.consensus import limits as limits_lib
from skylarkcleat.consensus import replica as replica_lib
from skylarkcleat.consensus import write as write_lib

LIMITS = limits_lib.Limits(
    message_entries=4,
    message_bytes=200,
    window_messages=2,
    pending_entries=50,
    snapshot_entries=8,
    trailing_entries=3,
    learner_lag_entries=2,
)
NETWORK_MESSAGES = 300


class ViolationError(AssertionError):
    """A replica broke one of the guarantees of the log."""


class Disk:
    """The writes of a node that survive a crash, since they were synced."""

    def __init__(self, name, number):
        self.identity = identity_lib.Identity(name, f"disk-{number}")
        self.vote = write_lib.SaveVote(0)
        self.snapshot = None
        self.log = entry_log_lib.EntryLog(0, 0)

    def save(self, writes):
        for write in writes:
            if isinstance(write, write_lib.SaveVote):
                self.vote = write
            elif isinstance(write, write_lib.SaveEntries):
                self.log.extend(write.entries)
            else:
                self.snapshot = write.snapshot
                self.vote = write.vote
                self.log = entry_log_lib.EntryLog(
                    write.base_index, write.base_term, write.entries
                )

    def load(self):
        base = self.log.base_index
        return write_lib.Stored(
            self.identity,
            self.vote,
            self.snapshot,
            base,
            self.log.base_term,
            self.log.slice(base + 1, self.log.last_index),
        )


class Node:
    """One replica with its disk, and the caller that drives it."""

    def __init__(self, cluster, name, may_bootstrap=True):
        self.cluster = cluster
        self.name = name
        self.may_bootstrap = may_bootstrap
        self.frozen = False
        self.replica = None
        self.disk = None
        self.lose_disk()

    @property
    def context(self):
        return self.replica.context

    @property
    def is_live(self):
        return self.replica is not None and not self.frozen

    @property
    def leads(self):
        leader = context_lib.Role.LEADER
        return self.replica is not None and self.context.role is leader

    def lose_disk(self):
        self.crash()
        self.disk = Disk(self.name, self.cluster.next_number())

    def crash(self):
        self.replica = None
        self.batches = []
        self.reads = {}

    def start(self):
        self.applied = {}
        generator = random.Random(self.cluster.next_number())
        self.replica = self.cluster.replica_class(
            self.disk.load(),
            self.cluster.names,
            self.may_bootstrap,
            self.cluster.limits,
            generator,
            self.cluster.now,
        )
        self.step()

    def step(self):
        ready = self.replica.take_ready()
        self.cluster.check_leader(self)
        self.cluster.post(ready.immediate)
        if ready.writes or ready.after_sync:
            self.batches.append((ready.writes, ready.after_sync))
        if ready.restored is not None and ready.restored.index:
            self.applied = msgspec.msgpack.decode(
                ready.restored.data, type=dict[int, entry_lib.Entry]
            )
            self.cluster.check_state(self)
        for entry in ready.committed:
            self.applied[entry.index] = entry
            self.cluster.check_commit(entry)
        for read in ready.reads:
            self.cluster.check_read(self, read)
        if self.replica.is_snapshot_due:
            self.replica.compact(
                self.context.applied, msgspec.msgpack.encode(self.applied)
            )

    def sync(self):
        batches, self.batches = self.batches, []
        for writes, after_sync in batches:
            self.disk.save(writes)
            self.cluster.post(after_sync)


class Cluster:
    """The nodes, the messages between them, and what was committed so far."""

    def __init__(self, names, replica_class=replica_lib.Replica, limits=LIMITS):
        self.replica_class = replica_class
        self.limits = limits
        self.names = set(names)
        self.now = 100.0
        self.network = []
        self.cuts = set()
        self.leaders = {}
        self.committed_entries = {}
        self.number = 0
        self.nodes = {name: Node(self, name) for name in names}
        for node in self.nodes.values():
            node.start()

    def next_number(self):
        self.number += 1
        return self.number

    def post(self, envelopes):
        self.network.extend(envelopes)
        del self.network[:-NETWORK_MESSAGES]

    def deliver(self, envelope):
        node = self.nodes.get(envelope.receiver.name)
        if node is None:
            return
        own = envelope.sender.name == node.name
        cut = not own and (envelope.sender.name, node.name) in self.cuts
        if cut or not node.is_live:
            return
        node.replica.receive(envelope, self.now)
        node.step()

    def deliver_between(self, sender, receiver):
        """Delivers the messages from one node to another, in order."""
        way = (sender.name, receiver.name)
        chosen = [
            e for e in self.network if (e.sender.name, e.receiver.name) == way
        ]
        self.network = [e for e in self.network if e not in chosen]
        for envelope in chosen:
            self.deliver(envelope)

    def tick(self, seconds):
        self.now += seconds
        for node in self.nodes.values():
            if node.is_live:
                node.replica.tick(self.now)
                node.step()

    def run_at_random(self, steps, generator, loss=0.1):
        """Delivers messages, syncs disks and advances time in a random order.

        Each message may be lost or delivered more than once.
        """
        for _ in range(steps):
            draw = generator.random()
            if draw < 0.6 and self.network:
                place = generator.randrange(len(self.network))
                envelope = self.network[place]
                if generator.random() >= loss:
                    del self.network[place]
                if generator.random() >= loss:
                    self.deliver(envelope)
            elif draw < 0.8:
                node = generator.choice(list(self.nodes.values()))
                if node.is_live:
                    node.sync()
            elif draw < 0.99:
                self.tick(generator.uniform(0, 0.1))
            else:
                self.crash_unsynced_node(generator)

    def crash_unsynced_node(self, generator):
        """Crashes and restarts a random node that has unsynced writes."""
        nodes = [n for n in self.nodes.values() if n.is_live and n.batches]
        if nodes:
            node = generator.choice(nodes)
            node.crash()
            node.start()

    def run_in_order(self, seconds):
        """Delivers all messages and syncs in order for some time."""
        end = self.now + seconds
        while self.now < end:
            for _ in range(20):
                for node in self.nodes.values():
                    if node.is_live:
                        node.sync()
                if not self.network:
                    break
                envelopes, self.network = self.network, []
                for envelope in envelopes:
                    self.deliver(envelope)
            self.tick(0.05)

    def propose(self, node):
        if node.is_live:
            command = b"command %d" % self.next_number()
            node.replica.propose(command, self.now)
            node.step()

    def confirm(self, node):
        if not node.is_live:
            return
        number = node.replica.confirm(self.now)
        if number is not None:
            node.reads[number] = max(self.committed_entries, default=0)
        node.step()

    def may_lose_disk(self, node):
        """Whether each membership keeps a majority without this node's disk."""
        disks = {n.disk.identity for n in self.nodes.values()}
        disks.discard(node.disk.identity)
        if any(n.disk.snapshot is None for n in self.nodes.values()):
            return False
        nodes = self.nodes.values()
        memberships = [n.context.membership for n in nodes if n.replica]
        memberships += [self.read_membership(n.disk) for n in nodes]
        return all(
            len(disks.intersection(m.voters)) >= m.quorum
            for m in memberships
            if node.disk.identity in m.voters
        )

    def read_membership(self, disk):
        latest = disk.log.latest_membership()
        return latest[1] if latest else disk.snapshot.membership

    def grow(self, name):
        self.names.add(name)
        for node in self.nodes.values():
            was_live = node.replica is not None
            node.crash()
            if was_live:
                node.start()
        self.nodes[name] = Node(self, name)
        self.nodes[name].start()

    def discover(self, name):
        """Starts an empty node under a new name, which the others learn."""
        self.names.add(name)
        for node in self.nodes.values():
            if node.replica is not None:
                node.replica.add_peer(name)
        self.nodes[name] = Node(self, name, may_bootstrap=False)
        self.nodes[name].start()
        return self.nodes[name]

    def remove(self, node):
        """Takes a node away for good, with its disk."""
        node.crash()
        del self.nodes[node.name]

    def settle(self):
        """Ends all faults, and expects the cluster to make progress."""
        self.cuts.clear()
        for node in self.nodes.values():
            node.frozen = False
            if node.replica is None:
                node.start()
        for _ in range(40):
            self.run_in_order(0.5)
            for node in self.nodes.values():
                if node.leads:
                    self.propose(node)
            if self.is_settled():
                return
        raise ViolationError(
            f"no progress 20 s after the last fault: {self.now}"
        )

    def is_settled(self):
        self.run_in_order(0.5)
        leaders = [n.context for n in self.nodes.values() if n.leads]
        if len(leaders) != 1 or not self.committed_entries:
            return False
        voters = leaders[0].membership.voters
        if leaders[0].membership.replacing:
            return False
        nodes = [self.nodes[voter.name] for voter in voters]
        return all(
            node.disk.identity in voters
            and node.context.applied >= max(self.committed_entries)
            for node in nodes
        )

    def find_leader(self):
        return next(n for n in self.nodes.values() if n.leads)

    def find_followers(self):
        return [n for n in self.nodes.values() if not n.leads]

    def check_leader(self, node):
        if not node.leads:
            return
        identity = node.context.identity
        known = self.leaders.setdefault(node.context.term, identity)
        if known != identity:
            raise ViolationError(f"{known} and {identity} lead the same term")

    def check_commit(self, entry):
        known = self.committed_entries.setdefault(entry.index, entry)
        if known != entry:
            raise ViolationError(f"{known} was committed, then {entry}")

    def check_state(self, node):
        for index, entry in node.applied.items():
            if self.committed_entries[index] != entry:
                raise ViolationError(f"{node.name} restored another {entry}")

    def check_read(self, node, read):
        expected = node.reads.pop(read.number, 0)
        if node.context.applied < expected:
            raise ViolationError(
                f"{node.name} confirmed a read at {node.context.applied}, "
                f"though {expected} was accepted before"
            )
