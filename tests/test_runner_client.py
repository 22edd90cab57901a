from __future__ import annotations

import asyncio
import time

import pytest
from aiohttp import web

from skylarkcleat.platform import names
from skylarkcleat.platform import runner_client
from skylarkcleat.protocol import leasing

START = leasing.Start(1, "0" * 16 + ".0.0.0", 1, "spec", 1000, 64, 0)
STOP = leasing.Stop(1, START.task, 1)


async def _never_answer(request):
    await asyncio.sleep(5.0)
    return web.Response()


async def _call_unresponsive_runner(call):
    app = web.Application()
    app.router.add_post(names.START_PATH, _never_answer)
    app.router.add_post(names.STOP_PATH, _never_answer)
    server = web.AppRunner(app, shutdown_timeout=0.01)
    await server.setup()
    site = web.TCPSite(server, "127.0.0.1", 0)
    await site.start()
    _, port = site._server.sockets[0].getsockname()
    try:
        async with runner_client.RunnerClient(f"127.0.0.1:{port}") as client:
            begun = time.monotonic()
            answer = await call(client)
            return answer, time.monotonic() - begun
    finally:
        await server.cleanup()


@pytest.mark.parametrize(
    "call",
    [
        lambda client: client.start(START, 1000, "i-1"),
        lambda client: client.stop(STOP, "i-1"),
    ],
    ids=["start", "stop"],
)
def test_unanswered_order_times_out_quickly(call):
    answer, took_s = asyncio.run(_call_unresponsive_runner(call))
    assert answer.status == runner_client.UNANSWERED
    assert runner_client.ORDER_TIMEOUT_S <= took_s < 0.2
