"""The runners of one upstream, ordered by speed, with the room that each has.

Finds the fastest runner that has room without a look at each of them: on large
fleets most runners are occupied, and a decision is made for every task.
"""

from __future__ import annotations

import bisect
import collections.abc
import typing as t

from skylarkcleat.scheduling import free_cores
from skylarkcleat.scheduling import held_runners
from skylarkcleat.scheduling import worker as worker_lib

BLOCK_SIZE = 16
"""The usual number of runners in a block; a block of twice as many is split."""


class _Entry(t.NamedTuple):
    factor: float
    order: int
    worker: worker_lib.Worker


class _Block:
    """Some consecutive entries.

    Attributes:
        entries: The entries, sorted.
        max_cpu: The most free processor of any of them, in thousandths of a
            core.
    """

    def __init__(self, entries: list[_Entry]) -> None:
        self.entries = entries
        self.max_cpu = 0
        self.update_max()

    def update_max(self) -> None:
        """Updates `max_cpu` after a change of an entry."""
        free = [entry.worker.free_cpu for entry in self.entries]
        self.max_cpu = max(free, default=0)


class RoomIndex:
    """Workers sorted by duration factor, in blocks that know their most room.

    Attributes:
        held: Which of its workers get no tasks after failures.
        growths: How often the free cores of a worker have grown, or a worker
            was added.
        visited: How many entries and blocks were looked at, for tests.
    """

    def __init__(self) -> None:
        self.growths = 0
        self.visited = 0
        self._blocks: list[_Block] = []
        self._known: dict[str, _Entry] = {}
        self._free_cpu: dict[str, int] = {}
        self._free_cores = free_cores.FreeCores()
        self.held = held_runners.HeldRunners()

    def __len__(self) -> int:
        """Returns how many workers there are."""
        return len(self._known)

    def __contains__(self, side: str) -> bool:
        """Returns whether the worker of a side process is listed."""
        return side in self._known

    def update(self, worker: worker_lib.Worker) -> None:
        """Adds a worker, or takes over its present factor and room."""
        self._free_cores.clear()
        entry = _Entry(worker.factor, worker.order, worker)
        known = self._known.get(worker.side)
        if known is not None:
            if known.worker is worker and known.factor == entry.factor:
                self._update_room(known)
                return
            self._remove(known)
        if known is None or self._free_cpu[worker.side] < worker.free_cpu:
            self.growths += 1
        self._known[worker.side] = entry
        self._insert(entry)
        self._free_cpu[worker.side] = worker.free_cpu

    def discard(self, side: str) -> None:
        """Removes the worker of a side process, if it is listed."""
        self._free_cores.clear()
        known = self._known.pop(side, None)
        if known is not None:
            self._remove(known)

    def find(self, cpu: int) -> collections.abc.Iterator[worker_lib.Worker]:
        """Yields the workers with free cores, the fastest first.

        The workers must not be updated meanwhile.

        Args:
            cpu: The free cores that are needed, in thousandths of a core.
        """
        for block in self._blocks:
            self.visited += 1
            if block.max_cpu < cpu:
                continue
            self.visited += len(block.entries)
            for entry in block.entries:
                if entry.worker.free_cpu >= cpu:
                    yield entry.worker

    def may_hold(self, cpu: int, count: int) -> bool:
        """Returns whether so many tasks may fit, as far as cores go.

        Looks at each runner at most once between two changes of the room.
        """
        return self._free_cores.may_hold(cpu, count, self._find_free)

    def _find_free(self, cpu: int) -> collections.abc.Iterator[int]:
        return (worker.free_cpu for worker in self.find(cpu))

    def find_max_cpu(self) -> int:
        """Returns the most free cores of any worker, in thousandths."""
        return max((block.max_cpu for block in self._blocks), default=0)

    def list_all(self) -> collections.abc.Iterator[worker_lib.Worker]:
        """Yields all workers, the fastest first."""
        for block in self._blocks:
            self.visited += len(block.entries)
            for entry in block.entries:
                yield entry.worker

    def _update_room(self, entry: _Entry) -> None:
        """Updates the most room of a block after a change of one entry."""
        worker = entry.worker
        previous = self._free_cpu[worker.side]
        self.growths += worker.free_cpu > previous
        self._free_cpu[worker.side] = worker.free_cpu
        block = self._find_block(entry)
        if worker.free_cpu >= block.max_cpu:
            block.max_cpu = worker.free_cpu
        elif previous == block.max_cpu:
            block.update_max()

    def _insert(self, entry: _Entry) -> None:
        if not self._blocks:
            self._blocks.append(_Block([entry]))
            return
        block = self._find_block(entry)
        bisect.insort(block.entries, entry)
        if len(block.entries) < 2 * BLOCK_SIZE:
            block.max_cpu = max(block.max_cpu, entry.worker.free_cpu)
            return
        upper = _Block(block.entries[BLOCK_SIZE:])
        del block.entries[BLOCK_SIZE:]
        block.update_max()
        self._blocks.insert(self._blocks.index(block) + 1, upper)

    def _remove(self, entry: _Entry) -> None:
        block = self._find_block(entry)
        del block.entries[bisect.bisect_left(block.entries, entry)]
        if block.entries:
            block.update_max()
        else:
            self._blocks.remove(block)

    def _find_block(self, entry: _Entry) -> _Block:
        """Returns the block that has or should have an entry."""
        place = bisect.bisect_right(self._blocks, entry, key=_find_first)
        return self._blocks[max(place - 1, 0)]


def _find_first(block: _Block) -> _Entry:
    return block.entries[0]
