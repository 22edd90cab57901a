"""A front that wakes up while the owner dies starts running tasks again."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins2"))

import runner as runner_lib  # noqa: E402

import fleet as fleet_lib  # noqa: E402

ROUNDS = 3
OWNER = 3
"""The front without a disk, which comes first as the owner."""

ADDED = 3
"""How many empty runners are added."""

FROZEN = 0
CALLER = 1
LEAD_S = 0.06
"""How long before the frozen front wakes up the owner is killed."""

FILLER_S = 4.0
"""How long the first runners are busy; from its begin on all else is timed."""

LAST_S = 0.7
KILL_S = 0.3
"""How long before that the job is handed in and the owner is killed."""

FILLER_TASKS = 12
FILLER_CPU = 2000
"""They fill the three first runners."""

WORK_S = 2.0
SHORT_S = 0.02
TASKS = 12
TASK_CPU = 1500
FILLER = "5c0e7a21d94b36f7"
JOB = "5c0e7a21d94b36f8"


async def play(record: fleet_lib.Record, has_trouble: bool) -> bool:
    """Plays the case; returns whether a task ran twice at the same time."""
    for number in range(ROUNDS):
        record.write("round", number=number)
        if await _play_round(record, has_trouble):
            return True
    return False


async def _play_round(record: fleet_lib.Record, has_trouble: bool) -> bool:
    async with contextlib.AsyncExitStack() as stack:
        fleet = fleet_lib.Fleet(record, sides=3)
        await fleet.open(stack)
        await fleet.wait_owner(OWNER)
        await asyncio.sleep(1.0)
        frozen, owner = fleet.fronts[FROZEN], fleet.fronts[OWNER]
        begun_at = time.monotonic()
        fill = asyncio.create_task(_fill(fleet))
        await asyncio.sleep(0.2)
        if has_trouble:
            record.write("freeze", front=frozen.ip)
            frozen.signal(signal.SIGSTOP)
            stack.callback(frozen.signal, signal.SIGCONT)
        added = [await fleet.add_side() for _ in range(ADDED)]
        record.write("add", runners=[fleet.runners[n].id for n in added])
        await _wait_used(fleet, added)
        if time.monotonic() - begun_at > FILLER_S - LAST_S:
            raise fleet_lib.CaseError("the runners were added too slowly")
        await _sleep_until(begun_at + FILLER_S - LAST_S)
        step = _create_step(TASKS, TASK_CPU, WORK_S)
        spec = _create_spec(WORK_S)
        sent = asyncio.create_task(fleet.submit(CALLER, JOB, [step], spec))
        await _sleep_until(begun_at + FILLER_S - KILL_S)
        if has_trouble:
            record.write("kill", front=owner.ip)
            owner.signal(signal.SIGKILL)
            await asyncio.sleep(LEAD_S)
            record.write("wake", front=frozen.ip)
            frozen.signal(signal.SIGCONT)
        await asyncio.gather(fill, sent)
        await asyncio.sleep(0.5)
        return _judge(fleet)


async def _fill(fleet: fleet_lib.Fleet) -> None:
    """Keeps the first runners busy until the owner has died."""
    step = _create_step(FILLER_TASKS, FILLER_CPU, FILLER_S)
    await fleet.submit(CALLER, FILLER, [step], _create_spec(FILLER_S))


async def _wait_used(fleet: fleet_lib.Fleet, added: list[int]) -> None:
    """Hands in jobs until each of the runners that were added has run one."""
    for number in itertools.count():
        if all(fleet.runners[each].runs for each in added):
            return
        job = f"{0xDEF00000 + number:016x}"
        step = _create_step(TASKS, TASK_CPU, SHORT_S)
        await fleet.submit(CALLER, job, [step], _create_spec(SHORT_S))


async def _sleep_until(at: float) -> None:
    await asyncio.sleep(at - time.monotonic())


def _create_step(tasks: int, cpu: int, work_s: float) -> dict[str, object]:
    return {
        "task-count": tasks,
        "cpu": cpu,
        "mem-mb": 64,
        "estimated-ms": round(work_s * 1000),
    }


def _create_spec(work_s: float) -> str:
    return f"{runner_lib.WORK}{round(work_s * 1000)}"


def _judge(fleet: fleet_lib.Fleet) -> bool:
    now = time.monotonic()
    overlaps = fleet_lib.list_overlaps(fleet.runners, now)
    for one, other, both_s in overlaps:
        fleet.record.write(
            "twice",
            task=one.task,
            runners=f"{one.runner},{other.runner}",
            both_ms=round(both_s * 1000),
        )
    return bool(overlaps)


if __name__ == "__main__":
    has_trouble = sys.argv[1:] != ["0"]
    sys.exit(fleet_lib.run_case(FOLDER, play, has_trouble))
