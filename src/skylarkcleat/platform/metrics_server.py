"""Serves a process's metrics on the last of its ports."""

from __future__ import annotations

import contextlib
import typing as t

import eliot
from aiohttp import web

from skylarkcleat import logs
from skylarkcleat.metrics import decisions
from skylarkcleat.platform import settings as settings_lib

PATH = "/metrics"
_SHUTDOWN_S = 0.1


@contextlib.asynccontextmanager
async def serve_metrics(
    settings: settings_lib.Settings, log: logs.Log
) -> t.AsyncIterator[None]:
    """Counts and serves until the exit."""
    metrics = decisions.DecisionMetrics()

    async def answer(request: web.Request) -> web.Response:
        accepts = request.headers.getall("Accept", [])
        body, headers = metrics.render(accepts, log.lost)
        return web.Response(body=body, headers=headers)

    app = web.Application()
    app.router.add_get(PATH, answer)
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=_SHUTDOWN_S)
    eliot.add_destinations(metrics)
    try:
        await runner.setup()
        port = settings.port_range[1]
        await web.TCPSite(runner, settings.ip, port).start()
        yield
    finally:
        eliot.remove_destination(metrics)
        await runner.cleanup()
