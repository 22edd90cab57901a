"""Odd entries through real processes: none ends, and runners stay in use."""

from __future__ import annotations

import asyncio
import json

import pytest

from tests import fake_runner
from tests import platform_fleet
from tests import test_platform_odd_bodies as bodies

ODD_S = 1.0
"""For how long every runner answers oddly: longer than a lease."""


def list_odd(template):
    for odd in bodies.ODD_VALUES.values():
        for path in bodies.list_places(template):
            yield bodies.replace(template, path, odd)


async def check_served(client):
    fleet = client.fleet
    processes = [*fleet.fronts, *fleet.sides]
    assert not [each.ip for each in processes if each.has_ended]
    for runner in fleet.runners:
        runner.starts.clear()
    await client.wait_served()


def describe(runner):
    """Returns the heartbeat of a runner, as another writer may copy it."""
    return fake_runner.HEARTBEAT | {
        "service": fake_runner.SERVICE,
        "address": f"{runner.ip}:{runner.port}",
        "born": runner.born_ms,
    }


def test_odd_heartbeats_end_no_side_process(run_with_configured_fleet):
    async def act(client):
        fleet = client.fleet
        for number, runner in enumerate(fleet.runners):
            for body in list_odd(describe(runner)):
                for id_ in (runner.id, "other"):
                    url = fleet.heartbeat_url(number, id_)
                    status, _ = await client.call("POST", url, body)
                    assert status == 200
        await check_served(client)

    run_with_configured_fleet(act)


# Later heartbeats of the runner itself were passed over as outdated.
@pytest.mark.parametrize(
    ("changes", "is_copy"),
    [
        ({"sequence": 9_000_000_000_000_000}, True),
        ({"born": 9_000_000_000_000_000}, True),
        ({"born": 9_000_000_000_000_000}, False),
        ({"address": "10.0.0.9:80"}, False),
        ({"address": "10.0.0.9:99999"}, True),
        ({"address": "[fe80::1%eth0:80"}, False),
    ],
    ids=str,
)
def test_runners_are_followed_after_an_odd_entry(
    run_with_configured_fleet, changes, is_copy
):
    async def act(client):
        fleet = client.fleet
        for number, runner in enumerate(fleet.runners):
            body = json.dumps(describe(runner) | changes).encode()
            url = fleet.heartbeat_url(number, runner.id if is_copy else "other")
            await client.call("POST", url, body)
        await asyncio.sleep(ODD_S)
        for runner in fleet.runners:
            runner.state = "draining"
        await asyncio.sleep(ODD_S)
        status, _ = await client.submit(0, "00000000000000f1")
        assert status == 503
        for runner in fleet.runners:
            assert not [s for s in runner.starts if "f1." in s[0]]

    run_with_configured_fleet(act)


ODD_IDS = ("a%0d%0ab", "%00", "%f0%9f%98%80", "x" * 7000, "%20")


# The id of another writer's runner is sent back in a header.
def test_odd_ids_end_no_side_process(run_with_configured_fleet):
    async def act(client):
        fleet = client.fleet
        for number, runner in enumerate(fleet.runners):
            body = json.dumps(describe(runner)).encode()
            for odd in ODD_IDS:
                url = fleet.heartbeat_url(number, odd)
                await client.call("POST", url, body)
        await asyncio.sleep(ODD_S)
        await check_served(client)

    run_with_configured_fleet(act)


ODD_ANSWERS = (
    bodies.DEEP,
    json.dumps(bodies.HELD | {"running": [["x"]]}).encode(),
    json.dumps(bodies.HELD | {"running": [["x", 10**30]]}).encode(),
    json.dumps(bodies.HELD | {"ended": [[10**30, "x", 1, "done"]]}).encode(),
    json.dumps(bodies.HELD | {"born": 10**30}).encode(),
    b"\xff",
)


def test_odd_answers_of_runners_end_no_side_process(run_with_configured_fleet):
    async def act(client):
        for answer in ODD_ANSWERS:
            for runner in client.fleet.runners:
                runner.odd_answer = answer
            await asyncio.sleep(ODD_S)
            for runner in client.fleet.runners:
                runner.odd_answer = None
            await check_served(client)

    run_with_configured_fleet(act)


ODD_REQUESTS = (
    b"POST /lohu/%s HTTP/1.1\r\nHost: nony.ex\xffmple\r\n",
    b"POST /lohu/\xff/%s HTTP/1.1\r\nHost: nony.example\r\n",
    b"GET /lohu/\xff/%s HTTP/1.1\r\nHost: nony.ex\xffmple\r\n",
)
ENDED_AFTER_S = 5.0
"""A loop that fails 30 times in 10 s ends its process."""


# Fault (review/8): a front that could not send on what it had taken ended, and
# cut off its callers, if the host or the path of a request was no UTF-8.
def test_requests_that_are_no_text_end_no_front(tmp_path, worker_block):
    async def main():
        open_fleet = platform_fleet.open_fleet
        async with open_fleet(tmp_path, worker_block, False) as client:
            await client.wait_ready()
            # Without a configuration a request waits to be sent on.
            for number in range(len(client.fleet.fronts)):
                for odd in ODD_REQUESTS:
                    url = client.fleet.front_url(number, "")
                    answer = await _send_raw(url, odd % bodies.JOB_ID.encode())
                    assert answer.split()[1] == b"400"
            await asyncio.sleep(ENDED_AFTER_S)
            await client.configure()
            await check_served(client)

    asyncio.run(main())


async def _send_raw(url, head):
    """Sends a job under any request line and headers; returns the answer."""
    host, port = url.removeprefix("http://").split(":")
    body = json.dumps(bodies.JOB).encode()
    reader, writer = await asyncio.open_connection(host, int(port))
    length = f"Content-Length: {len(body)}\r\n\r\n".encode()
    writer.write(head + length + body)
    answer = await asyncio.wait_for(reader.read(100), 10.0)
    writer.close()
    return answer
