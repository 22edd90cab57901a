"""Index of an agent's queued and running attempts."""

from __future__ import annotations

import collections
import heapq
import typing as t

from skylarkcleat.protocol import dispatching


class HeldAttempt(t.NamedTuple):
    """A dispatch that is queued or running.

    Attributes:
        dispatch: The dispatch.
        entry: The name of the entry that sent it.
        cost_ms: The expected run time in milliseconds.
        deadline_at: When it expires, in seconds of the monotonic clock.
    """

    dispatch: dispatching.Dispatch
    entry: str
    cost_ms: float
    deadline_at: float


class HeldAttempts:
    """Finds and counts attempts by state, job, entry and deadline.

    Held means queued for a slot or running in one.
    """

    def __init__(self):
        self._queued: dict[dispatching.Attempt, HeldAttempt] = {}
        self._running: dict[dispatching.Attempt, HeldAttempt] = {}
        self._queued_by_profile: collections.Counter[str] = (
            collections.Counter()
        )
        self._queued_by_job: dict[str, set[dispatching.Attempt]] = {}
        self._held_by_entry: dict[str, int] = {}
        self._deadlines: list[tuple[float, dispatching.Attempt]] = []

    def holds(self, attempt: dispatching.Attempt) -> bool:
        """Returns whether an attempt is queued or running."""
        return attempt in self._queued or attempt in self._running

    def add(self, held: HeldAttempt) -> None:
        """Adds a queued attempt, which must not be held yet."""
        attempt = held.dispatch.attempt
        self._queued[attempt] = held
        self._queued_by_profile[held.dispatch.profile] += 1
        self._queued_by_job.setdefault(attempt.job, set()).add(attempt)
        self._held_by_entry[held.entry] = (
            self._held_by_entry.get(held.entry, 0) + 1
        )
        heapq.heappush(self._deadlines, (held.deadline_at, attempt))

    def start(self, attempt: dispatching.Attempt) -> HeldAttempt:
        """Marks a queued attempt as running and returns it."""
        held = self._unqueue(attempt)
        self._running[attempt] = held
        return held

    def finish(self, attempt: dispatching.Attempt) -> HeldAttempt | None:
        """Removes and returns a running attempt; None if it is not running."""
        held = self._running.pop(attempt, None)
        if held is not None:
            self._release(held)
        return held

    def remove_queued(self, attempt: dispatching.Attempt) -> None:
        """Removes a queued attempt."""
        self._release(self._unqueue(attempt))

    def list_queued(self) -> list[dispatching.Attempt]:
        """Returns the queued attempts."""
        return list(self._queued)

    def list_queued_of_job(self, job: str) -> list[dispatching.Attempt]:
        """Returns the queued attempts of a job."""
        return list(self._queued_by_job.get(job, ()))

    def pop_expired(self, now: float) -> dispatching.Dispatch | None:
        """Removes and returns a queued attempt past its deadline, or None."""
        while self._deadlines and self._deadlines[0][0] <= now:
            _, attempt = heapq.heappop(self._deadlines)
            held = self._queued.get(attempt)
            if held is not None and held.deadline_at <= now:
                self.remove_queued(attempt)
                return held.dispatch
        return None

    def next_deadline(self) -> float | None:
        """Returns when the next queued attempt expires, or None."""
        while self._deadlines and self._deadlines[0][1] not in self._queued:
            heapq.heappop(self._deadlines)
        return self._deadlines[0][0] if self._deadlines else None

    def find_longest_queue(self) -> str:
        """Returns the profile with the most queued tasks; empty if none."""
        return max(
            self._queued_by_profile,
            key=self._queued_by_profile.__getitem__,
            default="",
        )

    def is_empty(self) -> bool:
        """Returns whether nothing is queued or running."""
        return not self._queued and not self._running

    def count_queued(self) -> int:
        """Returns how many attempts are queued."""
        return len(self._queued)

    def count_running(self) -> int:
        """Returns how many attempts are running."""
        return len(self._running)

    def count_entry(self, entry: str) -> int:
        """Returns how many of an entry's attempts are queued or running."""
        return self._held_by_entry.get(entry, 0)

    def _unqueue(self, attempt: dispatching.Attempt) -> HeldAttempt:
        held = self._queued.pop(attempt)
        profile = held.dispatch.profile
        self._queued_by_profile[profile] -= 1
        if not self._queued_by_profile[profile]:
            del self._queued_by_profile[profile]
        siblings = self._queued_by_job[attempt.job]
        siblings.discard(attempt)
        if not siblings:
            del self._queued_by_job[attempt.job]
        return held

    def _release(self, held: HeldAttempt) -> None:
        left = self._held_by_entry[held.entry] - 1
        if left:
            self._held_by_entry[held.entry] = left
        else:
            del self._held_by_entry[held.entry]
