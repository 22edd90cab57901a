"""What the path from an entry to a runner adds, through real processes.

Run: `python -m benchmarks.bench_path`. Figures are ratios within one run,
beside the floor: one bare aiohttp hop and one bare pyzmq round trip.
"""

from __future__ import annotations

import asyncio
import os
import pathlib
import statistics
import tempfile
import time
import typing as t

import aiohttp
import typer
import uvloop
import zmq
import zmq.asyncio

from tests import fleet as fleet_lib

PROFILE = "votive-order"
SLEEP_MS = 50
_MS_PER_S = 1000
_MICROSECONDS = 1e6
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


class Latency(t.NamedTuple):
    """Percentiles of a series, in milliseconds."""

    p50: float
    p99: float


def summarize(times_ms: list[float]) -> Latency:
    """Returns the percentiles of a series in milliseconds."""
    cuts = statistics.quantiles(times_ms, n=100)
    return Latency(statistics.median(times_ms), cuts[98])


async def time_posts(
    session: aiohttp.ClientSession, url: str, body: t.Any, count: int
) -> Latency:
    """Returns the latency of posts that follow one another."""
    times_ms = []
    for _ in range(count):
        begin = time.perf_counter()
        async with session.post(url, json=body) as response:
            await response.read()
            response.raise_for_status()
        times_ms.append((time.perf_counter() - begin) * _MS_PER_S)
    return summarize(times_ms)


async def time_round_trips(count: int) -> Latency:
    """Returns the latency of bare pyzmq round trips within one process."""
    context = zmq.asyncio.Context()
    server, client = context.socket(zmq.ROUTER), context.socket(zmq.DEALER)
    port = server.bind_to_random_port("tcp://127.0.0.1")
    client.connect(f"tcp://127.0.0.1:{port}")

    async def echo() -> None:
        while True:
            await server.send_multipart(await server.recv_multipart())

    task = asyncio.create_task(echo())
    times_ms = []
    for _ in range(count):
        begin = time.perf_counter()
        await client.send(b"x")
        await client.recv()
        times_ms.append((time.perf_counter() - begin) * _MS_PER_S)
    task.cancel()
    context.destroy(linger=0)
    return summarize(times_ms)


def read_cpu_s(pid: int) -> float:
    """Returns the processor time that a process has used, in seconds."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")")[1]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / _TICKS_PER_S


async def load_entry(
    session: aiohttp.ClientSession,
    url: str,
    jobs: int,
    tasks: int,
    at_once: int,
) -> tuple[float, int]:
    """Submits jobs, some at once; returns the seconds and the answered."""
    left = iter(range(jobs))
    answered = 0
    body = {"profile": PROFILE, "tasks": [{"echo": 1}] * tasks}

    async def submit() -> None:
        nonlocal answered
        for _ in left:
            async with session.post(url, json=body) as response:
                await response.read()
                answered += response.status == 200

    begin = time.perf_counter()
    await asyncio.gather(*(submit() for _ in range(at_once)))
    return time.perf_counter() - begin, answered


async def measure_latency(fleet: fleet_lib.Fleet, count: int) -> None:
    """Prints the path's latency beside that of its parts."""
    runner = next(iter(fleet.runners.values())) + "/run"
    entry = fleet.http["entry-1"]
    async with aiohttp.ClientSession() as session:
        hop = await time_posts(session, runner, {}, count)
        trip = await time_round_trips(count)
        path = {"profile": PROFILE, "task": {}}
        empty = await time_posts(session, f"{entry}/v1/requests", path, count)
        direct = await time_posts(
            session, runner, {"sleep_ms": SLEEP_MS}, count
        )
        path = {"profile": PROFILE, "task": {"sleep_ms": SLEEP_MS}}
        whole = await time_posts(session, f"{entry}/v1/requests", path, count)
    for name, row in (
        ("bare aiohttp hop", hop),
        ("bare pyzmq round trip", trip),
        ("whole path, empty task", empty),
        (f"runner alone, {SLEEP_MS} ms task", direct),
        (f"whole path, {SLEEP_MS} ms task", whole),
    ):
        print(f"{name:<28} p50 {row.p50:7.2f} ms  p99 {row.p99:7.2f} ms")
    print(
        f"ratio on a {SLEEP_MS} ms task: p50 {whole.p50 / direct.p50:.3f}, "
        f"p99 {whole.p99 / direct.p99:.3f}"
    )


