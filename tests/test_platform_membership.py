"""The log's voters while fronts with a disk are replaced for good."""

from __future__ import annotations

import asyncio

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
        url = client.fleet.control_url(2, "/api/config/get")
        status, found = await client.call("GET", url)
        assert (status, found["version"]) == (200, 3)

    run_with_configured_fleet(act)
