"""Which runner a task goes to.

Answers a steady load on runners of different speed: a task goes to the
runner on which it ends soonest, and not to one on which it would miss its
objective while there is time to wait for a better one.
"""

from __future__ import annotations

import collections.abc

from skylarkcleat.scheduling import active
from skylarkcleat.scheduling import worker as worker_lib

REMOTE_FACTOR = 1.5
TIMELY_SHARE = 0.85
FAILURE_HOLD_S = 1.0
"""How long a runner is passed over after each failure in a row."""

MAX_FAILURE_HOLD_S = 8.0


def choose_worker(
    job: active.ActiveJob,
    task: active.Task,
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
        None if no worker has room, or it is better to wait for another.
    """
    step = job.job.steps[task.step]
    left_s = (job.due_at - now) * TIMELY_SHARE
    timely: tuple[worker_lib.Worker, float] | None = None
    fastest: tuple[worker_lib.Worker, float] | None = None
    for worker in workers:
        if not worker.could_run(job.queue.upstream, step):
            continue
        if not worker.fits(step) or not _is_allowed(worker, job, task, now):
            continue
        expected = base_s * worker.speed.find_factor(now)
        if step.data_rack and worker.rack != step.data_rack:
            expected *= REMOTE_FACTOR
        if fastest is None or expected < fastest[1]:
            fastest = (worker, expected)
        if expected <= left_s and (timely is None or expected > timely[1]):
            timely = (worker, expected)
    return timely or fastest


def _is_allowed(
    worker: worker_lib.Worker,
    job: active.ActiveJob,
    task: active.Task,
    now: float,
) -> bool:
    step = job.job.steps[task.step]
    if worker.side in task.shunned and len(task.shunned) < 3:
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
