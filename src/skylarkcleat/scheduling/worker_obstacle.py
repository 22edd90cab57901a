"""Why a side process may not be sent tasks, for log lines."""

from __future__ import annotations

from skylarkcleat.scheduling import lease
from skylarkcleat.scheduling import worker as worker_lib
from skylarkcleat.scheduling import worker_phase

_CLOSED_PHASES = {
    worker_phase.Phase.REPORTING: worker_phase.Closed.REPORTING,
    worker_phase.Phase.OUTDATED: worker_phase.Closed.OUTDATED,
}


def find_obstacle(worker: worker_lib.Worker, now: float) -> worker_phase.Closed:
    """Returns why no tasks may be sent; `NONE` only if the worker is open.

    Args:
        worker: The record of the side process.
        now: The time, in seconds.
    """
    if worker.phase is not worker_phase.Phase.READY:
        return _CLOSED_PHASES[worker.phase]
    if worker.runner is None:
        return worker_phase.Closed.NO_RUNNER
    if worker.runner.draining:
        return worker_phase.Closed.DRAINING
    if worker.zone_obstacle is not worker_phase.Closed.NONE:
        return worker.zone_obstacle
    if worker.unresponsive_since is not None:
        return worker_phase.Closed.UNRESPONSIVE
    if now >= worker.granted_at + lease.FRONT_LEASE_S:
        return worker_phase.Closed.LEASE_LATE
    if now < worker.open_at:
        return worker_phase.Closed.TOO_NEW
    return (
        worker_phase.Closed.PAUSED
        if now < max(worker.paused_until, worker.trial_until)
        else worker_phase.Closed.NONE
    )
