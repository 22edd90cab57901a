"""Messages for peer discovery, starting from configured seeds.

Fronts, the processes that callers connect to, exchange views: which fronts
they know, which of them owns the jobs and which replicas hold the log of the
configuration. Side processes, each beside one runner, ask for the same view.
"""

from __future__ import annotations

import typing as t

from skylarkcleat.wire import codec


class FrontRef(t.NamedTuple):
    """Describes a front to other processes.

    Attributes:
        name: Its name, which is its IP address.
        zone: Its availability zone.
        rank: Its preference as the owner of jobs; smaller is preferred.
        has_disk: Whether it can be a replica of the log.
        is_empty: Whether its disk holds no log yet, so that it can be one of
            the initial replicas.
        last_seen_ms: Time since a message from it was received, in
            milliseconds.
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
        replicas: The names of the voting replicas; empty before the log
            exists.
    """

    leader: str = ""
    term: int = 0
    replicas: tuple[str, ...] = ()


@codec.sent_as("Hello")
class ViewRequest(t.NamedTuple):
    """Asks a front for its view.

    Attributes:
        sender: The front that asks; None if a side process asks.
        is_brief: Whether the answer need not list the fronts.
        asked_at: The sender's clock, in seconds; returned with the answer.
    """

    sender: FrontRef | None
    is_brief: bool = False
    asked_at: float = 0.0


class EvacuationNews(t.NamedTuple):
    """What a front knows of evacuated zones, and how recent that is.

    Attributes:
        revision: The revision of the evacuations that it has.
        age_ms: How long ago the log held no later revision, in milliseconds;
            -1 if that is not known.
        asked_at: `asked_at` of the request that this answers; 0 without one.
    """

    revision: int = 0
    age_ms: int = -1
    asked_at: float = 0.0


class View(t.NamedTuple):
    """A front's view of the other fronts, the owner and the log.

    Attributes:
        sender: The front that answers.
        fronts: The fronts that it has learned of, itself included; none in a
            brief answer.
        owner: The owner that it follows.
        owner_last_seen_ms: Time since it received a message from that owner
            itself, in milliseconds; -1 if never.
        log: The log.
        promised_replicas: The initial replicas of the log that this front
            promised to accept; empty if it made no promise.
        version: The version of its configuration.
        evacuations: What it knows of evacuated zones.
    """

    sender: FrontRef
    fronts: tuple[FrontRef, ...]
    owner: OwnerRef
    owner_last_seen_ms: int
    log: LogRef
    promised_replicas: tuple[str, ...]
    version: int
    evacuations: EvacuationNews = EvacuationNews()


class OwnerFound(t.NamedTuple):
    """Notifies a side process of a new owner, before it asks."""

    owner: OwnerRef


class Propose(t.NamedTuple):
    """Asks a seed to accept a set of initial replicas of the log."""

    replicas: tuple[str, ...]


class FetchConfiguration(t.NamedTuple):
    """Asks a front for its configuration, if it is newer than a version."""

    version: int


class GiveConfiguration(t.NamedTuple):
    """Sends a front the configuration in force.

    Attributes:
        content: The configuration, encoded.
    """

    content: bytes


class FetchEvacuations(t.NamedTuple):
    """Asks a front for the evacuations, if newer than a revision."""

    revision: int


class GiveEvacuations(t.NamedTuple):
    """Sends a front the evacuations.

    Attributes:
        content: The evacuations, encoded.
    """

    content: bytes


LocatingMessage = (
    ViewRequest
    | View
    | OwnerFound
    | Propose
    | FetchConfiguration
    | GiveConfiguration
    | FetchEvacuations
    | GiveEvacuations
)
