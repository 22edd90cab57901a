"""Fronts and side processes with a simulated infrastructure."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import pathlib
import signal
import subprocess
import sys
import time
import typing as t

import aiohttp
from aiohttp import web

HOST = "nony.example"
PREFIX = "/lohu/"
SERVICE = "huvo"
START_TIMEOUT_S = 30.0
_POLL_S = 0.05
_HEARTBEAT_S = 0.3
HEARTBEAT = {
    "service": "huvo",
    "address": "10.0.0.9:80",
    "zone": "z",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "capacity": {"cpu": 16000, "mem-mb": 32768, "gpu": 0},
    "labels": ["a", "r1-3"],
    "clock-ms": 482113,
    "sequence": 4,
    "born": 1_700_000_000_000,
}
"""What a runner says of itself."""


class FakeRunner:
    """A runner: starts tasks, holds them under a lease, lists their ends.

    Attributes:
        starts: Each task and run that it began.
        delay_s: How long a task takes.
        odd_answer: What it answers to each hold in place of its runs, if any.
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
        self.starts: list[tuple[str, int]] = []
        self.acknowledged: list[str] = []
        self._born = int(time.time() * 1000)
        self._fence = 0
        self._running: dict[str, tuple[int, float]] = {}
        self._ended: list[list[t.Any]] = []
        self._number = 0
        self._sequence = 0
        self._deadline = 0.0
        self._wake = asyncio.Event()

    @property
    def born_ms(self) -> int:
        """When it started, in Unix milliseconds."""
        return self._born

    async def serve(self, stack: contextlib.AsyncExitStack) -> None:
        app = web.Application()
        app.router.add_post("/api/run-start", self._start)
        app.router.add_post("/api/run-stop", self._stop)
        app.router.add_post("/api/hold", self._hold)
        runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await runner.setup()
        stack.push_async_callback(runner.cleanup)
        await web.TCPSite(runner, self.ip, self.port).start()
        session = await stack.enter_async_context(aiohttp.ClientSession())
        task = asyncio.create_task(self._report(session))
        stack.callback(task.cancel)

    def _clock_ms(self) -> int:
        return int(time.monotonic() * 1000)

    def _answer(self, status: int = 200, **fields: t.Any) -> web.Response:
        fields |= {"clock-ms": self._clock_ms(), "born": self._born}
        return web.json_response(fields, status=status)

    async def _report(self, session: aiohttp.ClientSession) -> None:
        url = f"http://{self.control}/api/instances/{self.id}/heartbeat"
        while True:
            self._sequence += 1
            body = {
                "service": SERVICE,
                "address": f"{self.ip}:{self.port}",
                "zone": "z",
                "state": self.state,
                "capacity": {"cpu": 4000, "mem-mb": 4096, "gpu": 0},
                "labels": ["a", "r1"],
                "clock-ms": self._clock_ms(),
                "sequence": self._sequence,
                "born": self._born,
            }
            with contextlib.suppress(aiohttp.ClientError, OSError):
                async with session.post(url, json=body) as response:
                    if response.status == 200:
                        self.acknowledged.append(self.state)
            await asyncio.sleep(_HEARTBEAT_S)

    async def _start(self, request: web.Request) -> web.Response:
        body = await request.json()
        if body.get("fencing-token", 0) < self._fence:
            return self._answer(409, reason="fence")
        self._fence = body["fencing-token"]
        if body["deadline-ms"] < self._clock_ms():
            return self._answer(409, reason="late")
        task, run = body["task"], body["run"]
        if task in self._running:
            return self._answer(200)
        self.starts.append((task, run))
        self._running[task] = (run, time.monotonic())
        loop = asyncio.get_running_loop()
        ending = "failed" if self.failing else "done"
        loop.call_later(self.delay_s, self._end, task, run, ending)
        return self._answer()

    def _end(self, task: str, run: int, ending: str) -> None:
        if self._running.get(task, (0, 0))[0] != run:
            return
        del self._running[task]
        self._number += 1
        self._ended.append([self._number, task, run, ending, ""])
        self._wake.set()

    async def _stop(self, request: web.Request) -> web.Response:
        body = await request.json()
        self._end(body["task"], body["run"], "stopped")
        return self._answer()

    async def _hold(self, request: web.Request) -> web.Response:
        body = await request.json()
        if self.odd_answer is not None:
            return web.Response(body=self.odd_answer)
        if body["fencing-token"] < self._fence:
            return self._answer(409, reason="fence")
        self._fence = body["fencing-token"]
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


