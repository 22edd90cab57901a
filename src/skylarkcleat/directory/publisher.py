"""Sends the directory to its subscribers: answers polls, pushes changes."""

from __future__ import annotations

import collections
import typing as t

from skylarkcleat.directory import source as source_lib
from skylarkcleat.protocol import subscribing

# So many of the largest profiles, with 64 upstreams of 63 characters each,
# still fit into a message.
CHANGES_PER_MESSAGE = 128
# Subscribers beyond this number get answers to polls, but no pushes.
MAX_SUBSCRIBERS = 20_000
# Subscribers that have not polled for this long get no more pushes.
SUBSCRIBER_TIMEOUT_S = 5.0


class Push(t.NamedTuple):
    """A message for several subscribers.

    Attributes:
        peers: The subscribers, by the identity that `answer` was passed.
        delta: The message.
    """

    peers: tuple[bytes, ...]
    delta: subscribing.Delta


class _Position(t.NamedTuple):
    revision: int
    last_seen_at: float


class Publisher:
    """Answers polls and pushes changes; tracks each subscriber's revision.

    A subscriber that lacks more changes than are kept receives the whole
    state in chunks, one for each of its polls. The chunks are created once
    for all subscribers and reused while the changes since then are kept.
    """

    def __init__(
        self, source: source_lib.Source, per_message: int = CHANGES_PER_MESSAGE
    ):
        """Creates a publisher without subscribers.

        Args:
            source: The view to publish and its latest changes.
            per_message: The maximum number of changes in a message.
        """
        self._source = source
        self._per_message = per_message
        self._positions: dict[bytes, _Position] = {}
        self._chunks: list[tuple[subscribing.Change, ...]] = []
        self._chunks_revision = 0

    @property
    def subscriber_count(self) -> int:
        """How many subscribers polled recently."""
        return len(self._positions)

    def answer(
        self,
        peer: bytes,
        poll: subscribing.Poll,
        now: float,
        age_ms: float | None,
    ) -> subscribing.Delta | subscribing.SnapshotChunk:
        """Answers a poll.

        Args:
            peer: The subscriber's connection.
            poll: The poll.
            now: The monotonic clock, in seconds.
            age_ms: How long ago the source was known to be complete, in
                milliseconds; None if it never was.
        """
        known = poll.known_revision
        changes = self._source.changes
        if known < changes.start:
            return self._answer_chunk(poll)
        missing: tuple[subscribing.Change, ...] = ()
        if known < changes.end:
            missing = changes.list_after(known, self._per_message)
        reached = missing[-1].revision if missing else known
        self._track(peer, _Position(reached, now))
        return subscribing.Delta(
            poll.sequence, known, reached, changes.end, age_ms, missing
        )

    def push(self) -> list[Push]:
        """Returns the changes that subscribers lack, each at most once."""
        changes = self._source.changes
        behind = collections.defaultdict(list)
        for peer, position in self._positions.items():
            if changes.start <= position.revision < changes.end:
                behind[position.revision].append(peer)
        return [
            self._push_from(revision, tuple(peers))
            for revision, peers in behind.items()
        ]

    def drop_unresponsive(self, now: float) -> None:
        """Drops subscribers that have not polled within their timeout."""
        unresponsive = [
            peer
            for peer, position in self._positions.items()
            if now - position.last_seen_at > SUBSCRIBER_TIMEOUT_S
        ]
        for peer in unresponsive:
            del self._positions[peer]

    def _track(self, peer: bytes, position: _Position) -> None:
        if peer in self._positions or self._has_room():
            self._positions[peer] = position

    def _has_room(self) -> bool:
        return len(self._positions) < MAX_SUBSCRIBERS

    def _push_from(self, revision: int, peers: tuple[bytes, ...]) -> Push:
        changes = self._source.changes
        missing = changes.list_after(revision, self._per_message)
        reached = missing[-1].revision
        for peer in peers:
            last_seen_at = self._positions[peer].last_seen_at
            self._positions[peer] = _Position(reached, last_seen_at)
        delta = subscribing.Delta(
            0, revision, reached, changes.end, None, missing
        )
        return Push(peers, delta)

    def _answer_chunk(
        self, poll: subscribing.Poll
    ) -> subscribing.SnapshotChunk:
        changes = self._source.changes
        # A subscriber that has collected all chunks needs the changes since
        # then, so the chunks are recreated once half of the kept changes
        # are newer, well before those changes are dropped.
        reserve = (changes.end - changes.start) // 2
        if self._chunks_revision < changes.start + reserve:
            self._make_chunks()
        number = 0
        if poll.snapshot_revision == self._chunks_revision:
            number = min(poll.chunk, len(self._chunks) - 1)
        return subscribing.SnapshotChunk(
            poll.sequence,
            self._chunks_revision,
            number,
            len(self._chunks),
            self._chunks[number],
        )

    def _make_chunks(self) -> None:
        view = self._source.view
        entries = view.list_changes()
        size = self._per_message
        self._chunks_revision = view.revision
        self._chunks = [
            tuple(entries[start : start + size])
            for start in range(0, max(1, len(entries)), size)
        ]
