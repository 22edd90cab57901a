"""Ideal response times: of a job alone, and of a central queue."""

from __future__ import annotations

import collections
import heapq
import typing as t

from skylarkcleat.emulator import runner as runner_lib
from skylarkcleat.emulator import workload


def find_alone_s(
    job: workload.JobSpec, speeds: t.Sequence[float], slots: int
) -> float:
    """Returns a job's response time alone on the idle fleet, in seconds.

    Each task, in order, gets the fastest free slot.

    Args:
        job: The job.
        speeds: Each runner's speed.
        slots: The slots of a runner.
    """
    free = [(-speed, n) for n, speed in enumerate(speeds) for _ in range(slots)]
    heapq.heapify(free)
    busy: list[tuple[float, float, int]] = []
    now = latest = 0.0
    for run_ms in job.runs_ms:
        if not free:
            now, speed, position = heapq.heappop(busy)
            heapq.heappush(free, (-speed, position))
        speed, position = heapq.heappop(free)
        end = now + run_ms / 1000 / -speed
        heapq.heappush(busy, (end, -speed, position))
        latest = max(latest, end)
    return latest


def find_central_s(
    jobs: t.Sequence[workload.JobSpec],
    runners: t.Sequence[runner_lib.Runner],
    slots: int,
    faults: runner_lib.Faults,
) -> dict[str, float]:
    """Returns response times under an omniscient central queue, by job.

    It serves tasks first come, first served on the fastest free slot, with
    the true speeds and loads and without message delays. Runners that have
    crashed or fail every task get no work.

    Args:
        jobs: The jobs in the order of their arrival.
        runners: The runners.
        slots: The slots of a runner.
        faults: The faults of the run.
    """
    central = _CentralQueue(runners, slots, faults)
    for job in jobs:
        central.advance(job.at)
        central.arrive(job)
    central.advance(float("inf"))
    return central.responses


class _CentralQueue:
    """The queue, the free slots and the running tasks."""

    def __init__(
        self,
        runners: t.Sequence[runner_lib.Runner],
        slots: int,
        faults: runner_lib.Faults,
    ):
        self.responses: dict[str, float] = {}
        self._faults = faults
        self._runners = runners
        self._free = [slots] * len(runners)
        self._waiting: collections.deque = collections.deque()
        self._running: list[tuple[float, int, str]] = []
        self._tasks_left: dict[str, int] = {}
        self._arrived: dict[str, float] = {}

    def arrive(self, job: workload.JobSpec) -> None:
        self._tasks_left[job.name] = len(job.runs_ms)
        self._arrived[job.name] = job.at
        for run_ms in job.runs_ms:
            self._waiting.append((job.name, run_ms))
        self._start(job.at)

    def advance(self, until: float) -> None:
        while self._running and self._running[0][0] <= until:
            now, position, name = heapq.heappop(self._running)
            self._free[position] += 1
            self._tasks_left[name] -= 1
            if not self._tasks_left[name]:
                self.responses[name] = now - self._arrived[name]
            self._start(now)

    def _start(self, now: float) -> None:
        while self._waiting:
            best = self._find_fastest(now)
            if best is None:
                return
            position, speed = best
            name, run_ms = self._waiting.popleft()
            self._free[position] -= 1
            end = now + run_ms / 1000 / speed
            heapq.heappush(self._running, (end, position, name))

    def _find_fastest(self, now: float) -> tuple[int, float] | None:
        best = None
        for runner in self._runners:
            position = runner.position
            if not self._free[position]:
                continue
            if runner.has_crashed(self._faults, now):
                continue
            if runner.fails(self._faults, now):
                continue
            speed = runner.find_speed(self._faults, now)
            if best is None or speed > best[1]:
                best = (position, speed)
        return best