class Process:
    """A front or side process, run as a subprocess."""

    def __init__(
        self, role: str, ip: str, folder: pathlib.Path, settings: str
    ) -> None:
        self.role = role
        self.ip = ip
        self.path = folder / f"{ip}.toml"
        self.path.write_text(settings)
        self.log = folder / f"{ip}.log"
        self._process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        environment = {
            **os.environ,
            "SKYLARKCLEAT_SETTINGS": str(self.path),
            "PYTHONPATH": "src",
        }
        with self.log.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "skylarkcleat.platform", self.role],
                env=environment,
                stdout=log,
                stderr=log,
            )

    @property
    def has_ended(self) -> bool:
        """Whether the process has ended by itself."""
        return self._process.poll() is not None

    def signal(self, number: int) -> None:
        self._process.send_signal(number)

    def wait(self, timeout_s: float = 10.0) -> int:
        return self._process.wait(timeout_s)

    def kill(self) -> None:
        if self._process is not None and self._process.poll() is None:
            self._process.kill()
            self._process.wait()


class Fleet:
    """Three fronts with a disk, one without, and two sides with runners."""

    def __init__(self, folder: pathlib.Path, ip_block: int) -> None:
        self.folder = folder
        self.fronts: list[Process] = []
        self.sides: list[Process] = []
        self.runners: list[FakeRunner] = []
        self._block = ip_block
        self._stack: contextlib.AsyncExitStack
        self._port = 21000

    def front_url(self, number: int, path: str) -> str:
        return f"http://{self.fronts[number].ip}:{self._port + 2}{path}"

    def control_url(self, number: int, path: str) -> str:
        return f"http://{self.fronts[number].ip}:{self._port + 3}{path}"

    def heartbeat_url(self, number: int, runner: str) -> str:
        """The address of a side process for heartbeats of a runner."""
        ip = self.sides[number].ip
        path = f"/api/instances/{runner}/heartbeat"
        return f"http://{ip}:{self._port + 3}{path}"

    def metrics_url(self, process: Process) -> str:
        return f"http://{process.ip}:{self._port + 6}/metrics"

    def ready_url(self, number: int) -> str:
        ip = self.fronts[number].ip
        return f"http://{ip}:{self._port + 4}/api/ready"

    async def open(self, stack: contextlib.AsyncExitStack) -> None:
        self._stack = stack
        for number in range(4):
            front = self._create_front(number, number < 3, bootstrap=True)
            self.fronts.append(front)
            stack.callback(front.kill)
        for number in range(2):
            side = self._create_side(number)
            self.sides.append(side)
            stack.callback(side.kill)
            runner = FakeRunner(
                side.ip, self._port + 5, f"{side.ip}:{self._port + 3}", number
            )
            await runner.serve(stack)
            self.runners.append(runner)
        for process in [*self.fronts, *self.sides]:
            process.start()

    def add_front(self) -> int:
        """Starts a front with an empty disk; returns its number."""
        number = len(self.fronts)
        front = self._create_front(number, has_disk=True, bootstrap=False)
        self.fronts.append(front)
        self._stack.callback(front.kill)
        front.start()
        return number

    def _ip(self, number: int) -> str:
        return f"127.{self._block}.0.{number}"

    def _common(self, ip: str, has_disk: bool, bootstrap: bool) -> str:
        port = self._port
        seeds = json.dumps([f"{self._ip(n)}:{port + 3}" for n in (1, 2, 4)])
        return (
            f'node = "{ip}"\nip = "{ip}"\nzone = "z"\n'
            f"port-range = [{port}, {port + 6}]\nseeds = {seeds}\n"
            f"bootstrap = {str(bootstrap).lower()}\n"
            f"counts-as-loss = {str(has_disk).lower()}\n"
        )

    def _create_front(
        self, number: int, has_disk: bool, bootstrap: bool
    ) -> Process:
        ip = self._ip(number + 1)
        text = self._common(ip, has_disk, bootstrap)
        if has_disk:
            data = self.folder / f"data-{number}"
            text += f'data-dir = "{data}"\n'
        port = self._port
        text += (
            f'[listen]\nfront = "{ip}:{port + 2}"\n'
            f'control = "{ip}:{port + 3}"\nready = "{ip}:{port + 4}"\n'
        )
        return Process("front", ip, self.folder, text)

    def _create_side(self, number: int) -> Process:
        ip = self._ip(number + 11)
        port = self._port
        text = self._common(ip, has_disk=False, bootstrap=True)
        text += (
            f'app = "{ip}:{port + 5}"\nservice = "{SERVICE}"\n'
            f'[listen]\ncontrol = "{ip}:{port + 3}"\n'
        )
        return Process("side", ip, self.folder, text)


