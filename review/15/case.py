"""Two clients of two queues give their jobs the same id."""

from __future__ import annotations

import asyncio
import pathlib
import sys

from review.standins3 import fleet as fleet_lib

FIRST_TASKS = 2
SECOND_TASKS = 5
FIRST_WORK_MS = 300
SECOND_WORK_MS = 400
CALLER_WAITS_S = 6.0
PAUSE_S = 1.0

# Each client numbers its orders for itself.
FIRST_ORDER = 1


async def act(fleet: fleet_lib.Fleet) -> str:
    """Plays the case; returns how the rule was broken."""
    first_queue, second_queue = fleet_lib.ROUTES[:2]
    second_order = FIRST_ORDER
    if not fleet_lib.has_trouble():
        second_order += 1
    job = f"{FIRST_ORDER:016x}"
    answer = await fleet.submit(
        fleet.fronts[0],
        job,
        FIRST_TASKS,
        FIRST_WORK_MS,
        CALLER_WAITS_S,
        route=first_queue,
    )
    if answer.body != {"state": "completed"}:
        raise fleet_lib.CannotRunError("the first job was not completed")
    await asyncio.sleep(PAUSE_S)

    job = f"{second_order:016x}"
    answer = await fleet.submit(
        fleet.fronts[1],
        job,
        SECOND_TASKS,
        SECOND_WORK_MS,
        CALLER_WAITS_S,
        route=second_queue,
    )
    if answer.body != {"state": "completed"}:
        return ""
    ended = [
        task
        for runner in fleet.runners
        for task, spec in runner.done
        if task.startswith(f"{job}.") and spec == f"work-ms {SECOND_WORK_MS}"
    ]
    fleet.record(f"tasks of the second job that ended as done: {ended}")
    if len(ended) == SECOND_TASKS:
        return ""
    return f"completed, and {len(ended)} of {SECOND_TASKS} tasks ended so"


if __name__ == "__main__":
    folder = pathlib.Path(__file__).parent
    sys.exit(fleet_lib.run_case(folder, act))
