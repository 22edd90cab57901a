"""The replicated log as its users see it."""

from __future__ import annotations

import abc
import typing as t


class Applied(t.NamedTuple):
    """A proposal that was committed and applied.

    Attributes:
        index: The command's position in the log.
        result: What the state machine returned.
    """

    index: int
    result: bytes


class NotLeader(t.NamedTuple):
    """A proposal that was not taken: it is not in the log and never will be.

    Attributes:
        leader: The name of the replica that leads; empty if none is known.
        detail: Why the proposal was not taken.
    """

    leader: str
    detail: str


class Uncertain(t.NamedTuple):
    """A proposal whose fate this replica can't tell; it may yet commit."""

    detail: str


class Freshness(t.NamedTuple):
    """How recent the applied state is.

    Attributes:
        as_of: A time of this process's monotonic clock, in seconds. The
            applied state holds every change that was accepted before it.
        index: The position up to which the log is applied.
    """

    as_of: float
    index: int


class ReplicatedLog(abc.ABC):
    """A log that a majority of the control replicas agrees on."""

    @abc.abstractmethod
    async def propose(self, command: bytes) -> Applied | NotLeader | Uncertain:
        """Proposes a command and waits until it is committed and applied."""

    @abc.abstractmethod
    async def confirm(self) -> Freshness | NotLeader:
        """Waits until this replica knows how recent its state is.

        A follower asks the leader; a leader proves by a majority that it
        still leads. Returns `NotLeader` when no majority answers in time.
        """

    @property
    @abc.abstractmethod
    def is_repaired(self) -> bool:
        """Whether this replica votes and no voter's lost disk is unreplaced."""

    @property
    @abc.abstractmethod
    def leader(self) -> str:
        """The name of the replica that leads; empty if none is known."""
