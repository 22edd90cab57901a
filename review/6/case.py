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

import fleet as fleet_lib  # noqa: E402

ROUNDS = 3
OWNER = 3
"""The front without a disk, which comes first as the owner."""

FROZEN = 0
CALLER = 1
LEAD_S = 0.06
"""How long before the frozen front wakes up the owner is killed."""

MAX_FREEZE_S = 7.0
"""The site files freeze a machine for 7.6 s at most."""

WORK_MS = 2000
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
        if has_trouble:
            record.write("freeze", front=frozen.ip)
            frozen.signal(signal.SIGSTOP)
            stack.callback(frozen.signal, signal.SIGCONT)
        frozen_at = time.monotonic()
        added = await fleet.add_side()
        record.write("add", runner=fleet.runners[added].id)
        await _wait_used(fleet, added)
        step = _create_step(added, 4, WORK_MS)
        sent = asyncio.create_task(
            fleet.submit(CALLER, JOB, [step], f"work-ms {WORK_MS}")
        )
        await asyncio.sleep(0.4)
        if time.monotonic() - frozen_at > MAX_FREEZE_S:
            raise fleet_lib.CaseError("the freeze has become too long")
        if has_trouble:
            record.write("kill", front=owner.ip)
            owner.signal(signal.SIGKILL)
            await asyncio.sleep(LEAD_S)
            record.write("wake", front=frozen.ip)
            frozen.signal(signal.SIGCONT)
        await sent
        await asyncio.sleep(0.5)
        return _judge(fleet)


async def _wait_used(fleet: fleet_lib.Fleet, added: int) -> None:
    """Hands in small jobs until one runs on the runner that was added."""
    for number in itertools.count():
        if fleet.runners[added].runs:
            return
        job = f"{0xDEF00000 + number:016x}"
        step = _create_step(added, 1, 20)
        await fleet.submit(CALLER, job, [step], "work-ms 20")


def _create_step(added: int, tasks: int, work_ms: int) -> dict[str, object]:
    """Returns a step whose data are in the rack of the added runner."""
    return {
        "task-count": tasks,
        "cpu": 500,
        "mem-mb": 64,
        "estimated-ms": work_ms,
        "data-rack": f"r1-{added}",
    }


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
    sys.exit(fleet_lib.run_case(FOLDER, play))
