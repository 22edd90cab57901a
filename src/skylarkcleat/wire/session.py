"""The session: exactly-once, in-order delivery between two incarnations."""

from __future__ import annotations

import collections
import typing as t

import msgspec

from skylarkcleat.wire import frame as frame_lib

HEARTBEAT_INTERVAL_S = 0.3
UNRESPONSIVE_TIMEOUT_S = 1.5
LOST_TIMEOUT_S = 5.0
# How many heartbeats an idle session may miss before it counts as unresponsive
# and as lost.
UNRESPONSIVE_HEARTBEATS = 5
LOST_HEARTBEATS = 16
RESEND_TIMEOUT_S = 0.3
ACKNOWLEDGE_DELAY_S = 0.18
"""How long an acknowledgement waits for a frame to ride on. Renewals and
heartbeats go more often; less than `RESEND_TIMEOUT_S` by a tick of the hub."""

MAX_UNACKNOWLEDGED = 16
"""After this many batches an acknowledgement doesn't wait for a frame: the
sender stops at `MAX_BATCHES_IN_FLIGHT`."""

MAX_QUEUED_MESSAGES = 200_000
MAX_BATCH_BYTES = 1 << 20
MAX_MESSAGE_BYTES = 2 << 20
MAX_BATCHES_IN_FLIGHT = 64

_MS_PER_S = 1000
_Encoded = tuple[str, bytes]


class Endpoint(t.NamedTuple):
    """One end of a session: a process, by name and incarnation."""

    name: str
    incarnation: int


class Overflow(t.NamedTuple):
    """The reason why a message was not queued.

    Attributes:
        peer: The peer that the message was for.
        detail: The limit that it would have exceeded.
    """

    peer: str
    detail: str


class _Batch(t.NamedTuple):
    sequence: int
    messages: tuple[_Encoded, ...]


_HEARTBEAT = _Batch(frame_lib.HEARTBEAT, ())


