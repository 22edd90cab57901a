"""The interface of the replicated log."""

from __future__ import annotations

import abc
import typing as t


class Applied(t.NamedTuple):
    """A proposal that was committed and applied.

    Attributes:
        index: The command's position in the log.
        result: The result of the state machine.
    """

    index: int
    result: bytes


class NotLeader(t.NamedTuple):
    """A proposal that was rejected: it is not in the log and never will be.

    Attributes:
        leader: The name of the replica that leads; empty if none is known.
        detail: The reason for the rejection.
    """

    leader: str
    detail: str


class Uncertain(t.NamedTuple):
    """A proposal whose outcome this replica does not know.

    It may have been committed, or be committed later.
    """

    detail: str


class Freshness(t.NamedTuple):
    """A confirmed bound on the age of the applied state.

    Attributes:
        as_of: A time of this process's monotonic clock, in seconds. The
            applied state includes every change that was accepted before it.
        index: The position up to which the log is applied.
    """

    as_of: float
    index: int


class ReplicatedLog(abc.ABC):
    """A log that is replicated to a majority of the control replicas."""

    @abc.abstractmethod
    async def propose(self, command: bytes) -> Applied | NotLeader | Uncertain:
        """Proposes a command and waits until it is committed and applied."""

    @abc.abstractmethod
    async def confirm(self) -> Freshness | NotLeader:
        """Waits until this replica has confirmed how recent its state is.

        A follower asks the leader; a leader confirms with a majority that it
        still leads. Returns `NotLeader` if no majority replies in time.
        """

    @property
    @abc.abstractmethod
    def is_repaired(self) -> bool:
        """Whether this replica votes and no voter's lost disk is unreplaced."""

    @property
    @abc.abstractmethod
    def leader(self) -> str:
        """The name of the replica that leads; empty if none is known."""
