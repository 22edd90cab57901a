"""The room of all runners, kept up to date by what changes on them."""

from __future__ import annotations

import collections.abc
import heapq
import math
import typing as t

from skylarkcleat import containment as containment_lib
from skylarkcleat.scheduling import room_index
from skylarkcleat.scheduling import worker as worker_lib
from skylarkcleat.scheduling import worker_changes


class _DueFactor(t.NamedTuple):
    """When a worker's duration factor has to be updated."""

    at: float
    side: str


class FleetRooms:
    """Lists the workers of each upstream that may open, and their room.

    A worker is looked at again only if something changed there or if its
    duration factor is out of date, not at each decision.

    Args:
        workers: The workers, by side process; changed by their owner.
        changes: Names the side processes that changed.
        containment: Contains the errors of single steps.
    """

    def __init__(
        self,
        workers: collections.abc.Mapping[str, worker_lib.Worker],
        changes: worker_changes.WorkerChanges,
        containment: containment_lib.Containment,
    ) -> None:
        self._workers = workers
        self._changes = changes
        self._containment = containment
        self._by_upstream: dict[str, room_index.RoomIndex] = {}
        self._listed: dict[str, room_index.RoomIndex] = {}
        self._due: list[_DueFactor] = []
        self._due_at: dict[str, float] = {}

    def find(self, upstream: str, now: float) -> room_index.RoomIndex:
        """Returns the runners of an upstream, up to date."""
        while self._due and self._due[0].at <= now:
            due = heapq.heappop(self._due)
            if self._due_at.get(due.side) == due.at:
                self._changes.record(due.side)
        for side in self._changes.take():
            self._update(side, now)
        return self._find_index(upstream)

    def _update(self, side: str, now: float) -> None:
        worker = self._workers.get(side)
        if worker is None or not worker.may_open:
            self._discard(side)
            return
        index = self._find_index(worker.runner.upstream)
        if self._listed.get(side) is not index:
            self._discard(side)
        with self._containment.contain("measure a runner's speed", now):
            worker.update_factor(now)
        index.update(worker)
        self._listed[side] = index
        self._schedule(side, worker.factor_due_at)

    def _discard(self, side: str) -> None:
        index = self._listed.pop(side, None)
        if index is not None:
            index.discard(side)
            self._due_at.pop(side, None)

    def _schedule(self, side: str, at: float) -> None:
        if at != math.inf and self._due_at.get(side) != at:
            self._due_at[side] = at
            heapq.heappush(self._due, _DueFactor(at, side))

    def _find_index(self, upstream: str) -> room_index.RoomIndex:
        return self._by_upstream.setdefault(upstream, room_index.RoomIndex())
