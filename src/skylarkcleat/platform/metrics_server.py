"""Serves a process's metrics on the last of its ports."""

from __future__ import annotations

import contextlib
import typing as t

import eliot
from aiohttp import web

from skylarkcleat import logs
from skylarkcleat.http_limits import guard as guard_lib
from skylarkcleat.http_limits import limits
from skylarkcleat.metrics import decisions
from skylarkcleat.platform import listening
from skylarkcleat.platform import settings as settings_lib

PATH = "/metrics"


@contextlib.asynccontextmanager
async def serve_metrics(
    settings: settings_lib.Settings, guard: guard_lib.Guard, log: logs.Log
) -> t.AsyncIterator[None]:
    """Collects and serves metrics until the exit."""
    metrics = decisions.DecisionMetrics()

    async def respond(request: web.Request) -> web.Response:
        accepts = request.headers.getall("Accept", [])
        body, headers = metrics.render(accepts, log.lost)
        return web.Response(body=body, headers=headers)

    app = web.Application(client_max_size=limits.PROBE_BODY_BYTES)
    app.router.add_get(PATH, respond)
    eliot.add_destinations(metrics)
    try:
        async with contextlib.AsyncExitStack() as stack:
            address = f"{settings.ip}:{settings.port_range[1]}"
            runner = listening.create_app_runner(
                guard, limits.PROBE_BODY_BYTES, app
            )
            await listening.listen(stack, address, runner)
            yield
    finally:
        eliot.remove_destination(metrics)
