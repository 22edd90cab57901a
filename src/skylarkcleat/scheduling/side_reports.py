"""What side processes report to an owner: runs, their ends and lost runners."""

from __future__ import annotations

from skylarkcleat.protocol import reporting
from skylarkcleat.scheduling import adoption as adoption_lib
from skylarkcleat.scheduling import owner_state
from skylarkcleat.scheduling import run_endings as run_endings_lib
from skylarkcleat.scheduling import worker_phase


class SideReports:
    """Handles the reports of side processes that hold a lease.

    A report under another lease than the present one is ignored.

    Args:
        state: What it shares with the owner's other parts.
        adoption: Adopts or stops the runs that are reported.
        run_endings: Records the ends of runs.
    """

    def __init__(
        self,
        state: owner_state.OwnerState,
        adoption: adoption_lib.Adoption,
        run_endings: run_endings_lib.RunEndings,
    ) -> None:
        self._state = state
        self._adoption = adoption
        self._run_endings = run_endings

    def receive(
        self, side: str, message: reporting.SideReport, now: float
    ) -> None:
        """Handles a report of a side process."""
        if isinstance(message, reporting.Report):
            self._handle_report(side, message, now)
        elif isinstance(message, reporting.Ended):
            self._handle_ended(side, message, now)
        elif isinstance(message, reporting.NotStarted):
            self._handle_not_started(side, message, now)
        elif isinstance(message, reporting.RunnerUnresponsive):
            self._handle_runner_silent(side, message, now)
        elif isinstance(message, reporting.RunnerLost):
            self._handle_runner_lost(side, message, now)

    def _handle_report(
        self, side: str, message: reporting.Report, now: float
    ) -> None:
        """Handles a side process's full report of its runs and their ends."""
        worker = self._state.workers.find(side, message.epoch)
        if worker is None:
            return
        self._run_endings.record(worker, message.ends, now)
        running = {run.task: run for run in message.running}
        for placed in list(worker.runs.values()):
            run = running.get(placed.task)
            if run is None or run.run != placed.run:
                self._run_endings.record_missing(worker, placed, now)
        worker.unresponsive_since = None
        for run in running.values():
            # A run that is neither adopted nor stopped ends with its lease.
            with self._state.containment.contain("take over a run", now):
                self._adoption.record_running(worker, run, now)
        self._state.workers.record_report(worker)
        self._state.jobs.needs_placement = True

    def _handle_ended(
        self, side: str, message: reporting.Ended, now: float
    ) -> None:
        """Handles the ends of runs."""
        worker = self._state.workers.find(side, message.epoch)
        if worker is not None:
            self._run_endings.record(worker, message.ends, now)

    def _handle_not_started(
        self, side: str, message: reporting.NotStarted, now: float
    ) -> None:
        """Handles a run that did not start and never will."""
        worker = self._state.workers.find(side, message.epoch)
        if worker is None:
            return
        placed = worker.runs.get(message.task)
        if placed is None or placed.run != message.run:
            return
        if message.reason == reporting.UNANSWERED:
            self._run_endings.record_lost(worker, placed, now, is_certain=False)
            return
        worker.remove(message.task, message.run)
        self._state.jobs.requeue_task(placed, worker.side)
        job = self._state.jobs.find(message.task)
        if job is not None:
            job.record(
                message.task, message.run, worker.side, message.reason, now
            )
        if message.reason == "old":
            self._state.jobs.skip_runs(message.task)
        else:
            worker.record_refusal(message.reason, now)

    def _handle_runner_silent(
        self, side: str, message: reporting.RunnerUnresponsive, now: float
    ) -> None:
        """Records whether a runner responds; otherwise it gets no tasks."""
        worker = self._state.workers.find(side, message.epoch)
        if worker is not None:
            since = now if message.is_unresponsive else None
            worker.unresponsive_since = since
            self._state.jobs.needs_placement = True

    def _handle_runner_lost(
        self, side: str, message: reporting.RunnerLost, now: float
    ) -> None:
        """Requeues the tasks of an unresponsive runner; they have expired.

        As the first report under a lease it covers every earlier run there.
        """
        worker = self._state.workers.find(side, message.epoch)
        if worker is None:
            return
        lost = {(run.task, run.run) for run in message.runs}
        is_report = worker.phase is worker_phase.Phase.REPORTING
        for placed in list(worker.runs.values()):
            is_certain = (placed.task, placed.run) in lost
            if is_report or is_certain:
                self._run_endings.record_lost(
                    worker, placed, now, is_certain=is_certain
                )
        if worker.unresponsive_since is None:
            # Its side process has told only the owner that it had then.
            worker.unresponsive_since = now
        self._state.workers.record_report(worker)
        self._state.jobs.needs_placement = True
