"""A runner stand-in, as the users' pages describe a sound one."""

from __future__ import annotations

import asyncio
import contextlib
import time
import typing as t

import aiohttp
from aiohttp import web

CPU = 8000
"""The capacity of a runner, in thousandths of a core."""

MAX_HOLD_MS = 1000
STOP_S = 0.005
"""How long a stop takes; the pages allow 50 ms."""

HEARTBEAT_S = 1.5
WORK = "work-ms "
"""How the spec of a task begins that says how long it works."""


class Run(t.NamedTuple):
    """A run of a task, on the clock of the script.

    Attributes:
        task: The task's name.
        run: The number of the run.
        runner: The runner's id.
        started_at: When it began, in seconds.
        ended_at: When it ended, in seconds; None while it runs.
        how: How it ended; empty while it runs.
        spec: What it was told to run.
    """

    task: str
    run: int
    runner: str
    started_at: float
    ended_at: float | None
    how: str
    spec: str


class Runner:
    """One runner beside a side process.

    Attributes:
        id: Its id.
        control: Where its side process takes its reports, as `ip:port`.
        runs: Every run that it began.
    """

    def __init__(
        self,
        ident: str,
        ip: str,
        port: int,
        control: str,
        service: str,
        labels: tuple[str, ...],
        write: t.Callable[..., None],
    ) -> None:
        self.id = ident
        self.runs: list[Run] = []
        self._ip = ip
        self._port = port
        self.control = control
        self._service = service
        self._labels = labels
        self._write = write
        self._born = int(time.time() * 1000)
        self._fence = 0
        self._running: dict[str, int] = {}
        self._barred: dict[str, int] = {}
        self._ended: list[list[t.Any]] = []
        self._number = 0
        self._sequence = 0
        self._deadline_ms = 0.0
        self._wake = asyncio.Event()

    async def serve(self, stack: contextlib.AsyncExitStack) -> None:
        """Serves until the stack closes."""
        app = web.Application()
        app.router.add_post("/api/run-start", self._start)
        app.router.add_post("/api/run-stop", self._stop)
        app.router.add_post("/api/hold", self._hold)
        runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await runner.setup()
        stack.push_async_callback(runner.cleanup)
        await web.TCPSite(runner, self._ip, self._port).start()
        session = await stack.enter_async_context(aiohttp.ClientSession())
        for work in (self._report(session), self._expire()):
            stack.callback(asyncio.create_task(work).cancel)

    def _clock_ms(self) -> float:
        return time.monotonic() * 1000

    def _answer(self, status: int = 200, **fields: t.Any) -> web.Response:
        fields |= {"clock-ms": int(self._clock_ms()), "born": self._born}
        return web.json_response(fields, status=status)

    def describe(self) -> dict[str, t.Any]:
        """Returns its last report about itself."""
        return {
            "service": self._service,
            "address": f"{self._ip}:{self._port}",
            "zone": "waycross",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold-remaining-ms": 0,
            "capacity": {"cpu": CPU, "mem-mb": 32768, "gpu": 0},
            "labels": list(self._labels),
            "clock-ms": int(self._clock_ms()),
            "sequence": self._sequence,
            "born": self._born,
        }

    async def _report(self, session: aiohttp.ClientSession) -> None:
        url = f"http://{self.control}/api/instances/{self.id}/heartbeat"
        while True:
            self._sequence += 1
            body = self.describe()
            pause_s = HEARTBEAT_S
            try:
                timeout = aiohttp.ClientTimeout(total=1.0)
                async with session.post(
                    url, json=body, timeout=timeout
                ) as response:
                    await response.read()
            except (aiohttp.ClientError, OSError, TimeoutError):
                pause_s = 0.1
            await asyncio.sleep(pause_s)

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(0.005)
            if self._clock_ms() <= self._deadline_ms:
                continue
            for task, run in list(self._running.items()):
                self._end(task, run, "lapsed", self._deadline_ms / 1000)

    def _extend(self, deadline_ms: float) -> None:
        latest = self._clock_ms() + MAX_HOLD_MS
        self._deadline_ms = max(self._deadline_ms, min(deadline_ms, latest))

    def _is_fenced(self, body: dict[str, t.Any]) -> bool:
        token = body.get("fencing-token", 0)
        if token < self._fence:
            return True
        self._fence = token
        return False

    def _is_other(self, request: web.Request) -> bool:
        return request.headers.get("Expected-Instance", self.id) != self.id

    async def _start(self, request: web.Request) -> web.Response:
        body = await request.json()
        if self._is_other(request):
            return self._answer(421)
        if self._is_fenced(body):
            return self._answer(409, reason="fence")
        task, run = body["task"], body["run"]
        if self._running.get(task) == run:
            self._extend(body["deadline-ms"])
            return self._answer()
        if body["deadline-ms"] < self._clock_ms():
            return self._answer(409, reason="late")
        self._extend(body["deadline-ms"])
        if task in self._running or run <= self._barred.get(task, 0):
            return self._answer(409, reason="old")
        spec = body.get("spec", "")
        self._running[task] = run
        now = time.monotonic()
        self.runs.append(Run(task, run, self.id, now, None, "", spec))
        self._write("start", runner=self.id, task=task, run=run)
        work_s = 0.05
        if spec.startswith(WORK):
            work_s = int(spec.removeprefix(WORK)) / 1000
        loop = asyncio.get_running_loop()
        loop.call_later(work_s, self._end, task, run, "done")
        return self._answer()

    def _end(
        self, task: str, run: int, how: str, at: float | None = None
    ) -> None:
        if self._running.get(task) != run:
            return
        del self._running[task]
        self._barred[task] = max(run, self._barred.get(task, 0))
        at = at or time.monotonic()
        for place, each in enumerate(self.runs):
            is_it = (each.task, each.run) == (task, run)
            if is_it and each.ended_at is None:
                self.runs[place] = each._replace(ended_at=at, how=how)
        self._number += 1
        self._ended.append([self._number, task, run, how, ""])
        self._write("end", runner=self.id, task=task, run=run, how=how)
        self._wake.set()

    async def _stop(self, request: web.Request) -> web.Response:
        body = await request.json()
        if self._is_other(request):
            return self._answer(421)
        if self._is_fenced(body):
            return self._answer(409, reason="fence")
        task, run = body["task"], body["run"]
        self._barred[task] = max(run, self._barred.get(task, 0))
        loop = asyncio.get_running_loop()
        loop.call_later(STOP_S, self._end, task, run, "stopped")
        return self._answer()

    async def _hold(self, request: web.Request) -> web.Response:
        body = await request.json()
        if self._is_other(request):
            return self._answer(421)
        if self._is_fenced(body):
            return self._answer(409, reason="fence")
        self._extend(body.get("deadline-ms", 0))
        seen = body.get("last-seen", 0)
        self._ended = [end for end in self._ended if end[0] > seen]
        if not self._ended and body.get("wait-ms"):
            self._wake.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(
                    self._wake.wait(), body["wait-ms"] / 1000
                )
        running = [[task, run, "", 0, 0] for task, run in self._running.items()]
        return self._answer(running=running, ended=self._ended[:500])
