"""The log's voters while fronts with a disk are replaced for good."""

from __future__ import annotations

import asyncio

import aiohttp
import pytest

from tests import platform_fleet

RECOVER_S = 12.0
"""Within this time after the VMs are back, service has to be back."""

SUCCESSOR_DELAY_S = 1.0
CATCH_UP_S = 4.0
"""How long after its successor's start a removed VM still counts as lost."""

ACKNOWLEDGED_S = 6.0
"""Within this time a change is acknowledged after another loss: a loss
destabilizes the core for 3 s, and less than 3 s more pass until its voters
elect a leader."""


async def _put_soon(client, front, version):
    async with asyncio.timeout(ACKNOWLEDGED_S):
        return await client.put(front, version)


# A lost voter that stayed a voter beside its successor: one more loss left two
# of four, and the configuration could not be changed or read any more.
def test_second_loss_after_a_replacement_leaves_the_log_a_majority(
    run_with_configured_fleet,
):
    async def act(client):
        fleet = client.fleet
        fleet.fronts[1].kill()
        await asyncio.sleep(SUCCESSOR_DELAY_S)
        successor = fleet.add_front()
        await asyncio.sleep(CATCH_UP_S)
        assert (await _put_soon(client, 2, 2))[0] == 200
        fleet.fronts[0].kill()
        assert (await _put_soon(client, successor, 3))[0] == 200
        status, found = await client.read(2)
        assert (status, found["version"]) == (200, 3)

    run_with_configured_fleet(act)


# CONFIG, RECOVER (review/1): voters that all started again while the seeds were
# down never connected to each other, though their disks hold their names.
def test_voters_that_return_while_the_seeds_are_down_serve_again(
    run_with_configured_fleet,
):
    async def act(client):
        fleet = client.fleet
        for front in fleet.fronts:
            front.kill()
        for front in fleet.fronts[:3]:
            fleet.forbid_bootstrap(front)
            fleet.set_seeds(front, [3])
            front.start()
        async with asyncio.timeout(RECOVER_S):
            await _wait_read(client)
            await client.wait_served()

    run_with_configured_fleet(act)


async def _wait_read(client, front=0, version=1):
    """Waits until the configuration is read back at a front."""
    while True:
        try:
            status, found = await client.read(front)
        except aiohttp.ClientError:
            status = 0
        if status == 200:
            assert found["version"] == version
            return
        await asyncio.sleep(0.1)


# CONFIG (review/2): a front with a disk was lost just after it was agreed who
# founds the log, and replaced; no log was ever founded.
@pytest.mark.parametrize("number", [0, 2])
def test_a_front_lost_at_the_first_start_keeps_nobody_from_a_log(
    number, tmp_path, worker_block
):
    async def main():
        opened = platform_fleet.open_first_start(tmp_path, worker_block)
        async with opened as client:
            fleet = client.fleet
            other = fleet.fronts[1]
            await other.wait_logged("front:founding")
            fleet.fronts[number].kill()
            await asyncio.sleep(SUCCESSOR_DELAY_S)
            successor = fleet.add_front()
            async with asyncio.timeout(CATCH_UP_S + RECOVER_S):
                status, _ = await client.put(1, 1)
                assert status == 200
                await _wait_read(client, successor)

    asyncio.run(main())


# CONFIG, Fault (review/7): the core was killed during its first start, and came
# back with all its disks. It never founded a log.
@pytest.mark.parametrize("killed_after_s", [0.0, 0.6, 1.2])
def test_a_core_killed_at_its_first_start_founds_a_log(
    killed_after_s, tmp_path, worker_block
):
    async def main():
        open_fleet = platform_fleet.open_fleet
        async with open_fleet(tmp_path, worker_block, False) as client:
            fleet = client.fleet
            core = fleet.fronts[:3]
            while len(list(tmp_path.glob("*/identity"))) < len(core):
                await asyncio.sleep(0.01)
            await asyncio.sleep(killed_after_s)
            for front in core:
                front.kill()
            for front in core:
                fleet.forbid_bootstrap(front)
                front.start()
            async with asyncio.timeout(RECOVER_S):
                # The front without a disk may start later than the core.
                await client.wait_listening(3)
                status, _ = await client.put(3, 1)
                assert status == 200
                await _wait_read(client)
                await client.wait_served()

    asyncio.run(main())


# A front whose disk was damaged ended at each start, for good.
def test_a_front_with_a_damaged_disk_comes_back_with_an_empty_log(
    run_with_configured_fleet,
):
    async def act(client):
        fleet = client.fleet
        front = fleet.fronts[1]
        for version in (2, 3):
            assert (await client.put(0, version))[0] == 200
        front.kill()
        (segment,) = fleet.folder.glob(f"data-{front.ip}/segment-*")
        data = bytearray(segment.read_bytes())
        data[len(data) // 3] ^= 0x40
        segment.write_bytes(data)
        fleet.forbid_bootstrap(front)
        front.start()
        await front.wait_logged("consensus:set-aside")
        async with asyncio.timeout(RECOVER_S):
            await _wait_read(client, 1, version=3)
        await asyncio.sleep(CATCH_UP_S)
        # The repaired disk counts: another one may be lost.
        fleet.fronts[0].kill()
        assert (await _put_soon(client, 1, 4))[0] == 200
        assert not front.has_ended

    run_with_configured_fleet(act)


# A side process that started while its seeds were down never found the owner,
# though its settings named others by then.
def test_a_side_process_follows_seeds_that_change_while_it_runs(
    run_with_configured_fleet,
):
    async def act(client):
        fleet = client.fleet
        for side in fleet.sides:
            side.kill()
            fleet.set_seeds(side, [9])
            side.start()
        await asyncio.sleep(CATCH_UP_S)
        assert (await client.submit(0, f"{0xAB:016x}"))[0] == 503
        for side in fleet.sides:
            fleet.set_seeds(side, [0, 1])
        await client.wait_served(RECOVER_S)

    run_with_configured_fleet(act)
