"""The replication progress of one follower, as its leader tracks it."""

from __future__ import annotations

import collections
import math


class Progress:
    """The replication progress of one follower.

    Attributes:
        next: The next position to send.
        match: The last position that is durable at the follower and equal to
            the leader's; -1 if none is known, not even the start of the log.
        inflight: The last positions of the messages without a reply yet.
        probing: Whether `match` is still searched for, with one message at a
            time.
        offset: The next byte of the snapshot to send.
        commit: The last commit position that was sent.
        sent_at: When entries or a chunk of a snapshot were last sent.
        heartbeat_at: When a heartbeat was last sent.
        answered_at: The time at which the leader sent the latest message
            that was answered.
        read_round: The latest read round that was answered.
        sent_read_round: The latest read round that was sent.
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
        """Records that the entries up to a position were sent."""
        self.inflight.append(last)
        self.sent_at = now
        if not self.probing:
            self.next = last + 1

    def record_answer(self, round_number: int, sent_at: float) -> None:
        """Records a reply, which shows that the follower still follows."""
        self.read_round = max(self.read_round, round_number)
        self.answered_at = max(self.answered_at, sent_at)

    def record_match(self, index: int) -> None:
        """Records that the log is durable and equal up to a position."""
        self.match = max(self.match, index)
        self.next = max(self.next, self.match + 1)
        self.probing = False
        while self.inflight and self.inflight[0] <= self.match:
            self.inflight.popleft()

    def probe(self, index: int) -> None:
        """Searches for the matching position again, after a given one."""
        self.next = max(self.match, index) + 1
        self.probing = True
        self.inflight.clear()

    def retry(self) -> None:
        """Sends again after the matched position, if there is one."""
        if self.match >= 0:
            self.next = self.match + 1
        self.probing = True
        self.inflight.clear()
