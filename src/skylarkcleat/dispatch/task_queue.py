"""The task queue: decides which waiting task is served next."""

from __future__ import annotations

import abc
import typing as t

from skylarkcleat.model import profile as profile_lib

Key = t.Hashable
NO_PROFILES: frozenset[str] = frozenset()


class QueuedTask(t.NamedTuple):
    """A task that waits.

    Attributes:
        key: Identifies the task within its queue.
        profile: The profile that it is served under.
        order: Smaller is served first within its profile, in seconds.
        cost_ms: The run time expected, in milliseconds.
        rank: Breaks ties of `order`; smaller is served first.
    """

    key: Key
    profile: profile_lib.Profile
    order: float
    cost_ms: float
    rank: int = 0


class TaskQueue(abc.ABC):
    """Waiting tasks of many profiles in the order of service."""

    @abc.abstractmethod
    def push(self, task: QueuedTask) -> None:
        """Adds a task; its key must not be in the queue."""

    @abc.abstractmethod
    def pop(self, excluded: frozenset[str] = NO_PROFILES) -> QueuedTask | None:
        """Removes and returns the next task, or None if none waits.

        Args:
            excluded: Names of profiles that are skipped.
        """

    @abc.abstractmethod
    def pop_last(self) -> QueuedTask | None:
        """Removes and returns the last task of the next profile, or None."""

    @abc.abstractmethod
    def restore(self, task: QueuedTask) -> None:
        """Puts back a task that was popped and could not be served."""

    @abc.abstractmethod
    def remove(self, key: Key) -> QueuedTask | None:
        """Removes and returns a task, or None if it does not wait."""

    @abc.abstractmethod
    def adjust_charge(
        self, profile: str, estimated_ms: float, actual_ms: float
    ) -> None:
        """Corrects what a profile was charged for a served task."""

    @abc.abstractmethod
    def find_wait_ms(self, profile: profile_lib.Profile, slots: int) -> float:
        """Returns the wait expected for a new task, in milliseconds.

        Args:
            profile: The new task's profile.
            slots: How many tasks are served at once.
        """

    @abc.abstractmethod
    def find_backlog_ms(self, profile: profile_lib.Profile) -> float:
        """Returns the summed cost of a profile's waiting tasks."""

    @abc.abstractmethod
    def find_share(self, profile: profile_lib.Profile) -> float:
        """Returns the part of the service that a profile is guaranteed.

        Args:
            profile: The profile, which competes with those that wait.
        """

    @abc.abstractmethod
    def find_weight(self, profiles: frozenset[str]) -> int:
        """Returns the summed weight of those of the profiles that wait."""

    @abc.abstractmethod
    def find_queued_ms(self) -> float:
        """Returns the summed cost of the waiting tasks, in milliseconds."""

    @abc.abstractmethod
    def __len__(self) -> int:
        """Returns how many tasks wait."""