class Client:
    """A client and an operator."""

    def __init__(self, fleet: Fleet, session: aiohttp.ClientSession) -> None:
        self.fleet = fleet
        self._session = session

    async def call(
        self, method: str, url: str, body: t.Any = None, host: str = HOST
    ) -> tuple[int, t.Any]:
        data = body if isinstance(body, bytes) else None
        async with self._session.request(
            method,
            url,
            data=data,
            json=None if data is not None or body is None else body,
            headers={"Host": host, "Deadline-Ms": "8000"},
        ) as response:
            text = await response.read()
            try:
                return response.status, json.loads(text)
            except ValueError:
                return response.status, text

    async def submit(
        self,
        front: int,
        job: str,
        tasks: int = 2,
        estimate_ms: int = 50,
        **fields: t.Any,
    ) -> tuple[int, t.Any]:
        step = {
            "task-count": tasks,
            "cpu": 500,
            "estimated-ms": estimate_ms,
        }
        body = {"spec": "s", "steps": [step], "best-effort": True, **fields}
        url = self.fleet.front_url(front, PREFIX + job)
        return await self.call("POST", url, body)

    async def put(self, front: int, version: int, **fields: t.Any):
        """Sends a configuration until it is answered, as operators do."""
        body = create_configuration(version) | fields
        url = self.fleet.control_url(front, "/api/config/put")
        end = time.monotonic() + START_TIMEOUT_S
        while True:
            answer = await self.call("POST", url, body)
            if answer[0] < 500:
                return answer
            assert time.monotonic() < end, "the configuration is not answered"
            await asyncio.sleep(_POLL_S)

    async def configure(self) -> None:
        """Puts a first configuration and waits until jobs are served."""
        await self.put(0, 1)
        await self.wait_served()

    async def wait_ready(self) -> None:
        end = time.monotonic() + START_TIMEOUT_S
        for number in range(len(self.fleet.fronts)):
            while not await self._is_ready(number):
                assert time.monotonic() < end, "the fronts are not ready"
                await asyncio.sleep(_POLL_S)

    async def wait_served(self) -> None:
        """Waits until a job is done, once there is a configuration."""
        end = time.monotonic() + START_TIMEOUT_S
        number = 0
        while True:
            number += 1
            job = f"{0xABC0000 + number:016x}"
            with contextlib.suppress(aiohttp.ClientError):
                status, body = await self.submit(0, job)
                if status == 200 and body == {"state": "completed"}:
                    return
            assert time.monotonic() < end, "no job is served"

    async def _is_ready(self, number: int) -> bool:
        try:
            status, _ = await self.call("GET", self.fleet.ready_url(number))
        except (aiohttp.ClientError, OSError):
            return False
        return status == 200


def create_configuration(version: int) -> dict[str, t.Any]:
    route = {
        "name": "r",
        "host": HOST,
        "path-prefix": PREFIX,
        "type": "unsafe",
        "timeout-ms": 1500,
        "target-latency-ms": 60,
        "priority": 0,
        "service": SERVICE,
        "max-attempts": 2,
        "stretch": 1.6,
    }
    service = {"name": SERVICE, "admission-check": False}
    return {"version": version, "routes": [route], "services": [service]}


@contextlib.asynccontextmanager
async def open_fleet(folder: pathlib.Path, ip_block: int):
    async with contextlib.AsyncExitStack() as stack:
        fleet = Fleet(folder, ip_block)
        await fleet.open(stack)
        session = await stack.enter_async_context(aiohttp.ClientSession())
        client = Client(fleet, session)
        await client.wait_ready()
        yield client


TERM = signal.SIGTERM
