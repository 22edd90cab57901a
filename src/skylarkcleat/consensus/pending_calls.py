"""The callers that wait for the outcome of a proposal or read."""

from __future__ import annotations

import asyncio
import typing as t

from skylarkcleat.consensus import context as context_lib
from skylarkcleat.consensus import entry as entry_lib
from skylarkcleat.consensus import log as log_lib
from skylarkcleat.consensus import proposal as proposal_lib


class _PendingProposal(t.NamedTuple):
    """A caller that waits for the commit of a log position."""

    term: int
    future: asyncio.Future[t.Any]


class PendingCalls:
    """The pending calls of one driver: proposals by position, and reads."""

    def __init__(self) -> None:
        self._proposals: dict[int, list[_PendingProposal]] = {}
        self._reads: dict[int, asyncio.Future[t.Any]] = {}

    def add_proposal(
        self,
        result: proposal_lib.ProposalResult,
        leader: str,
        future: asyncio.Future[t.Any],
    ) -> None:
        """Adds a proposal, or answers one that was rejected."""
        if isinstance(result, proposal_lib.Rejection):
            _answer(future, log_lib.NotLeader(leader, result.detail))
            return
        proposals = self._proposals.setdefault(result.index, [])
        proposals.append(_PendingProposal(result.term, future))

    def add_read(
        self, number: int | None, future: asyncio.Future[t.Any]
    ) -> None:
        """Adds a read, or answers one that had no known leader."""
        if number is None:
            _answer(future, log_lib.NotLeader("", "no leader is known"))
            return
        self._reads[number] = future
        future.add_done_callback(lambda _: self._reads.pop(number, None))

    def resolve(
        self, entry: entry_lib.Entry, result: bytes, leader: str
    ) -> None:
        """Answers the proposals at an applied position."""
        for proposal in self._proposals.pop(entry.index, ()):
            if proposal.term == entry.term:
                answer = log_lib.Applied(entry.index, result)
            else:
                answer = log_lib.NotLeader(
                    leader, "a later leader replaced the entry"
                )
            _answer(proposal.future, answer)

    def resolve_skipped(self, index: int) -> None:
        """Answers proposals up to a position with `Uncertain`.

        An installed snapshot covers them, so their entries are not applied
        one by one and their results are not known.
        """
        for position in [p for p in self._proposals if p <= index]:
            for proposal in self._proposals.pop(position):
                answer = log_lib.Uncertain("a snapshot covers the position")
                _answer(proposal.future, answer)

    def resolve_read(self, read: context_lib.ReadDone) -> None:
        """Answers a confirmed read."""
        future = self._reads.get(read.number)
        if future is not None:
            _answer(future, log_lib.Freshness(read.as_of, read.index))

    def close(self) -> None:
        """Answers all pending calls when the replica stops."""
        for proposals in self._proposals.values():
            for proposal in proposals:
                answer = log_lib.Uncertain("the replica stopped")
                _answer(proposal.future, answer)
        for future in list(self._reads.values()):
            _answer(future, log_lib.NotLeader("", "the replica stopped"))
        self._proposals.clear()


def _answer(future: asyncio.Future[t.Any], answer: t.Any) -> None:
    if not future.done():
        future.set_result(answer)
