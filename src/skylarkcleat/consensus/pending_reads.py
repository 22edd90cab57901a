"""Confirms that a replica's state is recent enough to read from."""

from __future__ import annotations

import typing as t

from skylarkcleat.consensus import context as context_lib
from skylarkcleat.consensus import identity as identity_lib
from skylarkcleat.consensus import leadership as leadership_lib
from skylarkcleat.consensus import message as message_lib


class _PendingRead(t.NamedTuple):
    """A read that waits for a majority of replies or for entries to commit.

    Attributes:
        number: The number of the read.
        as_of: The time at which the read was started here.
        read_round: The round that a majority has to answer, on a leader.
        index: The position that has to be committed; -1 while unknown.
        requester: The follower to reply to; None for a local read.
    """

    number: int
    as_of: float
    read_round: int = 0
    index: int = -1
    requester: identity_lib.Identity | None = None


class PendingReads:
    """The reads that are in progress at one replica.

    A leader starts a new read round for each read and confirms the read once
    a majority has replied to a message of that round. No clock is involved,
    so neither a frozen process nor clock drift can make a confirmed read
    stale.
    """

    def __init__(self, context: context_lib.Context) -> None:
        self._context = context
        # Starts from the clock and a random number, so that a reply to a read
        # from before a restart never matches a new read.
        start = int(context.now * 1e6) << 20
        self._number = start + context.random.getrandbits(20)
        self._reads: list[_PendingRead] = []

    def start(self, leadership: leadership_lib.Leadership | None) -> int | None:
        """Starts a local read; returns its number, or None without a leader."""
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
        """Starts a read that a follower requested."""
        self._start_round(leadership, request.number, sender)

    def handle_reply(self, reply: message_lib.ReadReply) -> None:
        """Records the position up to which a read needs the log applied."""
        self._reads = [
            read._replace(index=reply.index)
            if read.number == reply.number and read.requester is None
            else read
            for read in self._reads
        ]

    def clear(self) -> None:
        """Drops all reads, since the leader or the term changed."""
        self._reads.clear()

    def flush(self, leadership: leadership_lib.Leadership | None) -> None:
        """Completes the reads that are confirmed."""
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
