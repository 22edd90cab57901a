"""Callers of an entry that ignore limits."""

from __future__ import annotations

import asyncio

from tests import limit_crowds

MEMORY_MB = 250


def test_entry_withstands_bodies_that_stop_short(start_fleet):
    # Guards against an entry that holds incomplete bodies without a bound.
    fleet = start_fleet(agents=3)
    fleet.wait_ready()
    fleet.wait_agents()
    assert fleet.apply_profile("votive-order").status == 200
    host, port = fleet.http["entry-1"].removeprefix("http://").split(":")
    crowd = limit_crowds.CROWDS["bodies-of-4-mb-short"]
    data = crowd.data.replace(b"/api/config/put", b"/v1/jobs", 1)
    process = fleet.processes["entry-1"]

    async def act():
        crowd_of_entry = crowd._replace(data=data)
        async with limit_crowds.send_crowd(crowd_of_entry, host, int(port)):
            answer = await asyncio.to_thread(fleet.submit, [{"echo": 1}])
            assert answer.status == 200
            assert process.is_running()
            assert limit_crowds.read_usage(process.pid).peak_mb < MEMORY_MB

    asyncio.run(act())
