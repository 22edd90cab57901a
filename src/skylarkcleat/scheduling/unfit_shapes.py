"""Which shapes of jobs did not fit since room last grew.

For overloads: each end of a run leads to another look at the jobs that wait.
What did not fit a moment before does not fit now unless room has grown, and
neither does a job with as many tasks or more that need as much or more.
"""

from __future__ import annotations

import math
import typing as t

MAX_COUNT = 16
"""Jobs with more tasks count as having this many when they are looked up. What
they need is not recorded: it says nothing of smaller jobs."""


class Kind(t.NamedTuple):
    """What a runner needs for a task beside cores.

    Attributes:
        upstream: The upstream of the runners.
        requirement: The label that they need; empty for none.
        memory_mb: The memory of a task, in MB.
        gpu: Its accelerators.
    """

    upstream: str
    requirement: str
    memory_mb: int
    gpu: int


class Shape(t.NamedTuple):
    """What the waiting tasks of a job need to start together.

    Attributes:
        kind: What they need beside cores.
        cpu: The cores of a task, in thousandths of a core.
        count: The number of tasks.
    """

    kind: Kind
    cpu: int
    count: int


class UnfitShapes:
    """Remembers the shapes that did not fit."""

    def __init__(self) -> None:
        self._least_cpu: dict[Kind, list[float]] = {}

    def clear(self) -> None:
        """Forgets all shapes; to be called when room may have grown."""
        self._least_cpu.clear()

    def covers(self, shape: Shape) -> bool:
        """Returns whether a shape can't fit, since a smaller one did not."""
        least_cpu = self._least_cpu.get(shape.kind)
        if least_cpu is None:
            return False
        return shape.cpu >= least_cpu[min(shape.count, MAX_COUNT)]

    def record(self, shape: Shape) -> None:
        """Records a shape that did not fit."""
        if shape.count > MAX_COUNT:
            return
        least_cpu = self._least_cpu.get(shape.kind)
        if least_cpu is None:
            least_cpu = [math.inf] * (MAX_COUNT + 1)
            self._least_cpu[shape.kind] = least_cpu
        for count in range(shape.count, MAX_COUNT + 1):
            if least_cpu[count] <= shape.cpu:
                return
            least_cpu[count] = shape.cpu
