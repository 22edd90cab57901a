"""Messages by which fronts agree which of them owns the jobs.

A front is a process that callers connect to; the owner is the front that
places every task. Ownership is not stored on disk. Two fronts may own jobs at
once during a network partition; `docs/design/ownership.md` explains why no
task runs twice even then.
"""

from __future__ import annotations

import typing as t

from skylarkcleat.wire import codec


@codec.sent_as("Beat")
class OwnerHeartbeat(t.NamedTuple):
    """Announces to a front, periodically, that the sender owns the jobs.

    Attributes:
        term: The owner's term.
        inherited: The terms of previous owners that handed their jobs over.
        sent_at: The owner's clock, in seconds.
        sides: The number of side processes registered with the owner.
        version: The version of the owner's configuration.
        evacuations: The revision of the evacuations that it obeys.
    """

    term: int
    inherited: tuple[int, ...]
    sent_at: float
    sides: int
    version: int
    evacuations: int = 0


@codec.sent_as("BeatReply")
class OwnerHeartbeatReply(t.NamedTuple):
    """Confirms to the owner that a front still follows it.

    Attributes:
        term: The owner's term.
        sent_at: `sent_at` of the heartbeat that this answers.
        rank: How well the front suits as the owner at present; None from a
            front that doesn't say.
    """

    term: int
    sent_at: float
    rank: int | None = None


@codec.sent_as("Sides")
class SideNames(t.NamedTuple):
    """Sends a front the names of the owner's side processes.

    Attributes:
        term: The owner's term.
        names: The names of the side processes registered with the owner.
    """

    term: int
    names: tuple[str, ...]


class SideNamesConfirmed(t.NamedTuple):
    """Confirms that a front's list of side processes is complete for a while.

    Attributes:
        term: The owner's term.
        sent_at: `sent_at` of the heartbeat that the front replied to.
        lasts_s: How long the list is complete after that reply, in seconds.
    """

    term: int
    sent_at: float
    lasts_s: float


class Resubmit(t.NamedTuple):
    """Asks a front to send its open requests to the owner again.

    The owner discarded them, because the front did not answer heartbeats for
    too long.
    """

    term: int


class Handover(t.NamedTuple):
    """Asks another front to own the jobs in place of the sender.

    Attributes:
        term: The term of the sender, which ends.
        inherited: The terms of previous owners that handed over to the sender.
        sides: The names of the sender's side processes.
    """

    term: int
    inherited: tuple[int, ...]
    sides: tuple[str, ...]


@codec.sent_as("Moved")
class OwnershipMoved(t.NamedTuple):
    """Directs a side process to register with another front.

    Attributes:
        owner: The name of the new owner.
        term: The term that ended.
    """

    owner: str
    term: int


OwningMessage = (
    OwnerHeartbeat
    | OwnerHeartbeatReply
    | SideNames
    | SideNamesConfirmed
    | Resubmit
    | Handover
    | OwnershipMoved
)
