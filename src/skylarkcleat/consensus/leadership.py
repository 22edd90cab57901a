"""The leader's part: replicates its log and commits by a majority."""

from __future__ import annotations

import collections
import typing as t

import crc32c

from skylarkcleat.consensus import context as context_lib
from skylarkcleat.consensus import entry as entry_lib
from skylarkcleat.consensus import identity as identity_lib
from skylarkcleat.consensus import margin as margin_lib
from skylarkcleat.consensus import message as message_lib
from skylarkcleat.consensus import progress as progress_lib
from skylarkcleat.consensus import write as write_lib


class Leadership:
    """One replica's leadership in one term.

    It begins by appending an empty entry: a leader may commit entries of
    earlier terms only together with one of its own.

    Attributes:
        first_index: The first position of the term.
        read_round: The latest read round. Each read starts a new round, and
            a majority of replies to it proves that this replica still led
            when the round began.
        peers: The replication progress of each other replica.
    """

    def __init__(self, context: context_lib.Context) -> None:
        self._context = context
        self.first_index = context.log.last_index + 1
        self.read_round = 0
        self.peers: dict[identity_lib.Identity, progress_lib.Progress] = {}
        self._own_match = 0
        self._checksum: tuple[int, int] = (-1, 0)
        self._asked: collections.Counter[identity_lib.Identity] = (
            collections.Counter()
        )
        context.role = context_lib.Role.LEADER
        context.leader = context.identity
        self.append(entry_lib.EntryKind.NOOP, b"")

    @property
    def is_established(self) -> bool:
        """Whether an entry of this term is committed."""
        return self._context.commit >= self.first_index

    def append(self, kind: entry_lib.EntryKind, data: bytes) -> int:
        """Appends an entry and returns its position."""
        context = self._context
        index = context.log.last_index + 1
        entry = entry_lib.Entry(index, context.term, kind, data)
        context.save_entries((entry,))
        self._sync_peers()
        return index

    def majority_answered_at(self) -> float:
        """Returns a time at which a majority still followed this leader."""
        return self._majority_value(
            self._context.now, [self.peers[v].answered_at for v in self._others]
        )

    def majority_read_round(self) -> int:
        """Returns the latest read round to which a majority replied."""
        return int(
            self._majority_value(
                self.read_round,
                [self.peers[v].read_round for v in self._others],
            )
        )

    def handle_append_reply(
        self, sender: identity_lib.Identity, reply: message_lib.AppendReply
    ) -> None:
        """Handles a reply of a follower, or of this replica's own disk."""
        if sender == self._context.identity:
            self._own_match = max(self._own_match, reply.index)
            return self._advance_commit()
        peer = self.peers.get(sender)
        if peer is None:
            return None
        peer.record_answer(reply.read_round, reply.sent_at)
        if not reply.matched:
            if reply.index + 1 < peer.next:
                peer.probe(reply.index)
            return None
        if reply.index > peer.match:
            peer.offset = 0
        peer.record_match(reply.index)
        return self._advance_commit()

    def handle_heartbeat_reply(
        self,
        sender: identity_lib.Identity,
        reply: message_lib.HeartbeatReply,
    ) -> None:
        """Records that a follower still follows."""
        peer = self.peers.get(sender)
        if peer is not None:
            peer.record_answer(reply.read_round, reply.sent_at)

    def handle_snapshot_reply(
        self, sender: identity_lib.Identity, reply: message_lib.SnapshotReply
    ) -> None:
        """Records how much of a snapshot a follower has received."""
        peer = self.peers.get(sender)
        snapshot = self._context.snapshot
        if peer is None or snapshot is None:
            return
        peer.record_answer(reply.read_round, reply.sent_at)
        if reply.index == snapshot.index and reply.offset != peer.offset:
            peer.offset = reply.offset
            peer.inflight.clear()

    def choose_successor(
        self, leaving: t.Container[identity_lib.Identity]
    ) -> identity_lib.Identity | None:
        """Returns the most advanced voter of those that replied recently.

        One that was chosen before and does not lead may be gone, so each call
        returns another one, as long as there is one.

        Args:
            leaving: Those that are about to stop; one of them is returned only
                if there is no other.
        """
        context = self._context
        recent = context.now - context.limits.election_s
        voters = [v for v in self._others if self.peers[v].answered_at > recent]
        chosen = max(
            voters,
            key=lambda v: (
                v not in leaving,
                -self._asked[v],
                self.peers[v].match,
            ),
            default=None,
        )
        if chosen is not None:
            self._asked[chosen] += 1
        return chosen

    def is_silent(self, replica: identity_lib.Identity) -> bool:
        """Whether another replica has left this leader without an answer."""
        context = self._context
        unanswered_s = context.now - self.peers[replica].answered_at
        return unanswered_s > context.limits.silent_s

    def find_margin(self) -> margin_lib.Margin:
        """Returns how many more voters may be lost."""
        membership = self._context.membership
        silent = [voter for voter in self._others if self.is_silent(voter)]
        answering = len(membership.voters) - len(silent)
        return margin_lib.Margin(
            len(membership.voters),
            tuple(sorted(voter.name for voter in silent)),
            answering - membership.quorum,
        )

    def flush(self) -> None:
        """Sends each follower the entries that it lacks, within its window."""
        writes = self._context.writes
        if any(isinstance(w, write_lib.SaveEntries) for w in writes):
            self._acknowledge_own_entries()
        for receiver, peer in self.peers.items():
            self._flush_peer(receiver, peer)

    def _acknowledge_own_entries(self) -> None:
        context = self._context
        reply = message_lib.AppendReply(
            context.term, True, context.log.last_index, 0, context.now
        )
        context.send_after_sync(context.identity, reply)

    def _flush_peer(
        self, receiver: identity_lib.Identity, peer: progress_lib.Progress
    ) -> None:
        context = self._context
        if peer.inflight and self._is_resend_due(peer):
            peer.retry()
        while self._send_more(receiver, peer):
            pass
        if self._is_heartbeat_due(peer):
            self._send_entries(receiver, peer, ())
            peer.heartbeat_at = context.now

    def _is_resend_due(self, peer: progress_lib.Progress) -> bool:
        context = self._context
        return context.now - peer.sent_at > context.limits.resend_s

    def _is_heartbeat_due(self, peer: progress_lib.Progress) -> bool:
        context = self._context
        due = context.now - peer.heartbeat_at >= context.limits.heartbeat_s
        behind = (
            peer.commit < context.commit
            or peer.sent_read_round < self.read_round
        )
        return due or behind

    def _send_more(
        self, receiver: identity_lib.Identity, peer: progress_lib.Progress
    ) -> bool:
        context = self._context
        limits = context.limits
        log = context.log
        if not peer.has_room(limits.window_messages):
            return False
        if peer.next <= log.base_index:
            return self._send_chunk(receiver, peer)
        entries = log.batch(
            peer.next, limits.message_entries, limits.message_bytes
        )
        if not entries:
            return False
        self._send_entries(receiver, peer, entries)
        peer.record_sent(entries[-1].index, context.now)
        return True

    def _send_entries(
        self,
        receiver: identity_lib.Identity,
        peer: progress_lib.Progress,
        entries: tuple[entry_lib.Entry, ...],
    ) -> None:
        context = self._context
        log = context.log
        previous = max(peer.next - 1, log.base_index)
        request = message_lib.AppendRequest(
            context.term,
            previous,
            log.term_at(previous) or 0,
            entries,
            context.commit,
            self.read_round,
            context.now,
        )
        context.send_now(receiver, request)
        peer.commit = context.commit
        peer.sent_read_round = self.read_round

    def _send_chunk(
        self, receiver: identity_lib.Identity, peer: progress_lib.Progress
    ) -> bool:
        context = self._context
        snapshot = context.snapshot
        if snapshot is None or peer.inflight:
            return False
        end = peer.offset + context.limits.message_bytes
        chunk = message_lib.SnapshotChunk(
            context.term,
            snapshot._replace(data=b""),
            self._compute_checksum(snapshot.index, snapshot.data),
            len(snapshot.data),
            peer.offset,
            snapshot.data[peer.offset : end],
            self.read_round,
            context.now,
        )
        context.send_now(receiver, chunk)
        peer.inflight.append(snapshot.index)
        peer.sent_at = context.now
        return True

    def _compute_checksum(self, index: int, data: bytes) -> int:
        if self._checksum[0] != index:
            self._checksum = (index, crc32c.crc32c(data))
        return self._checksum[1]

    @property
    def _others(self) -> list[identity_lib.Identity]:
        context = self._context
        voters = context.membership.voters
        return [v for v in voters if v != context.identity]

    def _majority_value(self, own: float, others: list[float]) -> float:
        values = list(others)
        if self._context.is_voter:
            values.append(own)
        values.sort(reverse=True)
        return values[self._context.membership.quorum - 1]

    def _advance_commit(self) -> None:
        context = self._context
        matches = [float(self.peers[v].match) for v in self._others]
        index = int(self._majority_value(self._own_match, matches))
        current = context.log.term_at(index) == context.term
        if index > context.commit and current:
            context.commit = index

    def _sync_peers(self) -> None:
        context = self._context
        replicas = context.membership.replicas
        last_index = context.log.last_index
        for replica in replicas:
            if replica != context.identity and replica not in self.peers:
                self.peers[replica] = progress_lib.Progress(
                    last_index, context.now
                )
        for replica in set(self.peers).difference(replicas):
            del self.peers[replica]
