"""The process that answers a front's requests, and what it is told of each."""

from __future__ import annotations

import abc
import typing as t

from skylarkcleat.front import obstacle as obstacle_lib


class LastHeartbeat(t.NamedTuple):
    """The last heartbeat of a target, from which it tells a request's age.

    Attributes:
        sent_at: The target's clock as it sent it, in seconds; 0 without one.
        age_s: How long ago it was handled here, in seconds.
    """

    sent_at: float = 0.0
    age_s: float = 0.0


class SendAttempt(t.NamedTuple):
    """One attempt to send a request to its target.

    Attributes:
        number: The front's number for the request.
        age_s: The age of the request, in seconds.
        term: The target's term.
        previous_term: The term of the target that it was last sent to, other
            than this one if there is one; 0 if it was not sent yet.
        expires_in_s: Seconds until nothing of it can run under that term.
        earlier_expires_in_s: The same for the terms before that one.
        heartbeat: The target's last heartbeat.
    """

    number: int
    age_s: float
    term: int
    previous_term: int
    expires_in_s: float
    earlier_expires_in_s: float
    heartbeat: LastHeartbeat


BuildMessage = t.Callable[[SendAttempt], t.NamedTuple]
"""Creates the message of a request for one attempt."""


class Target(abc.ABC):
    """The front that answers: the owner of all jobs or the log's leader.

    Attributes:
        retries_refusals: Whether a request that the target refuses, since it
            is not the target in its own view yet, is sent to it again.
    """

    retries_refusals = False

    @abc.abstractmethod
    def find_term(self) -> int:
        """Returns the current target's term; 0 if none is reachable."""

    @abc.abstractmethod
    def find_obstacle(self) -> obstacle_lib.Obstacle:
        """Returns why no target is reachable."""

    @abc.abstractmethod
    def find_expiry_s(self, previous_term: int) -> float:
        """Returns the seconds until no run of a previous target is left."""

    def find_heartbeat(self) -> LastHeartbeat:
        """Returns the target's last heartbeat; none by default."""
        return LastHeartbeat()

    @abc.abstractmethod
    def send(self, message: t.NamedTuple) -> None:
        """Sends a message to the current target."""
