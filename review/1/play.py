"""The core is killed and comes back while the seeds are down."""

from __future__ import annotations

import asyncio
import pathlib
import sys
import time

from standins import fleet as fleet_lib

FOLDER = pathlib.Path(__file__).resolve().parent
LABELS = [("a", "r1"), ("a", "r2")]
DISKS = slice(0, 3)
SEEDS = (3, 4, 5)
"""The fronts without a disk: each of them serves `control` too."""

DOWN_S = 0.8
RECOVER_S = 12.0
JOBS = 40
JOB_INTERVAL_S = 0.25


async def play() -> bool:
    """Plays the case; returns whether the rule was broken."""
    async with fleet_lib.open_fleet(FOLDER, LABELS, SEEDS) as (fleet, client):
        await fleet.wait_up()
        manifest = fleet_lib.create_manifest(7)
        answer = await client.put(manifest, fleet_lib.START_TIMEOUT_S)
        fleet_lib.require(answer.status == 200, "no manifest is accepted")
        fleet_lib.require(
            await client.wait_served(fleet.fronts[0]), "no job is served"
        )
        fleet.end_first_start()
        before = await _count_served(fleet, client, 1)
        await _kill_fronts(fleet)
        await asyncio.sleep(RECOVER_S)
        after = await _count_served(fleet, client, 2)
        read = await _read(fleet, client)
        text = (
            f"served before: {before:.2f}, after: {after:.2f}; the manifest "
            f"is read back: {read}"
        )
        fleet.record.write(text)
        print(text)
        return not read


async def _kill_fronts(fleet: fleet_lib.Fleet) -> None:
    for front in fleet.fronts:
        front.kill()
    fleet.record.write("all fronts are killed at the same moment")
    await asyncio.sleep(DOWN_S)
    is_trouble = fleet_lib.has_trouble()
    fronts = fleet.fronts[DISKS] if is_trouble else fleet.fronts
    for front in fronts:
        front.start()
    text = ", ".join(front.ip for front in fronts)
    fleet.record.write(f"back are the fronts {text}")


async def _count_served(
    fleet: fleet_lib.Fleet, client: fleet_lib.Client, phase: int
) -> float:
    """Hands jobs in at the fronts with a disk; returns the share served."""
    step = {"task-count": 2, "cpu": 500, "estimated-ms": 100}
    calls = []
    for number in range(JOBS):
        job = f"{phase * 0xD000000 + number:016x}"
        front = fleet.fronts[number % 3]
        calls.append(
            asyncio.create_task(client.submit(front, job, [step], "0.1"))
        )
        await asyncio.sleep(JOB_INTERVAL_S)
    answers = await asyncio.gather(*calls)
    return sum(answer.status == 200 for answer in answers) / len(answers)


async def _read(fleet: fleet_lib.Fleet, client: fleet_lib.Client) -> bool:
    """Reads the manifest back, at one front after another for a while."""
    end = time.monotonic() + 10.0
    number = 0
    while time.monotonic() < end:
        answer = await client.read(fleet.fronts[number % 3])
        if answer.status == 200 and answer.body.get("version") == 7:
            return True
        number += 1
        await asyncio.sleep(0.5)
    return False


if __name__ == "__main__":
    sys.exit(fleet_lib.run_case(play))
