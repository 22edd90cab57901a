"""The free cores of the few runners that have any during an overload.

A pass asks for many shapes of jobs between two changes of the room. Whether so
many tasks fit as far as cores go is then a sum over a short list, not a search.
"""

from __future__ import annotations

import collections.abc
import math

MAX_LISTED = 16
"""While more runners have room for a task, nothing is listed: most jobs fit
then, and the list would cost more than the search that it replaces."""


class FreeCores:
    """Lists the runners' free cores, until they change."""

    def __init__(self) -> None:
        self._floor: float = math.inf
        self._free: list[int] | None = None

    def clear(self) -> None:
        """Forgets the list; to be called after each change of room."""
        self._floor = math.inf

    def may_hold(
        self,
        cpu: int,
        count: int,
        search: collections.abc.Callable[[int], collections.abc.Iterator[int]],
    ) -> bool:
        """Returns whether so many tasks may fit, as far as cores go.

        Args:
            cpu: The cores of a task, in thousandths of a core.
            count: The number of tasks.
            search: Yields the free cores of each runner that has so many.
        """
        if cpu < self._floor:
            self._floor = cpu
            self._free = _list_few(search(cpu))
        if self._free is None:
            return True
        return sum(free // max(cpu, 1) for free in self._free) >= count


def _list_few(found: collections.abc.Iterator[int]) -> list[int] | None:
    free = []
    for each in found:
        free.append(each)
        if len(free) > MAX_LISTED:
            return None
    return free
