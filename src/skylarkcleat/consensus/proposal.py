"""Whether a replica appended a proposal to its log."""

from __future__ import annotations

import typing as t


class Position(t.NamedTuple):
    """The position of a proposal in the log, committed or not."""

    index: int
    term: int


class Rejection(t.NamedTuple):
    """The reason why a proposal was not appended to the log."""

    detail: str


ProposalResult = Position | Rejection
