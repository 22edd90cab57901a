"""What becomes of runs that an owner did not order, or ordered earlier.

Side processes report them. A run is adopted if its task is not known to run
elsewhere, and stopped otherwise.
"""

from __future__ import annotations

from skylarkcleat.protocol import leasing
from skylarkcleat.protocol import scheduling
from skylarkcleat.scheduling import active_job
from skylarkcleat.scheduling import owner_state
from skylarkcleat.scheduling import placed_run
from skylarkcleat.scheduling import worker as worker_lib


class Adoption:
    """Adopts or stops the runs that side processes report.

    Args:
        state: What it shares with the owner's other parts.
    """

    def __init__(self, state: owner_state.OwnerState) -> None:
        self._state = state

    def adopt_runs_of(self, job: active_job.ActiveJob, now: float) -> None:
        """Adopts or stops the known runs of a job that was just submitted."""
        for task in job.tasks:
            for worker, placed in self._state.workers.list_runs(task.name):
                self._adopt_or_stop(job, task, worker, placed.run, now)

    def record_running(
        self, worker: worker_lib.Worker, run: leasing.Run, now: float
    ) -> None:
        """Handles a run that a side process has reported."""
        if run.task in worker.runs:
            self._keep_or_stop(worker, run)
            return
        jobs = self._state.jobs
        jobs.recent.record_run(run.task, run.run)
        step = _find_size(worker, run)
        worker.add(placed_run.PlacedRun(run.task, run.run, step, now, 0.0))
        job = jobs.find(run.task)
        task = job.find_task(run.task) if job else None
        if task is not None:
            self._adopt_or_stop(job, task, worker, run.run, now)

    def _adopt_or_stop(
        self,
        job: active_job.ActiveJob,
        task: active_job.Task,
        worker: worker_lib.Worker,
        run: int,
        now: float,
    ) -> None:
        """Adopts a run that this owner did not order, or stops a duplicate."""
        if task.state is not active_job.TaskState.WAITING or task.may_run_twice:
            task.may_run_twice = True
            stop = leasing.Stop(worker.epoch, task.name, run)
            self._state.outbox.send(worker.peer, stop)
            return
        task.place(run, worker.side)
        job.started = True
        job.record(task.name, run, worker.side, "adopted", now)
        adopt = leasing.Adopt(worker.epoch, task.name, run)
        self._state.outbox.send(worker.peer, adopt)

    def _keep_or_stop(
        self, worker: worker_lib.Worker, run: leasing.Run
    ) -> None:
        """Orders a side process to keep or stop a run of its earlier lease."""
        task = self._state.jobs.find_task(run.task)
        is_placed = task is not None and (
            (task.state, task.run, task.side)
            == (active_job.TaskState.PLACED, run.run, worker.side)
        )
        kind = leasing.Adopt if is_placed else leasing.Stop
        order = kind(worker.epoch, run.task, run.run)
        self._state.outbox.send(worker.peer, order)


def _find_size(worker: worker_lib.Worker, run: leasing.Run) -> scheduling.Step:
    """Returns a run's resources; all of the runner's if they are unknown."""
    if run.cpu >= 0 or worker.runner is None:
        return scheduling.Step(1, max(run.cpu, 0), run.memory_mb, run.gpu)
    runner = worker.runner
    return scheduling.Step(1, runner.cpu, runner.memory_mb, runner.gpu)
