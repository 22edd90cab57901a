"""Clients that ignore limits neither end nor fill a process."""

from __future__ import annotations

import asyncio
import json

import aiohttp
import pytest

from tests import fake_runner
from tests import limit_crowds
from tests import platform_fleet

MEMORY_MB = 160
MAX_DESCRIPTORS = 640
ANSWER_TIMEOUT_S = 30.0
LIMITS = f"[limits]\nmemory-mb = {MEMORY_MB}\nmax-fds = {MAX_DESCRIPTORS}\n"
LARGE = "x" * 900_000


@pytest.fixture
def run_with_limits(tmp_path, worker_block):
    """Runs a coroutine function beside a fleet with lowered limits."""

    def run(act, **fields):
        async def main():
            fleet = platform_fleet.open_fleet(
                tmp_path, worker_block, limits=LIMITS
            )
            async with fleet as client:
                await client.put(0, 1, **fields)
                await client.wait_served()
                await act(client)

        asyncio.run(main())

    return run


def find_port(client, name):
    url = (
        client.fleet.front_url if name == "front" else client.fleet.control_url
    )
    return int(url(0, "").rpartition(":")[2])


def check_usage(process):
    assert not process.has_ended, "the process has ended"
    usage = limit_crowds.read_usage(process.id)
    assert usage.peak_mb < MEMORY_MB
    assert usage.descriptors < MAX_DESCRIPTORS


async def check_service(client):
    async with asyncio.timeout(ANSWER_TIMEOUT_S):
        await client.wait_served(ANSWER_TIMEOUT_S)


@pytest.mark.parametrize("name", limit_crowds.CROWDS)
def test_front_withstands_clients_that_ignore_limits(run_with_limits, name):
    # Guards against held bytes and connections without a bound.
    crowd = limit_crowds.CROWDS[name]

    async def act(client):
        process = client.fleet.fronts[0]
        port = find_port(client, crowd.port)
        async with limit_crowds.send_crowd(crowd, process.ip, port):
            check_usage(process)
            await check_service(client)
            check_usage(process)

    run_with_limits(act, note=LARGE)


def test_side_process_withstands_bodies_that_stop_short(run_with_limits):
    # Guards against an address that is served without the limits.
    async def act(client):
        process = client.fleet.sides[0]
        crowd = limit_crowds.CROWDS["bodies-of-4-mb-short"]
        runner = client.fleet.runners[0].id
        path = f"/api/instances/{runner}/heartbeat".encode()
        data = crowd.data.replace(b"/api/config/put", path, 1)
        port = find_port(client, "control")
        crowd = crowd._replace(data=data)
        async with limit_crowds.send_crowd(crowd, process.ip, port):
            check_usage(process)
            await check_service(client)
            check_usage(process)

    run_with_limits(act)


def test_open_jobs_are_answered_beside_bodies_that_stop_short(run_with_limits):
    # Guards against a complete request that is closed for other clients' bytes.
    async def act(client):
        process = client.fleet.fronts[0]
        crowd = limit_crowds.CROWDS["legal-bodies-short"]
        port = find_port(client, "front")
        jobs = [
            asyncio.create_task(
                client.submit(0, f"{0xDEF0000 + n:016x}", 1, 900, 10)
            )
            for n in range(60)
        ]
        await asyncio.sleep(0.3)
        async with limit_crowds.send_crowd(crowd, process.ip, port):
            answers = await asyncio.gather(*jobs)
        assert {status for status, _ in answers} == {200}

    run_with_limits(act)


@pytest.mark.parametrize(
    ("headers", "body"),
    [
        ({}, b" " * (limit_crowds.LEGAL_BODY_BYTES - 200)),
        (None, b" " * 250_000),
        ({"X-Long": "x" * 15_500}, b""),
    ],
    ids=["body", "chunks-of-one-byte", "header-section"],
)
def test_single_request_within_the_limits_is_served(
    run_with_limits, headers, body
):
    # Guards against limits that are lower than what clients may send.
    step = {"task-count": 1, "cpu": 10, "estimated-ms": 50}
    job = {"spec": "s", "steps": [step], "best-effort": True}
    text = json.dumps(job).encode() + body

    async def send_bytes():
        for begin in range(len(text)):
            yield text[begin : begin + 1]

    async def act(client):
        data = send_bytes() if headers is None else text
        url = client.fleet.front_url(0, f"{platform_fleet.PREFIX}{0xABE:016x}")
        host = {"Host": platform_fleet.HOST, "Deadline-Ms": "8000"}
        async with (
            aiohttp.ClientSession() as session,
            session.post(
                url, data=data, headers=host | (headers or {})
            ) as answer,
        ):
            assert (answer.status, await answer.json()) == (
                200,
                {"state": "completed"},
            )

    run_with_limits(act)


def test_configuration_of_several_mb_is_read(run_with_limits):
    # Guards against aiohttp's default limit of 1 MiB.
    async def act(client):
        status, answer = await client.put(0, 2, note="x" * 3_000_000)
        assert status == 400
        assert "over the limit of 1000000" in answer["error"]

    run_with_limits(act)


def test_heartbeat_of_4_mib_is_accepted(run_with_limits):
    # Guards against limits lower than what a runner may send.
    async def act(client):
        runner = client.fleet.runners[0].id
        url = client.fleet.heartbeat_url(0, runner)
        padding = "x" * (4 * 1024 * 1024 - 1000)
        body = fake_runner.HEARTBEAT | {"note": padding}
        assert await client.call("POST", url, body) == (200, {})

    run_with_limits(act)
