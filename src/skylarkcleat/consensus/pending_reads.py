"""Reading: how a replica learns that its state is not stale."""

from __future__ import annotations

import typing as t

from skylarkcleat.consensus import context as context_lib
from skylarkcleat.consensus import identity as identity_lib
from skylarkcleat.consensus import leadership as leadership_lib
from skylarkcleat.consensus import message as message_lib


class _PendingRead(t.NamedTuple):
    """A read that waits for a majority or for the log."""

    number: int
    as_of: float
    read_round: int = 0
    index: int = -1
    requester: identity_lib.Identity | None = None


class PendingReads:
    """The reads under way at one replica.

    A leader starts a new read round for each read and answers when a
    majority has answered a message of that round. No clock is involved, so
    a freeze or a drift can't make a confirmed read stale.
    """

    def __init__(self, context: context_lib.Context) -> None:
        self._context = context
        # A reply to a read from before a restart must not match a new one.
        start = int(context.now * 1e6) << 20
        self._number = start + context.random.getrandbits(20)
        self._reads: list[_PendingRead] = []

    def start(self, leadership: leadership_lib.Leadership | None) -> int | None:
        """Starts a read and returns its number; None without a leader."""
        context = self._context
        if context.leader is None:
            return None
        self._number += 1
        if leadership is None:
            request = message_lib.ReadRequest(self._number)
            context.send_now(context.leader, request)
            self._reads.append(_PendingRead(self._number, context.now))
        else:
            self._start_round(leadership, self._number, None)
        return self._number

    def start_for_follower(
        self,
        leadership: leadership_lib.Leadership,
        sender: identity_lib.Identity,
        request: message_lib.ReadRequest,
    ) -> None:
        """Starts a read for a follower."""
        self._start_round(leadership, request.number, sender)

    def handle_reply(self, reply: message_lib.ReadReply) -> None:
        """Notes up to where the log must be applied for a read."""
        self._reads = [
            read._replace(index=reply.index)
            if read.number == reply.number and read.requester is None
            else read
            for read in self._reads
        ]

    def clear(self) -> None:
        """Drops all reads, when the leader or the term changes."""
        self._reads.clear()

    def flush(self, leadership: leadership_lib.Leadership | None) -> None:
        """Finishes the reads that are confirmed."""
        if not self._reads:
            return
        if leadership is not None:
            self._confirm(leadership)
        waiting = []
        for read in self._reads:
            if 0 <= read.index <= self._context.commit:
                self._finish(read)
            else:
                waiting.append(read)
        self._reads = waiting

    def _start_round(
        self,
        leadership: leadership_lib.Leadership,
        number: int,
        requester: identity_lib.Identity | None,
    ) -> None:
        leadership.read_round += 1
        now = self._context.now
        read = _PendingRead(number, now, leadership.read_round, -1, requester)
        self._reads.append(read)

    def _confirm(self, leadership: leadership_lib.Leadership) -> None:
        if not leadership.is_established:
            return
        answered = leadership.majority_read_round()
        commit = self._context.commit
        self._reads = [
            read._replace(index=commit) if read.read_round <= answered else read
            for read in self._reads
        ]

    def _finish(self, read: _PendingRead) -> None:
        context = self._context
        if read.requester is None:
            done = context_lib.ReadDone(read.number, read.as_of, read.index)
            context.reads.append(done)
            return
        reply = message_lib.ReadReply(read.number, read.index)
        context.send_now(read.requester, reply)