class Spent(t.NamedTuple):
    """Processor time of one job.

    Attributes:
        tasks: How many tasks it had.
        entry_us: At its entry, in microseconds.
        agents_us: At all agents together, in microseconds.
    """

    tasks: int
    entry_us: float
    agents_us: float


async def measure_rate(fleet: fleet_lib.Fleet, tasks: int, jobs: int) -> Spent:
    """Prints the rate of jobs and tasks; returns what a job spends."""
    agents = ("agent-1", "agent-2", "agent-3")
    names = ("entry-1", "control-1", *agents)
    before = {n: read_cpu_s(fleet.processes[n].pid) for n in names}
    url = fleet.http["entry-1"] + "/v1/jobs"
    async with aiohttp.ClientSession() as session:
        elapsed_s, answered = await load_entry(session, url, jobs, tasks, 16)
    spent = {n: read_cpu_s(fleet.processes[n].pid) - before[n] for n in names}
    starts = jobs * tasks
    agents_s = sum(spent[name] for name in agents)
    print(
        f"{tasks:>4} tasks a job: {answered}/{jobs} answered, "
        f"{jobs / elapsed_s:7.1f} jobs/s, {starts / elapsed_s:8.1f} starts/s, "
        f"entry {spent['entry-1'] / starts * _MICROSECONDS:6.0f} us/task "
        f"({spent['entry-1'] / elapsed_s:4.0%} of a core), "
        f"agents {agents_s / starts * _MICROSECONDS:6.0f} us/task, "
        f"control {spent['control-1'] / elapsed_s:4.1%} of a core"
    )
    return Spent(
        tasks,
        spent["entry-1"] / jobs * _MICROSECONDS,
        agents_s / jobs * _MICROSECONDS,
    )


def print_slopes(rows: list[Spent]) -> None:
    """Prints the cost of a job and of each of its tasks, by least squares."""
    tasks = [row.tasks for row in rows]
    for name, costs in (
        ("entry", [row.entry_us for row in rows]),
        ("agents", [row.agents_us for row in rows]),
    ):
        slope, intercept = statistics.linear_regression(tasks, costs)
        print(
            f"slope of {name}: {intercept:.0f} us a job "
            f"and {slope:.0f} us a task"
        )


def read_messages(url: str) -> dict[str, int]:
    """Returns how many messages of each type a process has sent."""
    text = fleet_lib.call("GET", url + "/metrics").body
    counts = {}
    for line in text.splitlines():
        if line.startswith("skylarkcleat_messages_sent_total{"):
            kind, value = line.split('type="')[1].split('"} ')
            counts[kind] = int(float(value))
    return counts


def print_messages(fleet: fleet_lib.Fleet, tasks: int, jobs: int) -> None:
    """Prints the messages that a task takes, by type."""
    urls = [url for name, url in fleet.http.items() if "control" not in name]
    before = [read_messages(url) for url in urls]
    for _ in range(jobs):
        assert fleet.submit([{}] * tasks).status == 200
    total: dict[str, int] = {}
    for url, counts in zip(urls, before, strict=True):
        for kind, count in read_messages(url).items():
            grown = count - counts.get(kind, 0)
            total[kind] = total.get(kind, 0) + grown
    starts = jobs * tasks
    row = ", ".join(
        f"{kind} {count / starts:.2f}"
        for kind, count in sorted(total.items())
        if count
    )
    print(f"messages per task in jobs of {tasks}: {row}")


def main(count: int = 300) -> None:
    """Measures the path through one entry, three agents and one control."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix="skylarkcleat-bench-"))
    with fleet_lib.Fleet(folder) as fleet:
        fleet.wait_ready()
        fleet.wait_agents()
        fleet.apply_profile(PROFILE)
        fleet.wait_profile(PROFILE)
        uvloop.run(measure_latency(fleet, count))
        print_slopes(
            [
                uvloop.run(measure_rate(fleet, tasks, jobs))
                for tasks, jobs in ((1, 1000), (5, 400), (20, 150), (80, 40))
            ]
        )
        for tasks in (1, 5, 20, 80):
            print_messages(fleet, tasks, 20)


if __name__ == "__main__":
    typer.run(main)
