"""A stand-in runner as a service."""

from __future__ import annotations

import contextlib

from skylarkcleat import daemon
from skylarkcleat import web as web_lib
from skylarkcleat.standin import runner as runner_lib


class RunnerService(daemon.RoleService):
    """Runs a stand-in runner on one address."""

    host: str
    port: int
    speed: float

    async def open(self, stack: contextlib.AsyncExitStack) -> None:
        """Opens the runner's HTTP server."""
        app = runner_lib.Runner(self.speed).create_app()
        await stack.enter_async_context(
            web_lib.Server(app, self.host, self.port)
        )
