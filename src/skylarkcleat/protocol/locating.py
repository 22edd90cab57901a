"""Messages by which processes find each other, starting from seeds."""

from __future__ import annotations

import typing as t


class FrontRef(t.NamedTuple):
    """A front as others know it.

    Attributes:
        name: Its name, which is its IP number.
        zone: Its availability zone.
        has_disk: Whether it can be a replica of the log.
        is_empty: Whether its disk holds no log, and may found one.
        heard_ms: How long ago it was heard, in milliseconds.
    """

    name: str
    zone: str
    has_disk: bool
    is_empty: bool
    heard_ms: int


class Hello(t.NamedTuple):
    """Asks a front what it knows.

    Attributes:
        me: The asking front; None if a side process asks.
    """

    me: FrontRef | None


class View(t.NamedTuple):
    """What a front knows.

    Attributes:
        fronts: The fronts it heard of, itself included.
        owner: The name of the front that owns the jobs; empty if unknown.
        term: The term in which it leads; larger is newer.
        replicas: The names of the replicas of the log; empty before it is
            founded.
        promised: The founders that this front promised to accept.
    """

    fronts: tuple[FrontRef, ...]
    owner: str
    term: int
    replicas: tuple[str, ...]
    promised: tuple[str, ...]


class Propose(t.NamedTuple):
    """Asks a seed to accept the founders of the log."""

    founders: tuple[str, ...]


LocatingMessage = Hello | View | Propose
