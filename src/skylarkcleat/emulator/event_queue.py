"""A virtual clock with scheduled actions."""

from __future__ import annotations

import heapq
import typing as t

Action = t.Callable[..., None]


class EventQueue:
    """Runs actions in the order of their times.

    Attributes:
        now: The virtual time in seconds.
    """

    def __init__(self):
        self.now = 0.0
        self._events: list[tuple[float, int, Action, tuple]] = []
        self._serial = 0

    def schedule(self, at: float, action: Action, *args: t.Any) -> None:
        """Schedules an action.

        Args:
            at: When it runs, in seconds; a past time counts as now.
            action: What to call.
            *args: Its arguments.
        """
        self._serial += 1
        event = (max(at, self.now), self._serial, action, args)
        heapq.heappush(self._events, event)

    def run(self) -> None:
        """Runs actions until none is left."""
        while self._events:
            self.now, _, action, args = heapq.heappop(self._events)
            action(*args)
