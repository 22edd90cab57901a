"""A runner that does as each task's payload says.

Payload keys, all optional: `sleep_ms` (how long to take), `status` (the
HTTP status to answer with), `garbage` (answer with no JSON), `half` (break
off inside the answer), `silent` (never answer), `echo` (what to answer).
"""

from __future__ import annotations

import asyncio
import collections
import json
import typing as t

from aiohttp import web

_MS_PER_S = 1000
_FOREVER_S = 3600.0


class Runner:
    """Counts starts by task, beside answering them."""

    def __init__(self, speed: float = 1.0) -> None:
        """Initializes a runner.

        Args:
            speed: Divides each task's `sleep_ms`.
        """
        self.starts: collections.Counter[str] = collections.Counter()
        self.running = 0
        self.most_running = 0
        self._speed = speed

    def create_app(self) -> web.Application:
        """Returns the HTTP application: `POST /run` and `GET /starts`."""
        app = web.Application()
        app.router.add_post("/run", self._run)
        app.router.add_get("/starts", self._list_starts)
        return app

    async def _list_starts(self, _: web.Request) -> web.Response:
        return web.json_response(dict(self.starts))

    async def _run(self, request: web.Request) -> web.StreamResponse:
        payload = json.loads(await request.read())
        wishes = payload if isinstance(payload, dict) else {}
        self.starts[request.headers.get("Skylarkcleat-Task", "")] += 1
        self.running += 1
        self.most_running = max(self.most_running, self.running)
        try:
            return await self._answer(request, wishes)
        finally:
            self.running -= 1

    async def _answer(
        self, request: web.Request, wishes: dict[str, t.Any]
    ) -> web.StreamResponse:
        duration_s = wishes.get("sleep_ms", 0) / _MS_PER_S / self._speed
        if wishes.get("silent"):
            duration_s = _FOREVER_S
        if duration_s:
            await asyncio.sleep(duration_s)
        if wishes.get("half"):
            return await _break_off(request)
        if wishes.get("garbage"):
            return web.Response(body=b"\x00not json")
        answer = {"echo": wishes.get("echo")}
        return web.json_response(answer, status=wishes.get("status", 200))


async def _break_off(request: web.Request) -> web.StreamResponse:
    response = web.StreamResponse(headers={"Content-Length": "100"})
    await response.prepare(request)
    await response.write(b'{"ech')
    request.transport.close()
    return response
