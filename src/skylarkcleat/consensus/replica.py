"""The replica: one member of a cluster that agrees on a log.

A replica is pure: it gets messages, commands and the time, and `take`
returns what its owner has to send, store and apply.
"""

from __future__ import annotations

import random
import typing as t

from skylarkcleat.consensus import context as context_lib
from skylarkcleat.consensus import election as election_lib
from skylarkcleat.consensus import entry as entry_lib
from skylarkcleat.consensus import following as following_lib
from skylarkcleat.consensus import identity as identity_lib
from skylarkcleat.consensus import joining as joining_lib
from skylarkcleat.consensus import leadership as leadership_lib
from skylarkcleat.consensus import limits as limits_lib
from skylarkcleat.consensus import message as message_lib
from skylarkcleat.consensus import proposal as proposal_lib
from skylarkcleat.consensus import reading as reading_lib
from skylarkcleat.consensus import write as write_lib


class Replica:
    """One member of a cluster.

    Args:
        stored: What the replica's data folder holds.
        names: The names of all replicas in the settings.
        founding: Whether the replica may found a cluster if all are empty.
        limits: Bounds that all replicas share.
        generator: The source of election timeouts.
        now: The time, in seconds of a monotonic clock.

    Attributes:
        context: The replica's state, for its owner to read.
    """

    def __init__(
        self,
        stored: write_lib.Stored,
        names: t.Iterable[str],
        founding: bool,
        limits: limits_lib.Limits,
        generator: random.Random,
        now: float,
    ) -> None:
        self.context = context_lib.Context(stored, limits, generator, now)
        self._election = election_lib.Election(self.context)
        self._following = following_lib.Following(self.context)
        self._reading = reading_lib.Reading(self.context)
        self._joining = joining_lib.Joining(self.context, names, founding)
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
    def wants_snapshot(self) -> bool:
        """Whether enough was applied since the last snapshot for a new one."""
        context = self.context
        if context.snapshot is None:
            return False
        age = context.applied - context.snapshot.index
        large = context.history.size >= context.limits.snapshot_bytes
        return age >= context.limits.snapshot_entries or (large and age > 0)

    def tick(self, now: float) -> None:
        """Lets time pass; called several times per heartbeat."""
        context = self.context
        context.now = now
        self._joining.announce(self._following)
        if self._leadership is None:
            self._expire_leader()
            self._election.tick()
            return
        if now - self._leadership.answer_time() >= self._lease_s:
            self._step_down()
            return
        self._joining.advance(self._leadership)

    def receive(self, envelope: message_lib.Envelope, now: float) -> None:
        """Takes in a message; one that is not for this replica is ignored."""
        self.context.now = now
        if not self._is_for_me(envelope):
            return
        sender, message = envelope.sender, envelope.message
        if isinstance(message, message_lib.VoteRequest):
            self._take_vote_request(sender, message)
        elif isinstance(message, message_lib.VoteReply):
            self._take_vote(sender, message)
        elif isinstance(message, message_lib.Replication):
            self._take_replication(sender, message)
        elif isinstance(message, message_lib.Answer):
            self._take_answer(sender, message)
        else:
            self._take_other(sender, message)

    def propose(self, command: bytes, now: float) -> proposal_lib.Placement:
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
        pending = context.history.last_index - context.commit
        if pending >= context.limits.pending_entries:
            return proposal_lib.Rejection(
                f"{pending} entries wait for their commit"
            )
        if context.history.size >= 4 * context.limits.snapshot_bytes:
            return proposal_lib.Rejection(
                f"the log holds {context.history.size} bytes"
            )
        kind = entry_lib.EntryKind.COMMAND
        index = self._leadership.append(kind, command)
        return proposal_lib.Position(index, context.term)

    def confirm(self, now: float) -> int | None:
        """Starts a read; a `ReadDone` with the returned number ends it.

        Returns:
            The read's number, or None if no leader is known. A read whose
            leader is lost never ends.
        """
        self.context.now = now
        return self._reading.ask(self._leadership)

    def meet(self, name: str) -> None:
        """Takes in the name of a replica that was found while running."""
        self._joining.meet(name)

    def found(self, founders: t.Iterable[str]) -> None:
        """Lets this empty replica found a cluster with other empty ones."""
        self._joining.found(founders)

    def is_leading(self, now: float) -> bool:
        """Whether a majority followed so lately that no other can lead."""
        if self._leadership is None or not self._leadership.is_established:
            return False
        return now - self._leadership.answer_time() < self._lease_s

    def find_silence(self, name: str, now: float) -> float:
        """Returns how long a replica has not answered this leader, in seconds.

        It is 0 for a replica that does not lead.
        """
        if self._leadership is None:
            return 0.0
        times = [
            peer.answered_at
            for identity, peer in self._leadership.peers.items()
            if identity.name == name
        ]
        return now - max(times, default=now)

    def admit(self, name: str, now: float) -> proposal_lib.Placement:
        """Makes a learner that has caught up a voter."""
        self.context.now = now
        if self._leadership is None:
            return proposal_lib.Rejection("this replica does not lead")
        return self._joining.admit(self._leadership, name)

    def expel(self, name: str, now: float) -> proposal_lib.Placement:
        """Leaves a replica out of the cluster."""
        self.context.now = now
        if self._leadership is None:
            return proposal_lib.Rejection("this replica does not lead")
        return self._joining.expel(self._leadership, name)

    def resign(self, now: float) -> bool:
        """Hands the leadership to the voter that has come furthest.

        Returns:
            Whether there is one that answered lately.
        """
        self.context.now = now
        heir = self._leadership.find_heir() if self._leadership else None
        if heir is None:
            return False
        campaign = message_lib.Campaign(self.context.term)
        self.context.send_early(heir, campaign)
        return True

    def compact(self, index: int, data: bytes) -> None:
        """Replaces the log up to an applied position by a snapshot.

        Args:
            index: The position; all up to it is applied.
            data: What the state machine captured after it.
        """
        self.context.compact(index, data)

    def take(self) -> context_lib.Ready:
        """Returns what the owner has to do since the last call."""
        if self._leadership is not None:
            self._leadership.flush()
        self._reading.flush(self._leadership)
        self._leave()
        return self.context.take()

    def _is_for_me(self, envelope: message_lib.Envelope) -> bool:
        context = self.context
        receiver = envelope.receiver
        if receiver.name != context.identity.name:
            return False
        if isinstance(envelope.message, message_lib.Announcement):
            return True
        clusters = {envelope.cluster, context.cluster, ""}
        return receiver == context.identity and len(clusters) <= 2

    def _take_vote_request(
        self,
        sender: identity_lib.Identity,
        request: message_lib.VoteRequest,
    ) -> None:
        context = self.context
        leads = self._leadership is not None
        recent = context.now - context.heard_at < context.limits.election_s
        if not request.forced and (leads or recent):
            refusal = message_lib.VoteReply(context.term, False, request.trial)
            context.send(sender, refusal)
            return
        if not request.trial and request.term > context.term:
            self._step_down()
        self._election.answer(sender, request)

    def _take_vote(
        self, sender: identity_lib.Identity, reply: message_lib.VoteReply
    ) -> None:
        if not reply.granted:
            self._note_term(reply.term)
        elif self._election.count(sender, reply):
            self._reading.forget()
            self._leadership = leadership_lib.Leadership(self.context)

    def _take_replication(
        self,
        sender: identity_lib.Identity,
        message: message_lib.Replication,
    ) -> None:
        context = self.context
        if message.term < context.term:
            reply = message_lib.AppendReply(context.term, False, 0, 0, 0.0)
            context.send(sender, reply)
            return
        if message.term > context.term or context.leader != sender:
            self._step_down()
            context.follow(message.term, sender)
        context.heard_at = context.now
        self._election.rest()
        if isinstance(message, message_lib.AppendRequest):
            self._following.take_entries(sender, message)
        else:
            self._following.take_piece(sender, message)

    def _take_answer(
        self,
        sender: identity_lib.Identity,
        reply: message_lib.Answer,
    ) -> None:
        self._note_term(reply.term)
        if self._leadership is None or reply.term != self.context.term:
            return
        if isinstance(reply, message_lib.AppendReply):
            self._leadership.note_append(sender, reply)
        elif isinstance(reply, message_lib.HeartbeatReply):
            self._leadership.note_heartbeat(sender, reply)
        else:
            self._leadership.note_piece(sender, reply)

    def _take_other(
        self, sender: identity_lib.Identity, message: message_lib.Message
    ) -> None:
        if isinstance(message, message_lib.ReadRequest):
            if self._leadership is not None:
                self._reading.serve(self._leadership, sender, message)
        elif isinstance(message, message_lib.ReadReply):
            self._reading.take_reply(message)
        elif isinstance(message, message_lib.Announcement):
            self._joining.note_announcement(sender, message, self._leadership)
        elif isinstance(message, message_lib.Founding):
            self._joining.take_founding(message, self._following)
        elif isinstance(message, message_lib.Campaign):
            self._take_campaign(message)

    def _take_campaign(self, message: message_lib.Campaign) -> None:
        context = self.context
        follows = context.role is context_lib.Role.FOLLOWER
        if message.term == context.term and context.is_voter and follows:
            self._reading.forget()
            self._election.campaign(forced=True)

    def _note_term(self, term: int) -> None:
        if term > self.context.term:
            self._step_down()
            self.context.follow(term)

    def _step_down(self) -> None:
        context = self.context
        self._leadership = None
        self._reading.forget()
        self._election.rest()
        context.follow(context.term)

    def _expire_leader(self) -> None:
        context = self.context
        silence = context.now - context.heard_at
        if context.leader and silence >= context.limits.election_s:
            context.leader = None
            self._reading.forget()

    def _leave(self) -> None:
        context = self.context
        settled = context.membership_index <= context.commit
        if self._leadership and settled and not context.is_voter:
            self._step_down()
