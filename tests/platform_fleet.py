"""Fronts and side processes with a simulated infrastructure."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import pathlib
import signal
import subprocess
import sys
import time
import typing as t

import aiohttp

from tests import fake_runner

HOST = "nony.example"
PREFIX = "/lohu/"
START_TIMEOUT_S = 30.0
START_SPREAD_S = 0.3
MAX_FIRST_STARTS = 20
_POLL_S = 0.05
_LOG_POLL_S = 0.005


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
        self.started_at = 0.0
        self._process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        environment = {
            **os.environ,
            "SKYLARKCLEAT_SETTINGS": str(self.path),
            "PYTHONPATH": "src",
        }
        self.started_at = time.monotonic()
        with self.log.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "skylarkcleat.platform", self.role],
                env=environment,
                stdout=log,
                stderr=log,
            )

    @property
    def id(self) -> int:
        """The id of the process."""
        return self._process.pid

    @property
    def has_ended(self) -> bool:
        """Whether the process has ended by itself."""
        return self._process.poll() is not None

    def has_logged(self, kind: str) -> bool:
        """Whether it has written a line of a type."""
        return self.log.exists() and f'"{kind}"' in self.log.read_text()

    async def wait_logged(self, kind: str) -> None:
        """Waits until it has written a line of a type."""
        end = time.monotonic() + START_TIMEOUT_S
        while not self.has_logged(kind):
            assert time.monotonic() < end, f"{self.ip} doesn't log {kind}"
            await asyncio.sleep(_LOG_POLL_S)

    def find_last(self, kind: str, field: str) -> t.Any:
        """Returns a field of its last line of a type; empty if none."""
        text = self.log.read_text() if self.log.exists() else ""
        lines = [each for each in text.splitlines() if f'"{kind}"' in each]
        return json.loads(lines[-1])[field] if lines else ""

    def signal(self, number: int) -> None:
        self._process.send_signal(number)

    def wait(self, timeout_s: float = 10.0) -> int:
        return self._process.wait(timeout_s)

    def kill(self) -> None:
        if self._process is not None and self._process.poll() is None:
            self._process.kill()
            self._process.wait()


class Fleet:
    """Three fronts with a disk, one without, and two sides with runners.

    The settings name zones only if `side_zones` lists those of the sides.

    Args:
        folder: Where settings, logs and disks are.
        ip_block: The second byte of the loopback addresses.
        side_zones: The zones of the side processes.
        limits: Text that ends each process's settings.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        ip_block: int,
        side_zones: t.Sequence[str] = (),
        limits: str = "",
    ) -> None:
        self._side_zones = side_zones
        self.folder = folder
        self._limits = limits
        self.fronts: list[Process] = []
        self.sides: list[Process] = []
        self.runners: list[fake_runner.FakeRunner] = []
        self._block = ip_block
        self._stack: contextlib.AsyncExitStack
        self._port = 21000

    async def measure_start_spread(self) -> float:
        """Returns how far apart the fronts with a disk started, in seconds."""
        fronts = [front for front in self.fronts if self.find_data(front)]
        kind, field = "process:started", "timestamp"
        for front in fronts:
            await front.wait_logged(kind)
        times = [front.find_last(kind, field) for front in fronts]
        return max(times) - min(times)

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
            runner = fake_runner.FakeRunner(
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

    def find_data(self, process: Process) -> pathlib.Path | None:
        """Returns the folder of a front's disk, if it has one."""
        folder = self.folder / f"data-{process.ip}"
        return folder if str(folder) in process.path.read_text() else None

    def forbid_bootstrap(self, process: Process) -> None:
        """Says in a front's settings that the system has started before."""
        text = process.path.read_text()
        process.path.write_text(
            text.replace("bootstrap = true", "bootstrap = false")
        )

    def set_seeds(self, process: Process, fronts: t.Sequence[int]) -> None:
        """Names other fronts as seeds in a process's settings."""
        lines = [
            line if not line.startswith("seeds = ") else self._seeds(fronts)
            for line in process.path.read_text().splitlines()
        ]
        process.path.write_text("\n".join(lines) + "\n")

    def _seeds(self, fronts: t.Sequence[int]) -> str:
        seeds = [f"{self._ip(n + 1)}:{self._port + 3}" for n in fronts]
        return f"seeds = {json.dumps(seeds)}"

    def _ip(self, number: int) -> str:
        return f"127.{self._block}.0.{number}"

    def _common(self, ip: str, has_disk: bool, bootstrap: bool) -> str:
        port = self._port
        return (
            f'node = "{ip}"\nip = "{ip}"\nzone = "z"\n'
            f"port-range = [{port}, {port + 6}]\n"
            f"{self._seeds((0, 1, 3))}\n"
            f"bootstrap = {str(bootstrap).lower()}\n"
            f"counts-as-loss = {str(has_disk).lower()}\n"
        )

    def _create_front(
        self, number: int, has_disk: bool, bootstrap: bool
    ) -> Process:
        ip = self._ip(number + 1)
        text = self._common(ip, has_disk, bootstrap)
        if has_disk:
            data = self.folder / f"data-{ip}"
            text += f'data-dir = "{data}"\n'
        port = self._port
        text += (
            f'[listen]\nfront = "{ip}:{port + 2}"\n'
            f'control = "{ip}:{port + 3}"\nready = "{ip}:{port + 4}"\n'
        )
        if self._side_zones:
            zones = [f'{zone} = "region"\n' for zone in {*self._side_zones}]
            text += "[zones]\n" + "".join(zones)
        return Process("front", ip, self.folder, text + self._limits)

    def _create_side(self, number: int) -> Process:
        ip = self._ip(number + 11)
        port = self._port
        text = self._common(ip, has_disk=False, bootstrap=True)
        if self._side_zones:
            text = text.replace('"z"', f'"{self._side_zones[number]}"')
        text += (
            f'app = "{ip}:{port + 5}"\nservice = "{fake_runner.SERVICE}"\n'
            f'[listen]\ncontrol = "{ip}:{port + 3}"\n'
        )
        return Process("side", ip, self.folder, text + self._limits)


class Client:
    """A client and an operator."""

    def __init__(self, fleet: Fleet, session: aiohttp.ClientSession) -> None:
        self.fleet = fleet
        self._session = session
        self._numbers = itertools.count()

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
        cpu: int = 500,
        **fields: t.Any,
    ) -> tuple[int, t.Any]:
        step = {
            "task-count": tasks,
            "cpu": cpu,
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

    async def order(self, front: int, zone: str, action: str) -> int:
        """Sends an order for a zone until it is answered, as operators do."""
        path = f"/api/evacuations/{zone}/{action}"
        end = time.monotonic() + START_TIMEOUT_S
        while True:
            url = self.fleet.control_url(front, path)
            with contextlib.suppress(aiohttp.ClientError):
                status, _ = await self.call("POST", url)
                if status < 500:
                    return status
            assert time.monotonic() < end, "the order is not answered"
            await asyncio.sleep(_POLL_S)

    async def configure(self) -> None:
        """Puts a first configuration and waits until jobs are served."""
        await self.put(0, 1)
        await self.wait_served()

    async def wait_listening(self, front: int) -> None:
        """Waits until a front that has just begun to start can be called."""
        end = time.monotonic() + START_TIMEOUT_S
        while True:
            with contextlib.suppress(aiohttp.ClientConnectorError):
                await self.read(front)
                return
            assert time.monotonic() < end, "the front can't be called"
            await asyncio.sleep(_POLL_S)

    async def wait_ready(self) -> None:
        end = time.monotonic() + START_TIMEOUT_S
        for number in range(len(self.fleet.fronts)):
            while not await self._is_ready(number):
                assert time.monotonic() < end, "the fronts are not ready"
                await asyncio.sleep(_POLL_S)

    async def read(self, front: int) -> tuple[int, t.Any]:
        """Reads the configuration back, as operators do."""
        url = self.fleet.control_url(front, "/api/config/get")
        return await self.call("GET", url)

    async def wait_served(self, timeout_s: float = START_TIMEOUT_S) -> None:
        """Waits until a job is done, once there is a configuration."""
        end = time.monotonic() + timeout_s
        while True:
            # An owner remembers jobs that have ended, and answers them at once.
            job = f"{0xABC0000 + next(self._numbers):016x}"
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
        "service": fake_runner.SERVICE,
        "max-attempts": 2,
        "stretch": 1.6,
    }
    service = {"name": fake_runner.SERVICE, "admission-check": False}
    return {"version": version, "routes": [route], "services": [service]}


@contextlib.asynccontextmanager
async def open_first_start(folder: pathlib.Path, ip_block: int):
    """Starts a fleet whose fronts with a disk start within `START_SPREAD_S`.

    The platform promises that for the first start. On a busy machine one may
    take seconds longer; then the fleet is stopped and another one is started.
    """
    for attempt in range(MAX_FIRST_STARTS):
        place = folder / str(attempt)
        place.mkdir()
        async with open_fleet(place, ip_block, False) as client:
            if await client.fleet.measure_start_spread() <= START_SPREAD_S:
                yield client
                return
    raise AssertionError("the fronts don't start together")


@contextlib.asynccontextmanager
async def open_fleet(
    folder: pathlib.Path,
    ip_block: int,
    is_awaited: bool = True,
    side_zones: t.Sequence[str] = (),
    limits: str = "",
):
    """Starts a fleet, and waits until its fronts are ready."""
    async with contextlib.AsyncExitStack() as stack:
        fleet = Fleet(folder, ip_block, side_zones, limits)
        await fleet.open(stack)
        session = await stack.enter_async_context(aiohttp.ClientSession())
        client = Client(fleet, session)
        if is_awaited:
            await client.wait_ready()
        yield client


TERM = signal.SIGTERM
