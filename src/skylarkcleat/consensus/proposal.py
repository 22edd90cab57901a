"""The fate of a proposal at the replica that got it."""

from __future__ import annotations

import typing as t


class Position(t.NamedTuple):
    """Where a proposal stands in the log, committed or not."""

    index: int
    term: int


class Rejection(t.NamedTuple):
    """Why a proposal is not in the log."""

    detail: str


ProposalResult = Position | Rejection
