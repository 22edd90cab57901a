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
    by_upstream = collections.defaultdict(list)
    for worker in workers:
        if worker.runner is not None:
            by_upstream[worker.runner.upstream].append(worker)
    stranded = []
    for job in jobs:
        if job.started or job.unattended_since is not None:
            continue
        zones = _find_only_zones(job, by_upstream[job.queue.upstream])
        if zones:
            stranded.append(StrandedJob(job, zones))
    return stranded


def _find_only_zones(
    job: active_job.ActiveJob, workers: list[worker_lib.Worker]
) -> frozenset[str]:
    """Returns the evacuated zones that hold all runners for one step."""
    for step in job.job.steps:
        zones = _find_zones_of_step(step, workers)
        if zones:
            return zones
    return frozenset()


def _find_zones_of_step(
    step: scheduling.Step, workers: list[worker_lib.Worker]
) -> frozenset[str]:
    zones = set()
    for worker in workers:
        if not worker.could_run(step):
            continue
        if worker.zone_obstacle is not worker_phase.Closed.EVACUATED:
            return frozenset()
        zones.add(worker.zone)
    return frozenset(zones)
