"""What an owner does about evacuated zones, besides sending no tasks there."""

from __future__ import annotations

import collections

import eliot

from skylarkcleat.scheduling import active_job
from skylarkcleat.scheduling import evacuation_log
from skylarkcleat.scheduling import job_endings as job_endings_lib
from skylarkcleat.scheduling import owner_state
from skylarkcleat.scheduling import stranded_jobs
from skylarkcleat.scheduling import zones_in_use

CHECK_INTERVAL_S = 0.05
"""The interval at which jobs that no runner may take are searched for."""


class Evacuations:
    """Takes over the zones in use, and refuses the jobs that have no runner.

    Args:
        state: What it shares with the owner's other parts.
        job_endings: Refuses jobs.
    """

    def __init__(
        self,
        state: owner_state.OwnerState,
        job_endings: job_endings_lib.JobEndings,
    ) -> None:
        self._state = state
        self._job_endings = job_endings
        self._log = evacuation_log.EvacuationLog()
        self._refused: collections.Counter[str] = collections.Counter()
        self._checked_at = float("-inf")

    def update(self, zones: zones_in_use.ZonesInUse) -> None:
        """Obeys a view of the zones from now on."""
        if zones == self._state.workers.zones:
            return
        eliot.log_message(
            "owner:zones",
            revision=zones.revision,
            evacuated=[state.zone for state in zones.evacuated],
            is_certain=zones.is_certain,
        )
        self._state.workers.update_zones(zones)
        self._state.jobs.needs_placement = True
        self._checked_at = float("-inf")

    def tick(self, now: float) -> None:
        """Refuses jobs and writes the lines that are due."""
        workers = self._state.workers
        if not workers.zones.revision:
            return
        if now - self._checked_at < CHECK_INTERVAL_S:
            return
        self._checked_at = now
        if workers.zones.evacuated:
            self._refuse_stranded(now)
        self._log.record(workers.zones, self._count_runs(), self._refused, now)

    def _refuse_stranded(self, now: float) -> None:
        """Refuses jobs once the runners of all zones are known."""
        workers = self._state.workers
        if not workers.settling.is_settled(now) or workers.is_growing(now):
            return
        stranded = stranded_jobs.list_stranded(
            self._state.jobs.active.values(), workers.by_side.values()
        )
        for job, zones in stranded:
            self._refused.update(zones)
            self._job_endings.refuse(job, active_job.NO_RUNNER, now)

    def _count_runs(self) -> collections.Counter[str]:
        """Returns how many runs there are in each zone."""
        runs: collections.Counter[str] = collections.Counter()
        for worker in self._state.workers.by_side.values():
            runs[worker.zone] += len(worker.runs)
        return runs
