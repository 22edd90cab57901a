"""A small deployment of real processes on loopback addresses.

Three fronts with a disk, three without, and side processes with a stand-in of
a runner each. The processes are started with the commands of the deploy file.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
import typing as t

import aiohttp
from review.standins3 import runner as runner_lib

ROOT = pathlib.Path(__file__).resolve().parents[2]
SERVICE = "huvo11a"
ZONES = ("waycross", "valdosta", "brunswick")
SERVED_TIMEOUT_S = 30.0
BROKEN, HELD, NOT_RUN = 1, 0, 2

_BOUNDS = """
[bounds]
seed-lag-s = 3
reuse-after-s = 2
contact-ms = 3000
ack-ms = 4000
catch-up-s = 4
drain-ms = 2000
grace-s = 6
loss-slack-ms = 200
config-apply-ms = 2000
rollback-slack-ms = 250
max-skew-ms = 5000
recover-s = 12
max-hold-ms = 1000
stop-timeout-ms = 50
gang-timeout-ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
notice-ms = 4500
lease-ms = 3000
retry-ms = 1300
[fault-tolerance]
machines = 1
zones = 0
regions = 0
[zones]
waycross = "ga-south"
valdosta = "ga-south"
brunswick = "ga-south"
"""


class Route(t.NamedTuple):
    """A queue, as clients and the operator name it.

    Attributes:
        name: Its name in the manifest.
        host: Its host.
        prefix: How the paths of its jobs begin.
        priority: Its priority.
    """

    name: str
    host: str
    prefix: str
    priority: int


ROUTES = (
    Route("r-wrr6x73", "nony24.example", "/lohu930/", 0),
    Route("r-d3zji9n", "ficu95.example", "/pufi791/", 1),
    Route("r-73hh2b9", "nony24.example", "/pule252/", 3),
)


class CannotRunError(Exception):
    """The case could not be played to its end."""


class Process:
    """One process of the system.

    Args:
        role: Its role in the deploy file.
        ip: The IP number of its machine.
        command: The role's command.
        folder: Where its settings and its log are.
        settings: The text of its settings.
    """

    def __init__(
        self,
        role: str,
        ip: str,
        command: list[str],
        folder: pathlib.Path,
        settings: str,
    ) -> None:
        self.role = role
        self.ip = ip
        self.log = folder / f"{ip}.log"
        self._settings = folder / f"{ip}.toml"
        self._settings.write_text(settings)
        self._command = command
        self._process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Starts it as the platform does.

        Only its first start is that of the whole system.
        """
        if self._process is not None:
            text = self._settings.read_text()
            text = text.replace("bootstrap = true", "bootstrap = false")
            self._settings.write_text(text)
        kept = ("PATH", "HOME", "LANG")
        environment = {k: v for k, v in os.environ.items() if k in kept}
        environment["SKYLARKCLEAT_SETTINGS"] = str(self._settings)
        environment["PYTHONPATH"] = "target/deps"
        with self.log.open("ab") as log:
            self._process = subprocess.Popen(
                self._command,
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    @property
    def has_ended(self) -> bool:
        """Whether it has ended."""
        return self._process is None or self._process.poll() is not None

    def signal(self, number: int) -> None:
        """Sends it a signal."""
        if not self.has_ended:
            self._process.send_signal(number)

    async def restart(self) -> None:
        """Starts it again once it has ended."""
        while not self.has_ended:
            await asyncio.sleep(0.02)
        self.start()

    def kill(self) -> None:
        """Ends it."""
        if not self.has_ended:
            self._process.kill()
            self._process.wait()

    def list_lines(self, kind: str) -> list[dict[str, t.Any]]:
        """Returns the lines of a type in its log."""
        if not self.log.exists():
            return []
        text = self.log.read_text(errors="replace")
        lines = [each for each in text.splitlines() if f'"{kind}"' in each]
        return [json.loads(line) for line in lines]


class Answer(t.NamedTuple):
    """What a caller has got.

    Attributes:
        status: The HTTP status; 0 if there was no answer.
        body: The body.
        took_s: How long it took, in seconds.
    """

    status: int
    body: t.Any
    took_s: float


class Fleet:
    """The deployment of one case.

    Attributes:
        fronts: The fronts; the first three have a disk.
        sides: The side processes.
        runners: Their runners.
    """

    def __init__(
        self,
        case: pathlib.Path,
        sides: int,
        cpu: int,
        seeds: tuple[int, ...] = (0, 1, 2),
    ) -> None:
        self.fronts: list[Process] = []
        self.sides: list[Process] = []
        self.runners: list[runner_lib.Runner] = []
        self._case = case
        self._side_count = sides
        self._cpu = cpu
        self._seeds = seeds
        self._begun_at = time.monotonic()
        self._record_file: t.TextIO
        self._folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self._block = random.SystemRandom().randint(20, 250)
        self._port = 0
        self._session: aiohttp.ClientSession
        self._manifests = 0

    def record(self, text: str) -> None:
        """Writes a line to the record of the case."""
        if self._record_file.closed:
            return
        at_s = time.monotonic() - self._begun_at
        self._record_file.write(f"{at_s:8.3f} s  {text}\n")
        self._record_file.flush()

    async def open(self, stack: contextlib.AsyncExitStack) -> None:
        """Starts all processes; the stack ends them."""
        self._record_file = stack.enter_context(
            (self._case / "record.txt").open("w")
        )
        stack.callback(shutil.rmtree, self._folder, ignore_errors=True)
        self._port = _find_ports(self._ip(9))
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        for number in range(6):
            self._add_front(deploy, number)
        for number in range(self._side_count):
            self._add_side(deploy, number)
        for runner in self.runners:
            server = await runner.serve()
            stack.push_async_callback(server.cleanup)
            for work in (runner.report(), runner.watch_lease()):
                stack.callback(asyncio.create_task(work).cancel)
        for process in (*self.fronts, *self.sides):
            stack.callback(process.kill)
            process.start()
        self._session = await stack.enter_async_context(
            aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0, force_close=True)
            )
        )

    def _ip(self, number: int) -> str:
        return f"127.{self._block}.0.{number}"

    def _add_front(self, deploy: dict[str, t.Any], number: int) -> None:
        ip = self._ip(11 + number)
        has_disk = number < 3
        text = self._describe(ip, "front", number, has_disk)
        if has_disk:
            text += f'data-dir = "{self._folder / ("data-" + ip)}"\n'
        cores, share, disk = (3, 0.717, 128) if has_disk else (2, 0.537, 0)
        text += (
            f'[listen]\nfront = "{ip}:{self._port + 16}"\n'
            f'control = "{ip}:{self._port + 17}"\n'
            f'ready = "{ip}:{self._port + 18}"\n'
            f"[limits]\ncpu-share = {share}\ncores = {cores}\n"
            f"memory-mb = 300\nmax-fds = 4100\nlink-mbps = 1000.0\n"
            f"disk-mb = {disk}\n{_BOUNDS}"
        )
        command = deploy["roles"]["front"]["run"].split()
        self.fronts.append(Process("front", ip, command, self._folder, text))

    def _add_side(self, deploy: dict[str, t.Any], number: int) -> None:
        ip = self._ip(31 + number)
        text = self._describe(ip, "side", number, False)
        app_port, control_port = self._port + 19, self._port + 17
        text += (
            f'app = "{ip}:{app_port}"\nservice = "{SERVICE}"\n'
            f'[listen]\ncontrol = "{ip}:{control_port}"\n'
            "[limits]\ncpu-share = 0.645\ncores = 1\nmemory-mb = 168\n"
            f"max-fds = 4096\nlink-mbps = 1000.0\n{_BOUNDS}"
        )
        command = deploy["roles"]["side"]["run"].split()
        self.sides.append(Process("side", ip, command, self._folder, text))
        self.runners.append(
            runner_lib.Runner(
                f"i-{number}",
                ip,
                app_port,
                f"{ip}:{control_port}",
                SERVICE,
                self._cpu,
                self.record,
                "b" if number else "a",
            )
        )

    def _describe(self, ip: str, kind: str, number: int, has_disk: bool) -> str:
        zone = ZONES[number % 3]
        seeds = [f"{self._ip(11 + n)}:{self._port + 17}" for n in self._seeds]
        serves = '["front","control"]' if kind == "front" else '["side"]'
        return (
            f'node = "{kind}-{zone}-{number // 3 + 1}"\nrole = "{kind}"\n'
            f'machine-class = "{kind}"\nserves = {serves}\nip = "{ip}"\n'
            f'zone = "{zone}"\nregion = "ga-south"\n'
            f"port-range = [{self._port}, {self._port + 15}]\n"
            f"seeds = {json.dumps(seeds)}\nbootstrap = true\n"
            f"counts-as-loss = {str(has_disk).lower()}\n"
            'discovery = "local"\nentry = "vip"\nheartbeat-ms = 1500\n'
            'contracts = ["base","drain","config","cost","recover","sched",'
            '"advice","upkeep","sharing"]\nconfig_mode = "highest"\n'
            'orders = "call"\n'
        )

    async def call(
        self,
        method: str,
        url: str,
        body: t.Any = None,
        timeout_s: float = 10.0,
        host: str = ROUTES[0].host,
    ) -> Answer:
        """Makes a call; its answer has status 0 if there is none in time."""
        data = body if isinstance(body, bytes) else None
        if data is None and body is not None:
            data = json.dumps(body).encode()
        headers = {
            "Host": host,
            "Content-Type": "application/json",
            "Deadline-Ms": str(round(timeout_s * 1000)),
        }
        begun_at = time.monotonic()
        status, found = 0, b""
        timeout = aiohttp.ClientTimeout(total=timeout_s)
        try:
            async with self._session.request(
                method, url, data=data, headers=headers, timeout=timeout
            ) as response:
                found = await response.read()
                status = response.status
        except (aiohttp.ClientError, OSError, TimeoutError):
            pass
        took_s = time.monotonic() - begun_at
        with contextlib.suppress(ValueError):
            return Answer(status, json.loads(found), took_s)
        return Answer(status, found.decode(errors="replace"), took_s)

    def job_url(
        self, front: Process, job: str, route: Route = ROUTES[0]
    ) -> str:
        """Returns the address of a job at a front."""
        return f"http://{front.ip}:{self._port + 16}{route.prefix}{job}"

    def ready_url(self, front: Process) -> str:
        """Returns the address of a front's health check."""
        return f"http://{front.ip}:{self._port + 18}/api/ready"

    async def submit(
        self,
        front: Process,
        job: str,
        tasks: int,
        work_ms: int,
        timeout_s: float,
        cpu: int = 1000,
        route: Route = ROUTES[0],
        kind: str = "",
    ) -> Answer:
        """Submits a best-effort job of one step."""
        step = {"task-count": tasks, "cpu": cpu, "mem-mb": 64}
        if kind:
            step["requirements"] = kind
        step["estimated-ms"] = work_ms
        body = {
            "spec": f"{runner_lib.WORK_PREFIX}{work_ms}",
            "steps": [step],
            "best-effort": True,
        }
        url = self.job_url(front, job, route)
        answer = await self.call("POST", url, body, timeout_s, route.host)
        self.record(f"{front.ip} answers POST {job}: {_describe(answer)}")
        return answer

    async def cancel(self, front: Process, job: str) -> Answer:
        """Sends a cancel once."""
        url = self.job_url(front, job)
        answer = await self.call("DELETE", url, timeout_s=2.0)
        self.record(f"{front.ip} answers DELETE {job}: {_describe(answer)}")
        return answer

    async def configure(self) -> None:
        """Sends a first manifest and waits until jobs are served."""
        await self.put(ROUTES)
        for front in self.fronts:
            await self.wait_served(front)

    async def put(
        self,
        routes: t.Sequence[Route],
        patience_s: float = SERVED_TIMEOUT_S,
    ) -> None:
        """Sends a manifest, to one front after the other, until its ack."""
        self._manifests += 1
        body = _create_manifest(self._manifests, routes)
        end = time.monotonic() + patience_s
        for front in itertools.cycle(self.fronts):
            url = f"http://{front.ip}:{self._port + 17}/api/config/put"
            answer = await self.call("POST", url, body, timeout_s=1.5)
            self.record(
                f"{front.ip} answers manifest {self._manifests} with "
                f"priorities {[each.priority for each in routes]}: "
                f"{_describe(answer)}"
            )
            if answer.status == 200:
                return
            if time.monotonic() > end or 400 <= answer.status < 500:
                raise CannotRunError("the manifest is not acknowledged")
            await asyncio.sleep(0.2)

    async def wait_served(self, front: Process) -> None:
        """Waits until a front has a job completed."""
        end = time.monotonic() + SERVED_TIMEOUT_S
        while True:
            job = f"{random.getrandbits(64):016x}"
            answer = await self.submit(front, job, 1, 50, 3.0)
            if answer.body == {"state": "completed"}:
                return
            if time.monotonic() > end:
                raise CannotRunError(f"no job is served at {front.ip}")
            await asyncio.sleep(0.2)

    def find_owner(self) -> Process:
        """Returns the front that began to place tasks last."""
        begun = [
            (line["timestamp"], number)
            for number, front in enumerate(self.fronts)
            for line in front.list_lines("owner:begun")
        ]
        if not begun:
            raise CannotRunError("no front places tasks")
        return self.fronts[max(begun)[1]]

    def list_starts(self, job: str) -> list[tuple[float, str, int]]:
        """Returns the starts of a job's tasks at all runners, by time."""
        return sorted(
            start
            for runner in self.runners
            for start in runner.starts
            if start[1].startswith(f"{job}.")
        )

    def list_running(self, job: str) -> list[str]:
        """Returns the tasks of a job that run now."""
        return [
            task
            for runner in self.runners
            for task in runner.running
            if task.startswith(f"{job}.")
        ]


