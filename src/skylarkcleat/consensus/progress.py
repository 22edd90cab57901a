"""How far one follower has come, as its leader sees it."""

from __future__ import annotations

import collections
import math


class Progress:
    """What a leader knows of one follower.

    Attributes:
        next: The next position to send.
        match: The last position that is durable there and equal to the
            leader's; -1 if not even the start of the log is known to be.
        inflight: The last positions of the unanswered messages.
        probing: Whether `match` is yet to be found, one message at a time.
        offset: The next byte of the snapshot to send.
        commit: The last commit position that was sent.
        sent_at: When entries or a piece of a snapshot were last sent.
        beat_at: When anything was last sent.
        answered_at: The leader's clock when it sent the latest message that
            was answered.
        round: The latest read round that was answered.
        sent_round: The latest read round that was sent.
    """

    def __init__(self, last_index: int, now: float) -> None:
        self.next = last_index
        self.match = -1
        self.inflight: collections.deque[int] = collections.deque()
        self.probing = True
        self.offset = 0
        self.commit = -1
        self.sent_at = -math.inf
        self.heartbeat_at = -math.inf
        self.answered_at = now
        self.read_round = -1
        self.sent_read_round = -1

    def has_room(self, window: int) -> bool:
        """Whether another message with entries may be sent."""
        return len(self.inflight) < (1 if self.probing else window)

    def record_sent(self, last: int, now: float) -> None:
        """Notes that the entries up to a position were sent."""
        self.inflight.append(last)
        self.sent_at = now
        if not self.probing:
            self.next = last + 1

    def record_answer(self, round_number: int, sent_at: float) -> None:
        """Notes that the follower still follows."""
        self.read_round = max(self.read_round, round_number)
        self.answered_at = max(self.answered_at, sent_at)

    def record_match(self, index: int) -> None:
        """Notes that the log is durable and equal up to a position."""
        self.match = max(self.match, index)
        self.next = max(self.next, self.match + 1)
        self.probing = False
        while self.inflight and self.inflight[0] <= self.match:
            self.inflight.popleft()

    def probe(self, index: int) -> None:
        """Starts again after a position, or after the matched one."""
        self.next = max(self.match, index) + 1
        self.probing = True
        self.inflight.clear()

    def retry(self) -> None:
        """Starts again after the matched position, if there is one."""
        if self.match >= 0:
            self.next = self.match + 1
        self.probing = True
        self.inflight.clear()
