"""Finds the jobs that have no runner left because zones are evacuated.

For the evacuation of the only zone with runners of an upstream, or of all
zones: what can't be placed is refused at once, not when it is late.
"""

from __future__ import annotations

import collections
import collections.abc
import typing as t

from skylarkcleat.protocol import scheduling
from skylarkcleat.scheduling import active_job
from skylarkcleat.scheduling import worker as worker_lib
from skylarkcleat.scheduling import worker_phase


class StrandedJob(t.NamedTuple):
    """A job of which a step fits on runners in evacuated zones only.

    Attributes:
        job: The job.
        zones: Those zones.
    """

    job: active_job.ActiveJob
    zones: frozenset[str]


def list_stranded(
    jobs: collections.abc.Iterable[active_job.ActiveJob],
    workers: collections.abc.Iterable[worker_lib.Worker],
) -> list[StrandedJob]:
    """Returns the jobs without a started task that no runner may take.

    A runner outside the evacuated zones counts even if it is occupied or closed
    for the moment. A job that no known runner could take is not listed.
    """
    fleets: dict[str, _Fleet] = collections.defaultdict(_Fleet)
    for worker in workers:
        if worker.runner is not None:
            fleets[worker.runner.upstream].add(worker)
    stranded = []
    for job in jobs:
        if job.started or job.unattended_since is not None:
            continue
        zones = fleets[job.queue.upstream].find_only_zones(job.job)
        if zones:
            stranded.append(StrandedJob(job, zones))
    return stranded


class _Fleet:
    """The runners of one upstream, apart by whether their zone is evacuated."""

    def __init__(self) -> None:
        self._in_use: list[worker_lib.Worker] = []
        self._evacuated: list[worker_lib.Worker] = []

    def add(self, worker: worker_lib.Worker) -> None:
        """Adds a worker whose runner is known."""
        evacuated = worker_phase.Closed.EVACUATED
        is_evacuated = worker.zone_obstacle is evacuated
        (self._evacuated if is_evacuated else self._in_use).append(worker)

    def find_only_zones(self, job: scheduling.Job) -> frozenset[str]:
        """Returns the evacuated zones with all runners for a step of a job.

        Nearly always the first runner that is looked at is in use and could
        run the step, so that this costs little while many jobs wait.
        """
        for step in job.steps:
            if any(worker.could_run(step) for worker in self._in_use):
                continue
            able = (each for each in self._evacuated if each.could_run(step))
            zones = frozenset(each.zone for each in able)
            if zones:
                return zones
        return frozenset()
