"""A runner as the infrastructure's pages describe it, and its troubles."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
import typing as t

import aiohttp
from aiohttp import web

SERVICE = "huvo"
CPU = 4000
MAX_HOLD_MS = 1000
LATE_S = (0.2, 4.0)
"""How much later an order may be carried out that got no answer."""

_HEARTBEAT_S = 0.3
_EXPIRY_POLL_S = 0.02
_WORK_PREFIX = "work-ms "
HEARTBEAT = {
    "service": "huvo",
    "address": "10.0.0.9:80",
    "zone": "z",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold-remaining-ms": 0,
    "capacity": {"cpu": 16000, "mem-mb": 32768, "gpu": 0},
    "labels": ["a", "r1-3"],
    "clock-ms": 482113,
    "sequence": 4,
    "born": 1_700_000_000_000,
}
"""What a runner says of itself."""


class Run(t.NamedTuple):
    """A run of a task, as its runner saw it; it ended when it left the list."""

    task: str
    run: int
    runner: str
    started_at: float
    ended_at: float


class FakeRunner:
    """Starts tasks, holds them under a lease and lists their ends.

    Attributes:
        id: Its name; another one after a crash.
        starts: Each task and run that it began.
        runs: Each run that is over.
        delay_s: How long a task takes whose spec doesn't say so.
        odd_answer: What it answers to each hold in place of its runs, if any.
        unanswered_fraction: Which fraction of its orders get no answer; half of
            them are carried out later.
    """

    def __init__(self, ip: str, port: int, control: str, number: int) -> None:
        self.id = f"i-{number}"
        self.ip = ip
        self.port = port
        self.control = control
        self.state = "ready"
        self.delay_s = 0.05
        self.failing = False
        self.odd_answer: bytes | None = None
        self.unanswered_fraction = 0.0
        self.random = random.Random(number)
        self.starts: list[tuple[str, int]] = []
        self.runs: list[Run] = []
        self.acknowledged: list[str] = []
        self._silent_until = 0.0
        self._down_until = 0.0
        self._forget(int(time.time() * 1000))

    def _forget(self, born_ms: int) -> None:
        self._born = born_ms
        self._fence = 0
        self._running: dict[str, tuple[int, float]] = {}
        self._last_runs: dict[str, int] = {}
        self._ended: list[list[t.Any]] = []
        self._number = 0
        self._sequence = 0
        self._deadline_ms = 0
        self._wake = asyncio.Event()

    @property
    def born_ms(self) -> int:
        """When it started, in Unix milliseconds."""
        return self._born

    @property
    def running(self) -> list[str]:
        """The names of the tasks that run."""
        return list(self._running)

    async def serve(self, stack: contextlib.AsyncExitStack) -> None:
        app = web.Application(middlewares=[self._trouble])
        app.router.add_post("/api/run-start", self._start)
        app.router.add_post("/api/run-stop", self._stop)
        app.router.add_post("/api/hold", self._hold)
        runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await runner.setup()
        stack.push_async_callback(runner.cleanup)
        await web.TCPSite(runner, self.ip, self.port).start()
        session = await stack.enter_async_context(aiohttp.ClientSession())
        for work in (self._report(session), self._expire()):
            stack.callback(asyncio.create_task(work).cancel)

    def crash(self, down_s: float) -> None:
        """Ends what runs; it starts again later and knows nothing of before."""
        now = time.monotonic()
        for task, (run, started_at) in self._running.items():
            self.runs.append(Run(task, run, self.id, started_at, now))
        self._down_until = now + down_s
        self._wake.set()
        born_ms = int((time.time() + down_s) * 1000)
        self.id = f"{self.id.partition('+')[0]}+{born_ms}"
        self._forget(born_ms)

    def hang(self, for_s: float) -> None:
        """Answers nothing for a while; its tasks run on under their lease."""
        self._silent_until = time.monotonic() + for_s

    @web.middleware
    async def _trouble(
        self, request: web.Request, handler: t.Any
    ) -> web.StreamResponse:
        try:
            return await self._answer_or_not(request, handler)
        except ConnectionError:
            # The side process has ended meanwhile.
            return web.Response()

    async def _answer_or_not(
        self, request: web.Request, handler: t.Any
    ) -> web.StreamResponse:
        await asyncio.sleep(self._silent_until - time.monotonic())
        expected = request.headers.get("Expected-Instance", self.id)
        if time.monotonic() < self._down_until:
            return _break_off(request)
        if expected != self.id:
            return self._answer(421)
        is_order = request.path != "/api/hold"
        if is_order and self.random.random() < self.unanswered_fraction:
            await request.read()
            if self.random.random() < 0.5:
                await asyncio.sleep(self.random.uniform(*LATE_S))
            if expected == self.id:
                await handler(request)
            return _break_off(request)
        response = await handler(request)
        return response if expected == self.id else _break_off(request)

    def _clock_ms(self) -> int:
        return int(time.monotonic() * 1000)

    def _answer(self, status: int = 200, **fields: t.Any) -> web.Response:
        fields |= {"clock-ms": self._clock_ms(), "born": self._born}
        return web.json_response(fields, status=status)

    async def _report(self, session: aiohttp.ClientSession) -> None:
        while True:
            await asyncio.sleep(self._down_until - time.monotonic())
            self._sequence += 1
            body = HEARTBEAT | {
                "service": SERVICE,
                "address": f"{self.ip}:{self.port}",
                "state": self.state,
                "capacity": {"cpu": CPU, "mem-mb": 4096, "gpu": 0},
                "labels": ["a", "r1"],
                "clock-ms": self._clock_ms(),
                "sequence": self._sequence,
                "born": self._born,
            }
            url = f"http://{self.control}/api/instances/{self.id}/heartbeat"
            with contextlib.suppress(aiohttp.ClientError, OSError):
                async with session.post(url, json=body) as response:
                    if response.status == 200:
                        self.acknowledged.append(body["state"])
            await asyncio.sleep(_HEARTBEAT_S)

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(_EXPIRY_POLL_S)
            if self._clock_ms() > self._deadline_ms:
                for task, (run, _) in list(self._running.items()):
                    self._end(task, run, "lapsed")

    def _extend(self, deadline_ms: int) -> None:
        latest = self._clock_ms() + MAX_HOLD_MS
        self._deadline_ms = max(self._deadline_ms, min(deadline_ms, latest))

    async def _start(self, request: web.Request) -> web.Response:
        body = await request.json()
        if body.get("fencing-token", 0) < self._fence:
            return self._answer(409, reason="fence")
        self._fence = body["fencing-token"]
        if body["deadline-ms"] < self._clock_ms():
            return self._answer(409, reason="late")
        self._extend(body["deadline-ms"])
        task, run = body["task"], body["run"]
        if self._running.get(task, (0, 0))[0] == run:
            return self._answer(200)
        if task in self._running or run <= self._last_runs.get(task, 0):
            return self._answer(409, reason="old")
        self.starts.append((task, run))
        self._running[task] = (run, time.monotonic())
        loop = asyncio.get_running_loop()
        ending = "failed" if self.failing else "done"
        delay_s = _find_work_s(body.get("spec", ""), self.delay_s)
        loop.call_later(delay_s, self._end, task, run, ending)
        return self._answer()

    def _end(self, task: str, run: int, ending: str) -> None:
        if self._running.get(task, (0, 0))[0] != run:
            return
        _, started_at = self._running.pop(task)
        now = time.monotonic()
        self.runs.append(Run(task, run, self.id, started_at, now))
        self._last_runs[task] = run
        self._number += 1
        self._ended.append([self._number, task, run, ending, ""])
        self._wake.set()

    async def _stop(self, request: web.Request) -> web.Response:
        body = await request.json()
        if body.get("fencing-token", 0) < self._fence:
            return self._answer(409, reason="fence")
        task, run = body["task"], body["run"]
        self._last_runs[task] = max(run, self._last_runs.get(task, 0))
        self._end(task, run, "stopped")
        return self._answer()

    async def _hold(self, request: web.Request) -> web.Response:
        body = await request.json()
        if self.odd_answer is not None:
            return web.Response(body=self.odd_answer)
        if body["fencing-token"] < self._fence:
            return self._answer(409, reason="fence")
        self._fence = body["fencing-token"]
        self._extend(body.get("deadline-ms", 0))
        seen = body["last-seen"]
        self._ended = [end for end in self._ended if end[0] > seen]
        if not self._ended and body.get("wait-ms"):
            self._wake.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(
                    self._wake.wait(), body["wait-ms"] / 1000
                )
        running = [[k, run, "", 0, 0] for k, (run, _) in self._running.items()]
        return self._answer(running=running, ended=self._ended)


def create_spec(work_ms: int) -> str:
    """Returns the spec of a task that takes a time of its own."""
    return f"{_WORK_PREFIX}{work_ms}"


def _find_work_s(spec: str, default_s: float) -> float:
    if not spec.startswith(_WORK_PREFIX):
        return default_s
    return int(spec.removeprefix(_WORK_PREFIX)) / 1000


def _break_off(request: web.Request) -> web.Response:
    """Ends a call without an answer."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response()
