"""Messages by which fronts agree who owns the jobs.

Nothing of it is stored. Two fronts may own jobs at once while a partition
lasts; `docs/design/ownership.md` says why no task runs twice then.
"""

from __future__ import annotations

import typing as t

from skylarkcleat.wire import codec


@codec.sent_as("Beat")
class OwnerHeartbeat(t.NamedTuple):
    """The owner tells a front that it owns the jobs.

    Attributes:
        term: Its term.
        inherited: The terms of former owners that handed their jobs over.
        sent_at: The owner's clock, in seconds.
        sides: How many side processes it has.
        version: The version of its configuration.
    """

    term: int
    inherited: tuple[int, ...]
    sent_at: float
    sides: int
    version: int


@codec.sent_as("BeatReply")
class OwnerHeartbeatReply(t.NamedTuple):
    """A front still follows the owner.

    Attributes:
        term: The owner's term.
        sent_at: The owner's clock of the beat that this answers.
    """

    term: int
    sent_at: float


@codec.sent_as("Sides")
class SideNames(t.NamedTuple):
    """The owner tells a front which side processes it has.

    Attributes:
        term: Its term.
        names: Their names.
    """

    term: int
    names: tuple[str, ...]


class Resubmit(t.NamedTuple):
    """The owner asks a front for its open requests again.

    It has forgotten them, since the front did not answer for a while.
    """

    term: int


class Handover(t.NamedTuple):
    """An owner asks another front to own the jobs in its place.

    Attributes:
        term: The term of the owner that ends.
        inherited: The terms of those before it that handed over to it.
        sides: Its side processes.
    """

    term: int
    inherited: tuple[int, ...]
    sides: tuple[str, ...]


@codec.sent_as("Moved")
class OwnershipMoved(t.NamedTuple):
    """An owner tells a side process to register with another front.

    Attributes:
        owner: That front's name.
        term: The term that ended.
    """

    owner: str
    term: int


OwningMessage = (
    OwnerHeartbeat
    | OwnerHeartbeatReply
    | SideNames
    | Resubmit
    | Handover
    | OwnershipMoved
)
