"""The replication protocol of one replica, without input and output.

A replica is called with messages, commands and the time. `take_ready` then
returns the messages to send, the writes to store and the entries to apply.
"""

from __future__ import annotations

import random
import typing as t

from skylarkcleat.consensus import context as context_lib
from skylarkcleat.consensus import election as election_lib
from skylarkcleat.consensus import entry as entry_lib
from skylarkcleat.consensus import follower as follower_lib
from skylarkcleat.consensus import identity as identity_lib
from skylarkcleat.consensus import leadership as leadership_lib
from skylarkcleat.consensus import limits as limits_lib
from skylarkcleat.consensus import margin as margin_lib
from skylarkcleat.consensus import membership_changes as membership_changes_lib
from skylarkcleat.consensus import membership_plan as membership_plan_lib
from skylarkcleat.consensus import message as message_lib
from skylarkcleat.consensus import pending_reads as pending_reads_lib
from skylarkcleat.consensus import proposal as proposal_lib
from skylarkcleat.consensus import write as write_lib


class Replica:
    """One member of a cluster.

    Args:
        stored: The content of the replica's data folder.
        names: The names of all replicas in the settings.
        may_bootstrap: Whether the replica may bootstrap a cluster if all
            replicas are empty.
        limits: Bounds that all replicas share.
        generator: The source of election timeouts.
        now: The time, in seconds of a monotonic clock.

    Attributes:
        context: The replica's state, which its caller may read.
    """

    def __init__(
        self,
        stored: write_lib.Stored,
        names: t.Iterable[str],
        may_bootstrap: bool,
        limits: limits_lib.Limits,
        generator: random.Random,
        now: float,
    ) -> None:
        self.context = context_lib.Context(stored, limits, generator, now)
        self._election = election_lib.Election(self.context)
        self._follower = follower_lib.Follower(self.context)
        self._pending_reads = pending_reads_lib.PendingReads(self.context)
        self._membership_changes = membership_changes_lib.MembershipChanges(
            self.context, names, may_bootstrap
        )
        self._leadership: leadership_lib.Leadership | None = None

    @property
    def leader(self) -> str:
        """The name of the replica that leads; empty if none is known."""
        leader = self.context.leader
        return leader.name if leader else ""

    @property
    def _lease_s(self) -> float:
        limits = self.context.limits
        return limits.election_s * (1 - limits.clock_drift)

    @property
    def is_snapshot_due(self) -> bool:
        """Whether enough was applied since the last snapshot for another."""
        context = self.context
        if context.snapshot is None:
            return False
        age = context.applied - context.snapshot.index
        large = context.log.size >= context.limits.snapshot_bytes
        return age >= context.limits.snapshot_entries or (large and age > 0)

    def tick(self, now: float) -> None:
        """Checks all timeouts; to be called several times per heartbeat."""
        context = self.context
        context.now = now
        self._membership_changes.announce(self._follower)
        if self._leadership is None:
            self._expire_leader()
            self._election.tick()
            return
        if now - self._leadership.majority_answered_at() >= self._lease_s:
            self._step_down()
            return
        self._membership_changes.advance(self._leadership)

    def receive(self, envelope: message_lib.Envelope, now: float) -> None:
        """Handles a message; one that is not for this replica is ignored."""
        self.context.now = now
        if not self._is_addressed_here(envelope):
            return
        sender, message = envelope.sender, envelope.message
        if isinstance(message, message_lib.VoteRequest):
            self._handle_vote_request(sender, message)
        elif isinstance(message, message_lib.VoteReply):
            self._handle_vote_reply(sender, message)
        elif isinstance(message, message_lib.Replication):
            self._handle_replication(sender, message)
        elif isinstance(message, message_lib.FollowerReply):
            self._handle_follower_reply(sender, message)
        else:
            self._handle_other(sender, message)

    def propose(
        self, command: bytes, now: float
    ) -> proposal_lib.ProposalResult:
        """Appends a command to the log, if this replica leads."""
        context = self.context
        context.now = now
        if self._leadership is None:
            return proposal_lib.Rejection("this replica does not lead")
        if len(command) > context.limits.command_bytes:
            return proposal_lib.Rejection(
                f"command has {len(command)} bytes, more than "
                f"{context.limits.command_bytes}"
            )
        pending = context.log.last_index - context.commit
        if pending >= context.limits.pending_entries:
            return proposal_lib.Rejection(
                f"{pending} entries wait for their commit"
            )
        if context.log.size >= 4 * context.limits.snapshot_bytes:
            return proposal_lib.Rejection(
                f"the log in memory already holds {context.log.size} bytes"
            )
        kind = entry_lib.EntryKind.COMMAND
        index = self._leadership.append(kind, command)
        return proposal_lib.Position(index, context.term)

    def confirm(self, now: float) -> int | None:
        """Starts a read, which a `ReadDone` with the returned number completes.

        Returns:
            The read's number, or None if no leader is known. A read whose
            leader is lost never completes.
        """
        self.context.now = now
        return self._pending_reads.start(self._leadership)

    def add_peer(self, name: str) -> None:
        """Adds the name of a replica that was discovered at run time."""
        self._membership_changes.add_name(name)

    def allow_bootstrap(self, initial_names: t.Iterable[str]) -> None:
        """Allows this empty replica to bootstrap a cluster with empty peers.

        Args:
            initial_names: The names of the replicas of the new cluster.
        """
        self._membership_changes.allow_bootstrap(initial_names)

    def is_leading(self, now: float) -> bool:
        """Whether a majority followed so recently that no other can lead."""
        if self._leadership is None or not self._leadership.is_established:
            return False
        return now - self._leadership.majority_answered_at() < self._lease_s

    @property
    def margin(self) -> margin_lib.Margin | None:
        """How many more voters may be lost; None on one that does not lead."""
        return self._leadership.find_margin() if self._leadership else None

    @property
    def last_change(self) -> membership_plan_lib.Change | None:
        """The latest change of the membership that this leader began."""
        return self._membership_changes.last_change

    def admit(self, name: str, now: float) -> proposal_lib.ProposalResult:
        """Makes a learner that has caught up a voter."""
        self.context.now = now
        if self._leadership is None:
            return proposal_lib.Rejection("this replica does not lead")
        return self._membership_changes.admit(self._leadership, name)

    def expel(self, name: str, now: float) -> proposal_lib.ProposalResult:
        """Removes a replica from the cluster."""
        self.context.now = now
        if self._leadership is None:
            return proposal_lib.Rejection("this replica does not lead")
        return self._membership_changes.expel(self._leadership, name)

    def resign(self, now: float) -> bool:
        """Transfers the leadership to the most advanced voter.

        Returns:
            Whether there is another voter that answered recently.
        """
        self.context.now = now
        if self._leadership is None:
            return False
        leaving = self._membership_changes.list_leaving()
        successor = self._leadership.choose_successor(leaving)
        if successor is None:
            return False
        campaign = message_lib.Campaign(self.context.term)
        self.context.send_now(successor, campaign)
        return True

    def leave(self, now: float) -> bool:
        """Gives up this replica's vote and leadership, before it stops.

        Returns:
            Whether another voter may lead in its place.
        """
        self._membership_changes.begin_leaving()
        return self.resign(now)

    def compact(self, index: int, data: bytes) -> None:
        """Replaces the log up to an applied position by a snapshot.

        Args:
            index: The position; all entries up to it are applied.
            data: The state that the state machine captured after it.
        """
        self.context.compact(index, data)

    def take_ready(self) -> context_lib.Ready:
        """Returns the messages, writes and entries since the last call."""
        if self._leadership is not None:
            self._leadership.flush()
        self._pending_reads.flush(self._leadership)
        self._step_down_if_removed()
        return self.context.take_ready()

    def _is_addressed_here(self, envelope: message_lib.Envelope) -> bool:
        context = self.context
        receiver = envelope.receiver
        if receiver.name != context.identity.name:
            return False
        if isinstance(envelope.message, message_lib.Announcement):
            return envelope.cluster in ("", context.cluster)
        clusters = {envelope.cluster, context.cluster, ""}
        return receiver == context.identity and len(clusters) <= 2

    def _handle_vote_request(
        self,
        sender: identity_lib.Identity,
        request: message_lib.VoteRequest,
    ) -> None:
        context = self.context
        leads = self._leadership is not None
        recent = (
            context.now - context.leader_seen_at < context.limits.election_s
        )
        if not request.forced and (leads or recent):
            refusal = message_lib.VoteReply(
                context.term, False, request.pre_vote
            )
            context.send_after_sync(sender, refusal)
            return
        if not request.pre_vote and request.term > context.term:
            self._step_down()
        self._election.handle_request(sender, request)

    def _handle_vote_reply(
        self, sender: identity_lib.Identity, reply: message_lib.VoteReply
    ) -> None:
        if not reply.granted:
            self._record_term(reply.term)
        elif self._election.handle_reply(sender, reply):
            self._pending_reads.clear()
            self._leadership = leadership_lib.Leadership(self.context)

    def _handle_replication(
        self,
        sender: identity_lib.Identity,
        message: message_lib.Replication,
    ) -> None:
        context = self.context
        if message.term < context.term:
            reply = message_lib.AppendReply(context.term, False, 0, 0, 0.0)
            context.send_after_sync(sender, reply)
            return
        if message.term > context.term or context.leader != sender:
            self._step_down()
            context.follow(message.term, sender)
        context.leader_seen_at = context.now
        self._election.reset_timeout()
        if isinstance(message, message_lib.AppendRequest):
            self._follower.handle_entries(sender, message)
        else:
            self._follower.handle_chunk(sender, message)

    def _handle_follower_reply(
        self,
        sender: identity_lib.Identity,
        reply: message_lib.FollowerReply,
    ) -> None:
        self._record_term(reply.term)
        if self._leadership is None or reply.term != self.context.term:
            return
        if isinstance(reply, message_lib.AppendReply):
            self._leadership.handle_append_reply(sender, reply)
        elif isinstance(reply, message_lib.HeartbeatReply):
            self._leadership.handle_heartbeat_reply(sender, reply)
        else:
            self._leadership.handle_snapshot_reply(sender, reply)

    def _handle_other(
        self, sender: identity_lib.Identity, message: message_lib.Message
    ) -> None:
        if isinstance(message, message_lib.ReadRequest):
            if self._leadership is not None:
                self._pending_reads.start_for_follower(
                    self._leadership, sender, message
                )
        elif isinstance(message, message_lib.ReadReply):
            self._pending_reads.handle_reply(message)
        elif isinstance(message, message_lib.Announcement):
            self._membership_changes.handle_announcement(
                sender, message, self._leadership
            )
        elif isinstance(message, message_lib.Leaving):
            self._membership_changes.handle_leaving(sender)
        elif isinstance(message, message_lib.Bootstrap):
            self._membership_changes.handle_bootstrap(
                sender, message, self._follower
            )
        elif isinstance(message, message_lib.Campaign):
            self._handle_campaign(message)

    def _handle_campaign(self, message: message_lib.Campaign) -> None:
        context = self.context
        follows = context.role is context_lib.Role.FOLLOWER
        if message.term == context.term and context.is_voter and follows:
            self._pending_reads.clear()
            self._election.campaign(forced=True)

    def _record_term(self, term: int) -> None:
        if term > self.context.term:
            self._step_down()
            self.context.follow(term)

    def _step_down(self) -> None:
        context = self.context
        self._leadership = None
        self._pending_reads.clear()
        self._election.reset_timeout()
        context.follow(context.term)

    def _expire_leader(self) -> None:
        context = self.context
        elapsed = context.now - context.leader_seen_at
        if context.leader and elapsed >= context.limits.election_s:
            context.leader = None
            self._pending_reads.clear()

    def _step_down_if_removed(self) -> None:
        context = self.context
        settled = context.membership_index <= context.commit
        if self._leadership and settled and not context.is_voter:
            self._step_down()
