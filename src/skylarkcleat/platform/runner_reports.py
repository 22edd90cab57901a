"""Serves the calls that a runner makes to the side process beside it."""

from __future__ import annotations

import abc

import eliot
from aiohttp import web

from skylarkcleat.http_limits import limits
from skylarkcleat.platform import names
from skylarkcleat.platform import runner_body


class RunnerListener(abc.ABC):
    """Receives a runner's heartbeats and its deregistration."""

    @abc.abstractmethod
    def handle_heartbeat(self, heartbeat: runner_body.Heartbeat) -> None:
        """Handles a heartbeat."""

    @abc.abstractmethod
    def handle_deregistration(self, runner: str) -> None:
        """Handles the deregistration of a runner that is shutting down."""


def create_reports_app(listener: RunnerListener) -> web.Application:
    """Returns the application that a runner calls."""

    async def handle_heartbeat(request: web.Request) -> web.Response:
        runner = request.match_info["id"]
        body = await request.read()
        try:
            heartbeat = runner_body.decode_heartbeat(runner, body)
        except runner_body.RunnerError as error:
            eliot.log_message(
                "side:heartbeat-ignored", runner=runner, reason=str(error)
            )
            return web.json_response({})
        listener.handle_heartbeat(heartbeat)
        return web.json_response({})

    async def handle_deregistration(request: web.Request) -> web.Response:
        listener.handle_deregistration(request.match_info["id"])
        return web.json_response({})

    app = web.Application(client_max_size=limits.HEARTBEAT_BODY_BYTES)
    app.router.add_post(names.HEARTBEAT_PATH, handle_heartbeat)
    app.router.add_post(names.DEREGISTER_PATH, handle_deregistration)
    return app
