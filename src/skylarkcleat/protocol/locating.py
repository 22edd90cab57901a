"""Messages by which processes find each other, starting from seeds."""

from __future__ import annotations

import typing as t

from skylarkcleat.wire import codec


class FrontRef(t.NamedTuple):
    """A front as others know it.

    Attributes:
        name: Its name, which is its IP number.
        zone: Its availability zone.
        rank: How well it suits as the owner of jobs; smaller is better.
        has_disk: Whether it can be a replica of the log.
        is_empty: Whether its disk holds no log, and may found one.
        heard_ms: How long ago it was heard, in milliseconds.
    """

    name: str
    zone: str
    rank: int
    has_disk: bool
    is_empty: bool
    last_seen_ms: int


class OwnerRef(t.NamedTuple):
    """The front that owns the jobs.

    Attributes:
        name: Its name; empty if none is known.
        term: Its term; larger is newer.
    """

    name: str = ""
    term: int = 0


class LogRef(t.NamedTuple):
    """The replicated log of the configuration.

    Attributes:
        leader: The name of the leading replica; empty if none is known.
        term: The term in which it leads; larger is newer.
        replicas: The names of the voting replicas; empty before the log is
            founded.
    """

    leader: str = ""
    term: int = 0
    replicas: tuple[str, ...] = ()


@codec.sent_as("Hello")
class ViewRequest(t.NamedTuple):
    """Asks a front what it knows.

    Attributes:
        sender: The asking front; None if a side process asks.
    """

    sender: FrontRef | None


class View(t.NamedTuple):
    """What a front knows.

    Attributes:
        sender: The front that answers.
        fronts: The fronts it heard of, itself included.
        owner: The owner that it follows.
        owner_heard_ms: How long ago it heard that owner itself, in
            milliseconds; -1 if never.
        log: The log.
        promised_replicas: The founders that this front promised to accept.
        version: The version of the configuration that it has.
    """

    sender: FrontRef
    fronts: tuple[FrontRef, ...]
    owner: OwnerRef
    owner_last_seen_ms: int
    log: LogRef
    promised_replicas: tuple[str, ...]
    version: int


class OwnerFound(t.NamedTuple):
    """Tells a side process at once who has become the owner."""

    owner: OwnerRef


class Propose(t.NamedTuple):
    """Asks a seed to accept the founders of the log."""

    replicas: tuple[str, ...]


class FetchConfiguration(t.NamedTuple):
    """Asks a front for its configuration, if it is newer than a version."""

    version: int


class GiveConfiguration(t.NamedTuple):
    """Hands over a configuration that is in force.

    Attributes:
        content: The configuration, encoded.
    """

    content: bytes


LocatingMessage = (
    ViewRequest
    | View
    | OwnerFound
    | Propose
    | FetchConfiguration
    | GiveConfiguration
)
