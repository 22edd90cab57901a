"""Weighted fair queueing over profiles, with urgency within the shares.

The queue follows WF2Q+ (worst-case fair weighted fair queueing). Each profile
is a flow with a virtual start time. It is eligible while that start is not
ahead of the queue's virtual time, that is, while it has had no more than its
guaranteed share. Among eligible profiles the most urgent is served first. A
profile that was idle may start behind the virtual time by a bounded burst, so
that a job of many tasks is served together rather than one task a round.
"""

from __future__ import annotations

import typing as t

import sortedcontainers

from skylarkcleat.dispatch import task_queue
from skylarkcleat.model import profile as profile_lib

DEFAULT_BURST_MS = 8_000.0


class _Flow:
    """The queued tasks of one profile and its virtual start time."""

    __slots__ = ("entries", "queued_ms", "start", "urgency", "weight")

    def __init__(self, profile: profile_lib.Profile, start: float):
        self.entries = sortedcontainers.SortedDict()
        self.queued_ms = 0.0
        self.start = start
        self.urgency = profile.urgency
        self.weight = max(1, profile.weight)

    def add(self, rank: _Rank, task: task_queue.QueuedTask) -> None:
        self.entries[rank] = task
        self.queued_ms += task.cost_ms

    def pop(self, rank: _Rank) -> task_queue.QueuedTask:
        task = self.entries.pop(rank)
        self.queued_ms -= task.cost_ms
        return task


class _Rank(t.NamedTuple):
    """A task's sort key within its flow; the serial breaks ties."""

    order: float
    rank: int
    serial: int


class FairQueue(task_queue.TaskQueue):
    """Serves profiles by weight, and by urgency within their shares."""

    def __init__(self, burst_ms: float = DEFAULT_BURST_MS):
        self._burst_ms = burst_ms
        self._flows: dict[str, _Flow] = {}
        self._active: dict[str, _Flow] = {}
        self._ranks: dict[task_queue.Key, tuple[str, _Rank]] = {}
        self._virtual_ms = 0.0
        self._active_weight = 0
        self._serial = 0
        self._queued_ms = 0.0

    def push(self, task: task_queue.QueuedTask) -> None:
        """Adds a task; its key must not be in the queue."""
        self._serial += 1
        self._insert(task, _Rank(task.order, task.rank, self._serial))

    def restore(self, task: task_queue.QueuedTask) -> None:
        """Puts back a popped task that was not served; undoes its charge."""
        self.push(task)
        flow = self._flows[task.profile.name]
        flow.start -= task.cost_ms / flow.weight

    def pop(
        self, excluded: frozenset[str] = task_queue.NO_PROFILES
    ) -> task_queue.QueuedTask | None:
        """Removes and returns the next task, or None if there is none."""
        return self._pop(0, excluded)

    def pop_last(self) -> task_queue.QueuedTask | None:
        """Removes and returns the last task of the next profile, or None."""
        return self._pop(-1, task_queue.NO_PROFILES)

    def remove(self, key: task_queue.Key) -> task_queue.QueuedTask | None:
        """Removes and returns a task, or None if it is not queued."""
        found = self._ranks.get(key)
        if found is None:
            return None
        name, rank = found
        return self._remove_from_flow(name, self._flows[name], rank)

    def adjust_charge(
        self, profile: str, estimated_ms: float, actual_ms: float
    ) -> None:
        """Replaces the estimated charge for a served task by the actual one."""
        flow = self._flows.get(profile)
        if flow is not None:
            flow.start += (actual_ms - estimated_ms) / flow.weight

    def find_wait_ms(self, profile: profile_lib.Profile, slots: int) -> float:
        """Returns the expected wait of a new task, in milliseconds."""
        fair_ms = self.find_backlog_ms(profile) / self.find_share(profile)
        return min(fair_ms, self._queued_ms) / slots

    def find_backlog_ms(self, profile: profile_lib.Profile) -> float:
        """Returns the total cost of a profile's queued tasks."""
        flow = self._active.get(profile.name)
        return flow.queued_ms if flow else 0.0

    def find_share(self, profile: profile_lib.Profile) -> float:
        """Returns the fraction of service that a profile is guaranteed."""
        weight = max(1, profile.weight)
        waits = profile.name in self._active
        total = self._active_weight + (0 if waits else weight)
        return weight / total

    def find_weight(self, profiles: frozenset[str]) -> int:
        """Returns the total weight of the given profiles with queued tasks."""
        waiting = (self._active.get(name) for name in profiles)
        return sum(flow.weight for flow in waiting if flow)

    def find_queued_ms(self) -> float:
        """Returns the total cost of the queued tasks."""
        return self._queued_ms

    def __len__(self) -> int:
        return len(self._ranks)

    def _pop(
        self, index: int, excluded: frozenset[str]
    ) -> task_queue.QueuedTask | None:
        flows = self._active
        if excluded:
            flows = {n: f for n, f in flows.items() if n not in excluded}
        if not flows:
            return None
        name, flow = self._choose_flow(flows)
        rank = flow.entries.keys()[index]
        task = self._remove_from_flow(name, flow, rank)
        flow.start += task.cost_ms / flow.weight
        return task

    def _insert(self, task: task_queue.QueuedTask, rank: _Rank) -> None:
        name = task.profile.name
        flow = self._flows.get(name)
        if flow is None:
            flow = _Flow(task.profile, self._virtual_ms)
            self._flows[name] = flow
        if name not in self._active:
            self._activate(name, flow, task.profile)
        flow.add(rank, task)
        self._ranks[task.key] = (name, rank)
        self._queued_ms += task.cost_ms

    def _activate(
        self, name: str, flow: _Flow, profile: profile_lib.Profile
    ) -> None:
        flow.weight = max(1, profile.weight)
        flow.urgency = profile.urgency
        earliest = self._virtual_ms - self._burst_ms / flow.weight
        flow.start = max(flow.start, earliest)
        self._active[name] = flow
        self._active_weight += flow.weight

    def _remove_from_flow(
        self, name: str, flow: _Flow, rank: _Rank
    ) -> task_queue.QueuedTask:
        task = flow.pop(rank)
        del self._ranks[task.key]
        self._queued_ms -= task.cost_ms
        if not flow.entries:
            del self._active[name]
            self._active_weight -= flow.weight
        return task

    def _choose_flow(self, flows: dict[str, _Flow]) -> tuple[str, _Flow]:
        floor = min(flow.start for flow in flows.values())
        self._virtual_ms = max(self._virtual_ms, floor)
        eligible = (
            item for item in flows.items() if item[1].start <= self._virtual_ms
        )
        return min(eligible, key=_rank_flow)


def _rank_flow(item: tuple[str, _Flow]) -> tuple[int, float, str]:
    """Returns the sort key: most urgent first, then furthest behind."""
    name, flow = item
    return (-flow.urgency, flow.start, name)


def create_fair_queue(burst_ms: float = DEFAULT_BURST_MS) -> FairQueue:
    """Returns an empty queue.

    Args:
        burst_ms: How much run time a profile that was idle may be served
            beyond its share, in milliseconds at weight 1.
    """
    return FairQueue(burst_ms)
