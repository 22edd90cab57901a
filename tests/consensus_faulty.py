"""Replicas and clusters with one deliberate fault each.

The tests have to detect each fault, which shows that their checks work.
"""

from skylarkcleat.consensus import message as message_lib
from skylarkcleat.consensus import replica as replica_lib
from tests import consensus_cluster


class SendsBeforeSync(replica_lib.Replica):
    """Sends some messages before the writes that they rely on are durable."""

    message_types = ()

    def take_ready(self):
        ready = super().take_ready()
        unsynced = tuple(
            e for e in ready.after_sync if isinstance(e[3], self.message_types)
        )
        after_sync = tuple(e for e in ready.after_sync if e not in unsynced)
        return ready._replace(
            immediate=ready.immediate + unsynced, after_sync=after_sync
        )


class VotesBeforeSync(SendsBeforeSync):
    message_types = (message_lib.VoteReply, message_lib.VoteRequest)


class AppendsBeforeSync(SendsBeforeSync):
    message_types = (message_lib.AppendReply,)


class IgnoresLag(replica_lib.Replica):
    def __init__(self, *arguments):
        super().__init__(*arguments)
        self._election._is_up_to_date = lambda request: True


class ReadsWithoutQuorum(replica_lib.Replica):
    def take_ready(self):
        if self._leadership is not None:
            self._leadership.majority_read_round = lambda: 1 << 60
        return super().take_ready()


class LearnerThatVotes(consensus_cluster.Cluster):
    """Its replicas keep their identity, and so their vote, on a new disk."""

    def __init__(self, names):
        super().__init__(names)
        for node in self.nodes.values():
            node.lose_disk = lambda node=node: self.lose_disk(node)

    def lose_disk(self, node):
        old = node.disk
        node.crash()
        node.disk = consensus_cluster.Disk(node.name, 0)
        node.disk.identity = old.identity
        node.disk.snapshot = old.snapshot._replace(
            index=0, term=0, data=b"", membership=self.read_membership(old)
        )


class WithoutPreVote(replica_lib.Replica):
    """Campaigns without a pre-vote, and votes despite a live leader."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self._election._start_pre_vote = self._election.campaign

    def receive(self, envelope, now):
        message = envelope.message
        if isinstance(message, message_lib.VoteRequest):
            message = message._replace(forced=True)
        super().receive(envelope._replace(message=message), now)
