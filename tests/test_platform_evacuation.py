"""Evacuations of a zone through real processes."""

from __future__ import annotations

import asyncio
import time

import pytest

from tests import platform_fleet

ZONES = ("east", "west")
EVACUATE_S = 5.0
"""The bound of the users' page from an acknowledgement until it is in force."""


@pytest.fixture
def run_with_zones(tmp_path, worker_block):
    """Runs a coroutine function beside a fleet whose sides are in two zones."""

    async def main(act):
        open_fleet = platform_fleet.open_fleet
        fleet = open_fleet(tmp_path, worker_block, side_zones=ZONES)
        async with fleet as client:
            await client.configure()
            await act(client)

    return lambda act: asyncio.run(main(act))


async def _play_jobs(client, first, length_s):
    """Submits jobs for a while; returns the starts on each runner meanwhile."""
    before = [len(runner.starts) for runner in client.fleet.runners]
    end = time.monotonic() + length_s
    while time.monotonic() < end:
        first += 1
        await client.submit(3, f"{first:016x}")
        await asyncio.sleep(0.02)
    runners = client.fleet.runners
    return [len(r.starts) - n for r, n in zip(runners, before, strict=True)]


# Guards against an acknowledged evacuation that only memory holds, and against
# an owner that starts tasks before it has learned of it.
def test_an_evacuation_outlives_the_end_of_all_processes(run_with_zones):
    async def act(client):
        fleet = client.fleet
        assert await client.order(1, "east", "start") == 200
        assert (await _play_jobs(client, 0x100, 1.0))[1] > 0
        processes = [*fleet.fronts, *fleet.sides]
        for process in processes:
            process.kill()
        starts = len(fleet.runners[0].starts)
        for process in processes:
            fleet.forbid_bootstrap(process)
            process.start()
        await client.wait_served()
        assert (await _play_jobs(client, 0x200, 1.0))[1] > 0
        assert len(fleet.runners[0].starts) == starts
        assert await client.order(2, "north", "start") == 400

    run_with_zones(act)


# Guards against a front that missed the withdrawal and brings the evacuation
# back, or that missed the evacuation and starts tasks there.
def test_an_evacuation_is_withdrawn_while_a_front_is_down(run_with_zones):
    async def act(client):
        fleet = client.fleet
        assert await client.order(0, "west", "start") == 200
        await asyncio.sleep(EVACUATE_S)
        fleet.fronts[2].kill()
        east, west = await _play_jobs(client, 0x100, 1.0)
        assert east > 0
        assert west == 0
        assert await client.order(0, "west", "stop") == 200
        assert await client.order(1, "west", "stop") == 200
        fleet.forbid_bootstrap(fleet.fronts[2])
        fleet.fronts[2].start()
        await asyncio.sleep(EVACUATE_S)
        _, west = await _play_jobs(client, 0x200, 2.0)
        assert west > 0

    run_with_zones(act)
