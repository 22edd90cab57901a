"""The state that the parts of a replica share, and the output they collect."""

from __future__ import annotations

import enum
import random
import typing as t

from skylarkcleat.consensus import entry as entry_lib
from skylarkcleat.consensus import entry_log as entry_log_lib
from skylarkcleat.consensus import identity as identity_lib
from skylarkcleat.consensus import limits as limits_lib
from skylarkcleat.consensus import membership as membership_lib
from skylarkcleat.consensus import message as message_lib
from skylarkcleat.consensus import snapshot as snapshot_lib
from skylarkcleat.consensus import write as write_lib

_NO_MEMBERS = membership_lib.Membership(())


class Role(enum.StrEnum):
    """The role of a replica in its current term."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


class ReadDone(t.NamedTuple):
    """A confirmed read.

    Attributes:
        number: The read's number, which `Replica.confirm` returned.
        as_of: The time at which `Replica.confirm` was called.
        index: A position up to which the log is applied.
    """

    number: int
    as_of: float
    index: int


class Ready(t.NamedTuple):
    """What the caller of a replica has to do, in this order.

    Attributes:
        immediate: Messages to send without waiting for the disk.
        writes: Writes that must be durable before any message of
            `after_sync` is sent. Writes of an earlier `Ready` come first.
        after_sync: Messages to send once `writes`, and the writes of every
            earlier `Ready`, are durable. Some are addressed to this replica
            itself.
        restored: A snapshot that replaces the state machine's state.
        committed: Entries to apply, in order, after `restored`.
        reads: Reads that are confirmed once `committed` is applied.
    """

    immediate: tuple[message_lib.Envelope, ...]
    writes: tuple[write_lib.Write, ...]
    after_sync: tuple[message_lib.Envelope, ...]
    restored: snapshot_lib.Snapshot | None
    committed: tuple[entry_lib.Entry, ...]
    reads: tuple[ReadDone, ...]


class Context:
    """The state of one replica.

    Attributes:
        identity: The identity of this replica.
        limits: The bounds on its time, messages and memory.
        random: The source of its election timeouts.
        now: The time of the current call, in seconds of a monotonic clock.
        role: Its role in its current term.
        vote: Its current term and its vote in that term.
        snapshot: Its latest snapshot; None before it is in a cluster.
        log: The log entries that it holds in memory.
        has_acknowledged: Whether it may have told a leader that it holds an
            entry of its cluster.
        commit: The last position that it knows to be committed.
        applied: The last position that `take_ready` returned to be applied.
        leader: The leader of its current term, if known.
        leader_seen_at: When it last received a message from a leader.
        immediate: Messages to send without waiting for the disk.
        after_sync: Messages to send once `writes` are durable.
        writes: Writes that have to become durable.
        restored: A snapshot that has to replace the state machine's state.
        reads: Reads that are confirmed.
    """

    def __init__(
        self,
        stored: write_lib.Stored,
        limits: limits_lib.Limits,
        generator: random.Random,
        now: float,
    ) -> None:
        self.identity = stored.identity
        self.limits = limits
        self.random = generator
        self.now = now
        self.role = Role.FOLLOWER
        self.vote = stored.vote
        self.snapshot = stored.snapshot
        self.log = entry_log_lib.EntryLog(
            stored.base_index, stored.base_term, stored.entries
        )
        self.has_acknowledged = bool(stored.entries)
        self.commit = stored.snapshot.index if stored.snapshot else 0
        self.applied = self.commit
        self.leader: identity_lib.Identity | None = None
        self.leader_seen_at = now
        self.immediate: list[message_lib.Envelope] = []
        self.after_sync: list[message_lib.Envelope] = []
        self.writes: list[write_lib.Write] = []
        self.restored = stored.snapshot
        self.reads: list[ReadDone] = []

    @property
    def term(self) -> int:
        """The latest term that this replica has seen."""
        return self.vote.term

    @property
    def cluster(self) -> str:
        """The cluster's name; empty before this replica is in one."""
        return self.snapshot.cluster if self.snapshot else ""

    @property
    def membership(self) -> membership_lib.Membership:
        """The latest membership in the log, committed or not."""
        latest = self.log.latest_membership()
        if latest:
            return latest[1]
        return self.snapshot.membership if self.snapshot else _NO_MEMBERS

    @property
    def membership_index(self) -> int:
        """The position of that membership."""
        latest = self.log.latest_membership()
        if latest:
            return latest[0]
        return self.snapshot.index if self.snapshot else 0

    @property
    def is_voter(self) -> bool:
        """Whether this replica counts towards a majority."""
        return self.identity in self.membership.voters

    @property
    def may_leave_cluster(self) -> bool:
        """Whether no majority of its cluster ever relied on this replica.

        It has acknowledged no entry, and as a leader it has committed none.
        """
        is_first = self.snapshot is not None and self.snapshot.index == 0
        is_leader = self.role is Role.LEADER
        is_relied_on = self.has_acknowledged or self.commit > 0
        return is_first and not is_leader and not is_relied_on

    def leave_cluster(self) -> None:
        """Forgets the cluster, but not its vote.

        The disk keeps the cluster until it joins another one.
        """
        self.snapshot = None
        self.log = entry_log_lib.EntryLog(0, 0)
        self.role = Role.FOLLOWER
        self.leader = None

    def send_now(
        self, receiver: identity_lib.Identity, message: message_lib.Message
    ) -> None:
        """Sends a message that relies on nothing on this replica's disk."""
        self.immediate.append(self._wrap(receiver, message))

    def send_after_sync(
        self, receiver: identity_lib.Identity, message: message_lib.Message
    ) -> None:
        """Sends a message once every write saved so far is durable."""
        self.after_sync.append(self._wrap(receiver, message))

    def save_vote(
        self, term: int, candidate: identity_lib.Identity | None
    ) -> None:
        """Records a new term and vote."""
        self.vote = write_lib.SaveVote(term, candidate)
        self.writes.append(self.vote)

    def save_entries(self, entries: tuple[entry_lib.Entry, ...]) -> None:
        """Appends entries to the log, replacing any that conflict."""
        self.log.extend(entries)
        self.writes.append(write_lib.SaveEntries(entries))

    def save_snapshot(self, snapshot: snapshot_lib.Snapshot) -> None:
        """Records a new snapshot; `log` must already match it."""
        self.snapshot = snapshot
        log = self.log
        entries = log.slice(log.base_index + 1, log.last_index)
        self.writes.append(
            write_lib.SaveSnapshot(
                snapshot,
                log.base_index,
                log.base_term,
                entries,
                self.vote,
            )
        )

    def compact(self, index: int, data: bytes) -> None:
        """Replaces the log up to an applied position by a snapshot."""
        log = self.log
        term = log.term_at(index)
        if self.snapshot is None or term is None:
            return
        latest = log.latest_membership(index)
        membership = latest[1] if latest else self.snapshot.membership
        base = index
        if log.size < self.limits.snapshot_bytes:
            base -= self.limits.trailing_entries
        log.compact(max(base, log.base_index))
        self.save_snapshot(
            snapshot_lib.Snapshot(
                self.snapshot.cluster, index, term, membership, data
            )
        )

    def follow(
        self, term: int, leader: identity_lib.Identity | None = None
    ) -> None:
        """Becomes a follower in its current term or a later one."""
        if term > self.term:
            self.save_vote(term, None)
        self.role = Role.FOLLOWER
        self.leader = leader

    def take_ready(self) -> Ready:
        """Returns the collected output and clears it."""
        committed = self.log.slice(self.applied + 1, self.commit)
        ready = Ready(
            tuple(self.immediate),
            tuple(self.writes),
            tuple(self.after_sync),
            self.restored,
            committed,
            tuple(self.reads),
        )
        self.applied = self.commit
        self.immediate.clear()
        self.writes.clear()
        self.after_sync.clear()
        self.reads.clear()
        self.restored = None
        return ready

    def _wrap(
        self, receiver: identity_lib.Identity, message: message_lib.Message
    ) -> message_lib.Envelope:
        return message_lib.Envelope(
            self.cluster, self.identity, receiver, message
        )
