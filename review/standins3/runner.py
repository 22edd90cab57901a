"""A runner as the users' pages describe it, for the cases of this review.

It starts whatever it is told to start (`admission-check` is false), keeps a
lease on its own clock, and writes down what it was told and what it ran.
"""

from __future__ import annotations

import asyncio
import contextlib
import time
import typing as t

import aiohttp
from aiohttp import web

HEARTBEAT_S = 1.5
ACK_TIMEOUT_S = 1.0
MAX_HOLD_MS = 1000
LEASE_POLL_S = 0.01
ENDS_AT_ONCE = 500
HANG_S = 5.0
WORK_PREFIX = "work-ms "


class Run(t.NamedTuple):
    """A run of a task that is under way.

    Attributes:
        number: The number of the run.
        begun_at: When it began, in seconds.
        spec: What it runs.
    """

    number: int
    begun_at: float
    spec: str


class Runner:
    """One runner beside a side process.

    Args:
        name: Its id.
        ip: Its IP number, which is that of its machine.
        port: The port on which its side process calls it.
        control: The address that takes its heartbeats.
        service: The service that it belongs to.
        cpu: Its capacity, in thousandths of a core.
        record: Takes a line about each thing that happens here.
        kind: The label of its kind.

    Attributes:
        starts: When it started which task, and the number of the run.
        ends: When which run ended, and how.
        done: The tasks that ended as done, and what they ran.
        running: What runs, by task.
        kind: The label of its kind.
        clock_rate: The speed of its clock; 0.98 is allowed.
    """

    def __init__(
        self,
        name: str,
        ip: str,
        port: int,
        control: str,
        service: str,
        cpu: int,
        record: t.Callable[[str], None],
        kind: str = "a",
    ) -> None:
        self.name = name
        self.ip = ip
        self.kind = kind
        self.clock_rate = 1.0
        self.starts: list[tuple[float, str, int]] = []
        self.ends: list[tuple[float, str, int, str]] = []
        self.done: list[tuple[str, str]] = []
        self.running: dict[str, Run] = {}
        self._port = port
        self._control = control
        self._service = service
        self._cpu = cpu
        self._record = record
        self._connections: dict[asyncio.Transport, int] = {}
        self._begin_life()

    def _begin_life(self) -> None:
        """Begins to serve; what was there before is not known any more."""
        self._born_ms = int(time.time() * 1000)
        self._serves_since = time.monotonic()
        self._reports_since = self._serves_since
        self._token = 0
        self._deadline_ms = 0
        self._highest_runs: dict[str, int] = {}
        self._listed: list[list[t.Any]] = []
        self._ended = 0
        self._sequence = 0
        self._wake = asyncio.Event()

    async def crash(self, down_s: float, report_after_s: float) -> None:
        """Crashes, and starts again under its id.

        Meanwhile it is dark: nothing that arrives is answered or has an effect.
        Connections from before are reset when they are used again.

        Args:
            down_s: How long it is dark, in seconds.
            report_after_s: How long after that its first report goes out.
        """
        now = time.monotonic()
        self._record(f"{self.name} crashes")
        for task, run in self.running.items():
            self.ends.append((now, task, run.number, "lost"))
        self.running.clear()
        self._serves_since = self._reports_since = float("inf")
        await asyncio.sleep(down_s)
        self._begin_life()
        self._reports_since += report_after_s
        self._record(f"{self.name} serves again")

    async def serve(self) -> web.AppRunner:
        """Begins to take calls, to send heartbeats and to watch the lease."""
        app = web.Application(middlewares=[self._pass_life])
        app.router.add_post("/api/run-start", self._start)
        app.router.add_post("/api/run-stop", self._stop)
        app.router.add_post("/api/hold", self._hold)
        server = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await server.setup()
        await web.TCPSite(server, self.ip, self._port).start()
        return server

    async def report(self) -> None:
        """Sends heartbeats until it is cancelled."""
        url = f"http://{self._control}/api/instances/{self.name}/heartbeat"
        timeout = aiohttp.ClientTimeout(total=ACK_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                is_acknowledged = False
                if time.monotonic() < self._reports_since:
                    await asyncio.sleep(LEASE_POLL_S)
                    continue
                try:
                    body = self._describe()
                    async with session.post(url, json=body) as response:
                        is_acknowledged = response.status == 200
                except (aiohttp.ClientError, OSError, TimeoutError):
                    pass
                await asyncio.sleep(HEARTBEAT_S if is_acknowledged else 0.2)

    async def watch_lease(self) -> None:
        """Ends all that runs when the lease expires."""
        while True:
            await asyncio.sleep(LEASE_POLL_S)
            if self.running and self._clock_ms() > self._deadline_ms:
                for task, run in list(self.running.items()):
                    self._end(task, run.number, "lapsed")

    @web.middleware
    async def _pass_life(
        self, request: web.Request, handler: t.Any
    ) -> web.StreamResponse:
        """Answers a call only if one life gets it and answers it."""
        life = self._born_ms
        known = self._connections.setdefault(request.transport, life)
        if time.monotonic() < self._serves_since:
            return await self._hang(request)
        if known != life:
            return self._break_off(request)
        response = await handler(request)
        if life != self._born_ms or time.monotonic() < self._serves_since:
            return await self._hang(request)
        return response

    async def _hang(self, request: web.Request) -> web.Response:
        await asyncio.sleep(HANG_S)
        return self._break_off(request)

    def _break_off(self, request: web.Request) -> web.Response:
        """Resets a connection."""
        if request.transport is not None:
            request.transport.abort()
        return web.Response()

    def _describe(self) -> dict[str, t.Any]:
        self._sequence += 1
        return {
            "service": self._service,
            "address": f"{self.ip}:{self._port}",
            "zone": "waycross",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold-remaining-ms": 0,
            "capacity": {"cpu": self._cpu, "mem-mb": 262144, "gpu": 0},
            "labels": [self.kind, "r1-1"],
            "clock-ms": self._clock_ms(),
            "sequence": self._sequence,
            "born": self._born_ms,
        }

    def _clock_ms(self) -> int:
        if self._serves_since == float("inf"):
            return 0
        passed_s = time.monotonic() - self._serves_since
        return int(passed_s * 1000 * self.clock_rate)

    def _answer(self, status: int = 200, **fields: t.Any) -> web.Response:
        fields |= {"clock-ms": self._clock_ms(), "born": self._born_ms}
        return web.json_response(fields, status=status)

    def _refuse(self, reason: str) -> web.Response:
        return self._answer(409, reason=reason)

    def _is_other(self, request: web.Request) -> bool:
        expected = request.headers.get("Expected-Instance", self.name)
        return expected != self.name

    def _is_fenced(self, body: dict[str, t.Any]) -> bool:
        token = body.get("fencing-token", 0)
        if token < self._token:
            return True
        self._token = token
        return False

    def _extend(self, deadline_ms: int) -> None:
        latest = self._clock_ms() + MAX_HOLD_MS
        self._deadline_ms = max(self._deadline_ms, min(deadline_ms, latest))

    async def _start(self, request: web.Request) -> web.Response:
        body = await request.json()
        if self._is_other(request):
            return self._answer(421)
        if self._is_fenced(body):
            return self._refuse("fence")
        if body["deadline-ms"] < self._clock_ms():
            return self._refuse("late")
        self._extend(body["deadline-ms"])
        task, number = body["task"], body["run"]
        known = self.running.get(task)
        if known is not None and known.number == number:
            return self._answer()
        if known is not None or number <= self._highest_runs.get(task, 0):
            return self._refuse("old")
        now = time.monotonic()
        self.running[task] = Run(number, now, body["spec"])
        self.starts.append((now, task, number))
        self._record(f"{self.name} starts {task} run {number}")
        work_s = _find_work_s(body["spec"])
        loop = asyncio.get_running_loop()
        loop.call_later(work_s, self._end, task, number, "done")
        return self._answer()

    async def _stop(self, request: web.Request) -> web.Response:
        body = await request.json()
        if self._is_other(request):
            return self._answer(421)
        if self._is_fenced(body):
            return self._refuse("fence")
        task, number = body["task"], body["run"]
        highest = self._highest_runs.get(task, 0)
        self._highest_runs[task] = max(highest, number)
        self._end(task, number, "stopped")
        return self._answer()

    async def _hold(self, request: web.Request) -> web.Response:
        body = await request.json()
        if self._is_other(request):
            return self._answer(421)
        if self._is_fenced(body):
            return self._refuse("fence")
        self._extend(body.get("deadline-ms", 0))
        seen = body.get("last-seen", 0)
        self._listed = [end for end in self._listed if end[0] > seen]
        if not self._listed and body.get("wait-ms"):
            self._wake.clear()
            wait_s = min(body["wait-ms"], 2000) / 1000
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._wake.wait(), wait_s)
        running = [
            [task, run.number, "", 0, 0] for task, run in self.running.items()
        ]
        ends = self._listed[:ENDS_AT_ONCE]
        return self._answer(running=running, ended=ends)

    def _end(self, task: str, number: int, how: str) -> None:
        run = self.running.get(task)
        if run is None or run.number != number:
            return
        del self.running[task]
        highest = self._highest_runs.get(task, 0)
        self._highest_runs[task] = max(highest, number)
        self._ended += 1
        self._listed.append([self._ended, task, number, how, ""])
        self.ends.append((time.monotonic(), task, number, how))
        if how == "done":
            self.done.append((task, run.spec))
        self._record(f"{self.name} ends {task} run {number}: {how}")
        self._wake.set()


def _find_work_s(spec: str) -> float:
    if not spec.startswith(WORK_PREFIX):
        return 0.05
    return int(spec.removeprefix(WORK_PREFIX).split()[0]) / 1000