class Session:
    """Numbers, acknowledges and resends batches of messages.

    It owns no socket: `collect` returns the frames to send and `receive`
    handles those received. A session outlives its connections, and ends when
    either incarnation does.

    A session that waits for an acknowledgement is unresponsive after
    `UNRESPONSIVE_TIMEOUT_S`, when its link opens a new connection, and lost
    after `LOST_TIMEOUT_S`, when it ends. For an idle session, both take longer
    if either process has so many sessions that it sends heartbeats less often.

    Attributes:
        local: This process.
        remote: The peer; its incarnation is 0 while unknown.
        number: Distinguishes this session from others with the same peer.
        last_seen_at: When the last frame was received, in seconds.
        heartbeat_s: The longest time between frames that this process sends,
            in seconds.
        due_at: The earliest time at which `maintain` has work to do.
    """

    def __init__(
        self, local: Endpoint, remote: Endpoint, number: int, now: float
    ) -> None:
        """Initializes a session.

        Args:
            local: This process.
            remote: The peer; its incarnation is 0 while unknown.
            number: Distinguishes this session from others with the same peer.
            now: The monotonic clock, in seconds.
        """
        self.local = local
        self.remote = remote
        self.number = number
        self.last_seen_at = now
        self._pending: collections.deque[_Encoded] = collections.deque()
        self._in_flight: collections.deque[_Batch] = collections.deque()
        self._queued = 0
        self._next_sequence = 1
        self._received = 0
        self._acknowledged_to_peer = 0
        self._sent_at = float("-inf")
        self._progress_at = now
        self._waiting_since = now
        self.heartbeat_s = HEARTBEAT_INTERVAL_S
        self.due_at = now
        self._peer_heartbeat_s = HEARTBEAT_INTERVAL_S

    @property
    def backlog(self) -> int:
        """The number of messages that the peer has not acknowledged."""
        return self._queued

    def is_unresponsive(self, now: float, since: float = float("-inf")) -> bool:
        """Returns whether nothing was received from the peer for too long.

        Args:
            now: The monotonic clock, in seconds.
            since: Time before this does not count towards the timeout.
        """
        waited_s = now - max(self._find_timeout_start(), since)
        timeout_s = self._choose_timeout(
            UNRESPONSIVE_TIMEOUT_S, UNRESPONSIVE_HEARTBEATS
        )
        return waited_s > timeout_s

    def is_lost(self, now: float) -> bool:
        """Returns whether the session has to end: the peer is unreachable."""
        waited_s = now - self._find_timeout_start()
        timeout_s = self._choose_timeout(LOST_TIMEOUT_S, LOST_HEARTBEATS)
        return waited_s > timeout_s

    def owns(self, frame: frame_lib.Frame) -> bool:
        """Returns whether a frame belongs to this session."""
        same_incarnation = self.remote.incarnation == frame.incarnation
        return same_incarnation and self.number == frame.session

    def enqueue(self, kind: str, body: bytes) -> Overflow | None:
        """Queues a message, or returns the limit that it exceeds."""
        if len(body) > MAX_MESSAGE_BYTES:
            return Overflow(
                self.remote.name,
                f"message {kind!r} of {len(body)} bytes is over the limit "
                f"of {MAX_MESSAGE_BYTES} bytes",
            )
        if self._queued >= MAX_QUEUED_MESSAGES:
            return Overflow(
                self.remote.name,
                f"{self._queued} messages wait for {self.remote.name!r}, "
                "which is the limit",
            )
        self.due_at = 0.0
        self._pending.append((kind, body))
        self._queued += 1
        return None

    def collect(self, now: float, stamp: int) -> list[frame_lib.Frame]:
        """Returns frames with queued messages, to be sent now."""
        frames = []
        while self._pending and len(self._in_flight) < MAX_BATCHES_IN_FLIGHT:
            batch = self._cut_batch()
            if not self._in_flight:
                self._progress_at = now
                self._waiting_since = now
            self._in_flight.append(batch)
            frames.append(self._frame(batch, now, stamp))
        return frames

    def maintain(self, now: float, stamp: int) -> list[frame_lib.Frame]:
        """Returns the due frames: new or resent batches, or a heartbeat."""
        frames = self.collect(now, stamp)
        if self._in_flight and now - self._progress_at > RESEND_TIMEOUT_S:
            frames += self.resend(now, stamp)
        if not frames and self._heartbeat_due(now):
            frames.append(self._frame(_HEARTBEAT, now, stamp))
        self.due_at = self._find_due(now)
        return frames

    def resend(self, now: float, stamp: int) -> list[frame_lib.Frame]:
        """Returns a frame for every batch in flight, to be sent again."""
        self._progress_at = now
        return [self._frame(batch, now, stamp) for batch in self._in_flight]

    def receive(
        self, frame: frame_lib.Frame, now: float
    ) -> tuple[tuple[str, msgspec.Raw], ...]:
        """Handles a frame of this session and returns its new messages."""
        self.last_seen_at = now
        self._peer_heartbeat_s = frame.heartbeat_ms / _MS_PER_S
        self._apply_acknowledgement(frame.acknowledged, now)
        if frame.messages:
            self.due_at = 0.0
        if frame.sequence != self._received + 1:
            return ()
        self._received = frame.sequence
        return frame.messages

    def _apply_acknowledgement(self, acknowledged: int, now: float) -> None:
        while self._in_flight and self._in_flight[0].sequence <= acknowledged:
            self._queued -= len(self._in_flight.popleft().messages)
            self._progress_at = now

    def _heartbeat_due(self, now: float) -> bool:
        idle_s = now - self._sent_at
        unacknowledged = self._count_unacknowledged()
        if unacknowledged and idle_s > ACKNOWLEDGE_DELAY_S:
            return True
        if unacknowledged >= MAX_UNACKNOWLEDGED:
            return True
        return idle_s > self.heartbeat_s

    def _count_unacknowledged(self) -> int:
        """Returns how many batches the peer has not been told to have come."""
        return self._received - self._acknowledged_to_peer

    def _find_due(self, now: float) -> float:
        if self._pending or self._in_flight or self._count_unacknowledged():
            return now
        unresponsive_at = self.last_seen_at + self._choose_timeout(
            UNRESPONSIVE_TIMEOUT_S, UNRESPONSIVE_HEARTBEATS
        )
        return min(self._sent_at + self.heartbeat_s, unresponsive_at)

    def _find_timeout_start(self) -> float:
        """Returns the time from which the peer's unresponsiveness counts.

        That is when the last frame was received or, if later, when the
        oldest batch in flight began to wait for its acknowledgement.
        """
        if self._in_flight:
            return max(self.last_seen_at, self._waiting_since)
        return self.last_seen_at

    def _choose_timeout(self, min_timeout_s: float, heartbeats: int) -> float:
        if self._in_flight:
            return min_timeout_s
        slower_s = max(self.heartbeat_s, self._peer_heartbeat_s)
        return max(min_timeout_s, heartbeats * slower_s)

    def _cut_batch(self) -> _Batch:
        size = 0
        messages = []
        while self._pending and size < MAX_BATCH_BYTES:
            size += len(self._pending[0][1])
            messages.append(self._pending.popleft())
        batch = _Batch(self._next_sequence, tuple(messages))
        self._next_sequence += 1
        return batch

    def _frame(self, batch: _Batch, now: float, stamp: int) -> frame_lib.Frame:
        self._sent_at = now
        self._acknowledged_to_peer = self._received
        return frame_lib.Frame(
            version=frame_lib.PROTOCOL_VERSION,
            sender=self.local.name,
            incarnation=self.local.incarnation,
            receiver=self.remote.incarnation,
            session=self.number,
            sequence=batch.sequence,
            acknowledged=self._received,
            stamp=stamp,
            heartbeat_ms=round(self.heartbeat_s * _MS_PER_S),
            messages=tuple(
                (kind, msgspec.Raw(body)) for kind, body in batch.messages
            ),
        )
