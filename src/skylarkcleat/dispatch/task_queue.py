"""The interface of task queues, which decide what is served next."""

from __future__ import annotations

import abc
import typing as t

from skylarkcleat.model import profile as profile_lib

Key = t.Hashable
NO_PROFILES: frozenset[str] = frozenset()


class QueuedTask(t.NamedTuple):
    """A task that waits to be served.

    Attributes:
        key: Identifies the task within its queue.
        profile: The profile that it is served under.
        order: Smaller is served first within its profile, in seconds.
        cost_ms: The expected run time in milliseconds.
        rank: Breaks ties of `order`; smaller is served first.
    """

    key: Key
    profile: profile_lib.Profile
    order: float
    cost_ms: float
    rank: int = 0


class TaskQueue(abc.ABC):
    """Queued tasks of many profiles in service order."""

    @abc.abstractmethod
    def push(self, task: QueuedTask) -> None:
        """Adds a task; its key must not be in the queue."""

    @abc.abstractmethod
    def pop(self, excluded: frozenset[str] = NO_PROFILES) -> QueuedTask | None:
        """Removes and returns the next task, or None if there is none.

        Args:
            excluded: Names of profiles that are skipped.
        """

    @abc.abstractmethod
    def pop_last(self) -> QueuedTask | None:
        """Removes and returns the last task of the next profile, or None."""

    @abc.abstractmethod
    def restore(self, task: QueuedTask) -> None:
        """Puts back a popped task that was not served; undoes its charge."""

    @abc.abstractmethod
    def remove(self, key: Key) -> QueuedTask | None:
        """Removes and returns a task, or None if it is not queued."""

    @abc.abstractmethod
    def adjust_charge(
        self, profile: str, estimated_ms: float, actual_ms: float
    ) -> None:
        """Replaces the estimated charge for a served task by the actual one."""

    @abc.abstractmethod
    def find_wait_ms(self, profile: profile_lib.Profile, slots: int) -> float:
        """Returns the expected wait of a new task, in milliseconds.

        Args:
            profile: The new task's profile.
            slots: How many tasks are served at once.
        """

    @abc.abstractmethod
    def find_backlog_ms(self, profile: profile_lib.Profile) -> float:
        """Returns the total cost of a profile's queued tasks."""

    @abc.abstractmethod
    def find_share(self, profile: profile_lib.Profile) -> float:
        """Returns the fraction of service that a profile is guaranteed.

        Args:
            profile: The profile, which competes with those that have queued
                tasks.
        """

    @abc.abstractmethod
    def find_weight(self, profiles: frozenset[str]) -> int:
        """Returns the total weight of the given profiles with queued tasks."""

    @abc.abstractmethod
    def find_queued_ms(self) -> float:
        """Returns the total cost of the queued tasks, in milliseconds."""

    @abc.abstractmethod
    def __len__(self) -> int:
        """Returns how many tasks are queued."""
