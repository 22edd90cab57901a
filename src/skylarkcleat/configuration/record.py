"""Records of the replicated log that the fronts agree on."""

from __future__ import annotations

import typing as t

from skylarkcleat.protocol import tagged

_VERSION = 1


class Replace(t.NamedTuple):
    """Replaces the configuration, unless its version is not higher."""

    version: int
    content: bytes


class TakeOwnership(t.NamedTuple):
    """Makes a front the owner of all jobs, in place of any former one."""

    front: str


class AddSide(t.NamedTuple):
    """Names a side process that may get leases from now on."""

    side: str


class RemoveSide(t.NamedTuple):
    """Forgets a side process; it holds no lease."""

    side: str


Record = Replace | TakeOwnership | AddSide | RemoveSide

CODEC = tagged.TaggedCodec(
    "record",
    _VERSION,
    {1: Replace, 2: TakeOwnership, 3: AddSide, 4: RemoveSide},
)