def create_job_id() -> str:
    """Returns a job id as callers choose them."""
    return f"{random.getrandbits(64):016x}"


def has_trouble() -> bool:
    """Whether the case is played with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(
    case: pathlib.Path,
    act: t.Callable[[Fleet], t.Awaitable[str]],
    sides: int = 3,
    cpu: int = 64_000,
    seeds: tuple[int, ...] = (0, 1, 2),
    is_configured: bool = True,
) -> int:
    """Plays a case; returns its exit status.

    Args:
        case: The folder of the case, which gets the record.
        act: Plays it; returns how the rule was broken, empty if it held.
        sides: The number of side processes.
        cpu: The capacity of each runner, in thousandths of a core.
        seeds: The numbers of the fronts that the settings name as seeds.
        is_configured: Whether jobs are served before the case begins.
    """

    async def play() -> int:
        async with contextlib.AsyncExitStack() as stack:
            fleet = Fleet(case, sides, cpu, seeds)
            await fleet.open(stack)
            try:
                if is_configured:
                    await fleet.configure()
                found = await act(fleet)
            except CannotRunError as error:
                fleet.record(f"the case can't run: {error}")
                return NOT_RUN
            fleet.record(f"BROKEN: {found}" if found else "the rule held")
            print(found or "the rule held")
            return BROKEN if found else HELD

    return asyncio.run(play())


FREEZE = signal.SIGSTOP
THAW = signal.SIGCONT
TERM = signal.SIGTERM
KILL = signal.SIGKILL


def _describe(answer: Answer) -> str:
    if not answer.status:
        return f"none within {answer.took_s:.2f} s"
    return f"{answer.status} {answer.body} after {answer.took_s:.3f} s"


def _find_ports(ip: str) -> int:
    """Returns the first of 20 ports that are free on a loopback address."""
    generator = random.SystemRandom()
    for _ in range(100):
        first = generator.randrange(20_000, 30_000, 20)
        try:
            with contextlib.ExitStack() as stack:
                for port in range(first, first + 20):
                    found = stack.enter_context(socket.socket())
                    found.bind((ip, port))
        except OSError:
            continue
        return first
    raise CannotRunError("no free ports")


def _create_manifest(
    version: int, queues: t.Sequence[Route]
) -> dict[str, t.Any]:
    routes = [
        {
            "name": route.name,
            "host": route.host,
            "path-prefix": route.prefix,
            "type": "unsafe",
            "timeout-ms": 1500,
            "target-latency-ms": 60,
            "priority": route.priority,
            "service": SERVICE,
            "max-attempts": 4,
            "stretch": 1.6,
        }
        for route in queues
    ]
    service = {
        "name": SERVICE,
        "health-path": "/health",
        "max-connections": 64,
        "protocol": "h1",
        "tls": False,
        "admission-check": False,
        "standby": False,
    }
    limits = {
        "max-header-bytes": 16384,
        "max-body-bytes": 262144,
        "header-timeout-ms": 3000,
        "idle-timeout-ms": 15000,
    }
    return {
        "version": version,
        "routes": routes,
        "services": [service],
        "limits": limits,
    }
