"""Choice of a runner for a task.

For steady loads on runners of different speed: a task goes to the runner with
capacity where it is expected to end first, and never waits for a faster one.
"""

from __future__ import annotations

import collections
import collections.abc

from skylarkcleat.protocol import scheduling
from skylarkcleat.scheduling import active_job
from skylarkcleat.scheduling import known_capacity
from skylarkcleat.scheduling import room_index
from skylarkcleat.scheduling import worker as worker_lib

REMOTE_FACTOR = 1.5
"""The factor on a task's duration if its data are in another rack."""


def has_room(
    job: active_job.ActiveJob,
    tasks: collections.abc.Sequence[active_job.Task],
    rooms: room_index.RoomIndex,
    now: float,
    known: known_capacity.KnownCapacity | None = None,
) -> bool:
    """Returns whether a job may start its tasks, as far as capacity goes.

    All of them must fit at once: a job ends with its last task, so during a
    flood, runners occupied by half a job would be wasted. A step with more
    tasks than half of the runners' total capacity may start in part.

    Args:
        job: The job.
        tasks: Its tasks that may start.
        rooms: The runners of its upstream.
        now: The time, in seconds.
        known: What idle runners of the upstream were found to hold a moment
            ago, to be kept from call to call; None while few jobs wait.
    """
    shape = job.find_shape()
    if shape is not None:
        needed = {tasks[0].step: shape.count}
    else:
        needed = collections.Counter(task.step for task in tasks)
    for number, count in needed.items():
        step = job.job.steps[number]
        if known is not None and not rooms.may_hold(step.cpu, count):
            has_free_room = False
        else:
            has_free_room = _has_free_room(step, count, rooms, now)
        if not has_free_room and _has_capacity(
            step, 2 * count, rooms, now, known
        ):
            return False
    return True


def choose_worker(
    job: active_job.ActiveJob,
    task: active_job.Task,
    base_s: float,
    rooms: room_index.RoomIndex,
    now: float,
    is_suspect: bool = False,
) -> tuple[worker_lib.Worker, float] | None:
    """Returns the worker with room on which a task is expected to end first.

    Args:
        job: The task's job.
        task: The task.
        base_s: Its expected duration on a runner of average speed, in seconds.
        rooms: The runners of the job's upstream.
        now: The time, in seconds.
        is_suspect: Whether the task may have crashed a runner.

    Returns:
        The worker and the expected duration there, in seconds; None if no
        worker has room.
    """
    step = job.job.steps[task.step]
    best: tuple[worker_lib.Worker, float] | None = None
    for worker in rooms.find(step.cpu):
        if best is not None and base_s * worker.factor > best[1]:
            break
        if not _can_start(worker, step, now):
            continue
        if not _is_allowed(worker, job, task, rooms, now):
            continue
        if is_suspect and worker.count_recent_starts(now):
            continue
        expected = base_s * worker.factor
        if is_remote(worker, step):
            expected *= REMOTE_FACTOR
        if best is None or (expected, worker.order) < (best[1], best[0].order):
            best = (worker, expected)
        if not step.data_rack:
            break
    return best


def is_remote(worker: worker_lib.Worker, step: scheduling.Step) -> bool:
    """Returns whether a task's data are in another rack than the runner."""
    return bool(step.data_rack) and worker.rack != step.data_rack


def _has_free_room(
    step: scheduling.Step,
    count: int,
    rooms: room_index.RoomIndex,
    now: float,
) -> bool:
    """Returns whether so many tasks of a step fit now."""
    room = 0
    for worker in rooms.find(step.cpu):
        if worker.is_open(now) and worker.could_run(step):
            room += worker.count_room(step)
            if room >= count:
                return True
    return False


def _has_capacity(
    step: scheduling.Step,
    count: int,
    rooms: room_index.RoomIndex,
    now: float,
    known: known_capacity.KnownCapacity | None,
) -> bool:
    """Returns whether so many tasks of a step would fit on idle runners."""
    capacity = 0
    if known is not None and known.covers(step, count, now):
        return True
    searched = max(count, known_capacity.USUAL_COUNT)
    for worker in rooms.list_all():
        if worker.is_open(now) and worker.could_run(step):
            capacity += worker.runner.cpu // max(step.cpu, 1)
            if capacity >= searched:
                if known is not None:
                    known.record(step, searched, now)
                return True
    return capacity >= count


def _can_start(
    worker: worker_lib.Worker, step: scheduling.Step, now: float
) -> bool:
    """Returns whether a worker takes tasks and has room for one of a step."""
    return worker.fits(step) and worker.could_run(step) and worker.is_open(now)


def _is_allowed(
    worker: worker_lib.Worker,
    job: active_job.ActiveJob,
    task: active_job.Task,
    rooms: room_index.RoomIndex,
    now: float,
) -> bool:
    step = job.job.steps[task.step]
    if worker.side in task.failed_sides and len(task.failed_sides) < 3:
        return False
    if rooms.held.holds(worker, rooms.list_all, now):
        return False
    if not step.max_per_runner:
        return True
    prefix = f"{job.job.id}.0.{task.step}."
    there = sum(name.startswith(prefix) for name in worker.runs)
    return there < step.max_per_runner
