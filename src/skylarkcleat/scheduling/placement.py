"""Which runner a task goes to.

Answers a steady load on runners of different speed: a task goes to the
runner with room on which it ends soonest, and never waits for a faster one.
"""

from __future__ import annotations

import collections.abc

from skylarkcleat.protocol import scheduling
from skylarkcleat.scheduling import active_job
from skylarkcleat.scheduling import worker as worker_lib

REMOTE_FACTOR = 1.5
FAILURE_HOLD_S = 1.0
"""How long a runner is passed over after each failure in a row."""

MAX_FAILURE_HOLD_S = 8.0


def has_room(
    job: active_job.ActiveJob,
    tasks: collections.abc.Sequence[active_job.Task],
    workers: collections.abc.Sequence[worker_lib.Worker],
) -> bool:
    """Returns whether all tasks of a job could start at once.

    Answers floods: a job is as late as its last task, so runners that are
    given to half a job serve nobody. Jobs wider than half of the runners
    start in part.
    """
    needed: dict[int, int] = {}
    for task in tasks:
        needed[task.step] = needed.get(task.step, 0) + 1
    for number, count in needed.items():
        step = job.job.steps[number]
        fitting = [w for w in workers if w.could_run(job.queue.upstream, step)]
        room = sum(worker.count_room(step) for worker in fitting)
        whole = sum(w.runner.cpu // max(step.cpu, 1) for w in fitting)
        if room < count <= whole // 2:
            return False
    return True


def choose_worker(
    job: active_job.ActiveJob,
    task: active_job.Task,
    base_s: float,
    workers: collections.abc.Iterable[worker_lib.Worker],
    now: float,
) -> tuple[worker_lib.Worker, float] | None:
    """Returns the best worker with room for a task, and its expected time.

    Args:
        job: The task's job.
        task: The task.
        base_s: Its expected time on a runner of middling speed, in seconds.
        workers: The workers that are open.
        now: The time, in seconds.

    Returns:
        None if no worker has room.
    """
    step = job.job.steps[task.step]
    best: tuple[worker_lib.Worker, float] | None = None
    for worker in workers:
        if not worker.could_run(job.queue.upstream, step):
            continue
        if not worker.fits(step) or not _is_allowed(worker, job, task, now):
            continue
        expected = base_s * worker.factor
        if is_remote(worker, step):
            expected *= REMOTE_FACTOR
        if best is None or expected < best[1]:
            best = (worker, expected)
    return best


def is_remote(worker: worker_lib.Worker, step: scheduling.Step) -> bool:
    """Returns whether a task's data lie in another rack than the runner."""
    return bool(step.data_rack) and worker.rack != step.data_rack


def _is_allowed(
    worker: worker_lib.Worker,
    job: active_job.ActiveJob,
    task: active_job.Task,
    now: float,
) -> bool:
    step = job.job.steps[task.step]
    if worker.side in task.failed_sides and len(task.failed_sides) < 3:
        return False
    if worker.speed.failures > 1:
        hold = min(
            MAX_FAILURE_HOLD_S, FAILURE_HOLD_S * (worker.speed.failures - 1)
        )
        if now < worker.speed.failed_at + hold:
            return False
    if not step.max_per_runner:
        return True
    prefix = f"{job.job.id}.0.{task.step}."
    there = sum(name.startswith(prefix) for name in worker.runs)
    return there < step.max_per_runner
