"""Snapshots of the state machine, which replace a prefix of the log."""

from __future__ import annotations

import typing as t

from skylarkcleat.consensus import membership as membership_lib


class Snapshot(t.NamedTuple):
    """The state after a position of the log.

    Attributes:
        cluster: The name of the cluster; messages of others are ignored.
        index: The last position that the state includes; 0 in the first
            snapshot of a cluster, which has no data.
        term: The term of the entry at that position.
        membership: The membership in force at that position.
        data: The state that the state machine captured.
    """

    cluster: str
    index: int
    term: int
    membership: membership_lib.Membership
    data: bytes = b""
