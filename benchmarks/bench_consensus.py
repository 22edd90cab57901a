"""Measures the replicated log, with three replicas in one process.

The replicas use real sockets, and sync to real files.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import pathlib
import random
import socket
import statistics
import tempfile
import time
import typing as t

import rich.console
import rich.table
import typer
import uvloop

from skylarkcleat.consensus import driver as driver_lib
from skylarkcleat.consensus import limits as limits_lib
from skylarkcleat.consensus import log as log_lib
from skylarkcleat.consensus import settings as settings_lib
from skylarkcleat.consensus import state_machine as state_machine_lib

_NAMES = ("a", "b", "c")
_COMMAND_BYTES = 200
_FOLDER = pathlib.Path(tempfile.gettempdir())

app = typer.Typer(add_completion=False)


class _Store(state_machine_lib.StateMachine):
    """Keeps the last 1,000 commands."""

    def __init__(self) -> None:
        self.commands: dict[int, bytes] = {}

    def apply(self, index: int, command: bytes) -> bytes:
        self.commands[index % 1000] = command
        return b""

    def capture(self) -> bytes:
        return b"".join(self.commands.values())

    def restore(self, snapshot: bytes) -> None:
        self.commands = {
            place: snapshot[place * _COMMAND_BYTES :][:_COMMAND_BYTES]
            for place in range(len(snapshot) // _COMMAND_BYTES)
        }


class _Replicas:
    """Three replicas whose data folders are in one parent folder."""

    def __init__(
        self, folder: pathlib.Path, sync_s: float, limits: limits_lib.Limits
    ) -> None:
        self._folder = folder
        self._sync_s = sync_s
        self._limits = limits
        self.logs: dict[str, driver_lib.LogDriver] = {}
        self._addresses = {}
        for name in _NAMES:
            with socket.socket() as probe:
                probe.bind(("127.0.0.1", 0))
                port = probe.getsockname()[1]
            self._addresses[name] = f"tcp://127.0.0.1:{port}"

    async def __aenter__(self) -> _Replicas:
        for name in _NAMES:
            await self.start(name)
        await self.find_leader()
        return self

    async def __aexit__(self, *exception: object) -> None:
        for name in list(self.logs):
            await self.logs.pop(name).__aexit__(*exception)

    async def start(self, name: str) -> driver_lib.LogDriver:
        """Starts one replica."""
        settings = settings_lib.Settings(
            name=name,
            folder=self._folder / name,
            bind=self._addresses[name],
            peers={n: a for n, a in self._addresses.items() if n != name},
            founding=True,
            propose_timeout_s=30,
            limits=self._limits,
        )
        log = driver_lib.create_replicated_log(
            settings, _Store(), random.Random()
        )
        await log.__aenter__()
        if self._sync_s:
            _slow_down(log, self._sync_s)
        self.logs[name] = log
        return log

    async def crash(self, name: str) -> None:
        """Stops one replica without a leadership transfer."""
        log = self.logs.pop(name)
        log._transfer_leadership = _do_nothing
        await log.__aexit__(None, None, None)

    async def find_leader(self) -> driver_lib.LogDriver:
        """Waits for a leader that commits a command, and returns it."""
        while True:
            for name, log in self.logs.items():
                if log.leader == name:
                    answer = await log.propose(b"x" * _COMMAND_BYTES)
                    if isinstance(answer, log_lib.Applied):
                        return log
            await asyncio.sleep(0.002)


async def _do_nothing() -> None:
    return


def _slow_down(log: driver_lib.LogDriver, seconds: float) -> None:
    save = log._storage.save

    def save_slowly(writes: t.Sequence[t.Any]) -> None:
        save(writes)
        time.sleep(seconds)

    log._storage.save = save_slowly


@contextlib.contextmanager
def _make_folder(parent: pathlib.Path) -> t.Iterator[pathlib.Path]:
    with tempfile.TemporaryDirectory(dir=parent) as name:
        yield pathlib.Path(name)


async def _load(
    log: driver_lib.LogDriver, waiting: int, count: int
) -> list[float]:
    """Proposes `count` commands, `waiting` at a time; returns latencies."""
    latencies: list[float] = []

    async def propose() -> None:
        while len(latencies) + waiting <= count:
            start = time.perf_counter()
            answer = await log.propose(b"x" * _COMMAND_BYTES)
            if not isinstance(answer, log_lib.Applied):
                raise TypeError(f"not applied: {answer}")
            latencies.append(time.perf_counter() - start)

    await asyncio.gather(*(propose() for _ in range(waiting)))
    return latencies


def _print(title: str, rows: list[tuple[object, ...]], *names: str) -> None:
    table = rich.table.Table(title=title)
    for name in names:
        table.add_column(name, justify="right")
    for row in rows:
        table.add_row(*map(str, row))
    rich.console.Console(width=100).print(table)


def _find_percentile(values: list[float], share: float) -> float:
    return sorted(values)[min(int(len(values) * share), len(values) - 1)]


def _time_sync(folder: pathlib.Path) -> float:
    times = []
    with (folder / "probe").open("wb") as file:
        for _ in range(200):
            start = time.perf_counter()
            file.write(b"x" * 4096)
            file.flush()
            os.fsync(file.fileno())
            times.append(time.perf_counter() - start)
    return statistics.median(times)


async def _measure_commits(folder: pathlib.Path, sync_s: float) -> None:
    rows = []
    limits = limits_lib.Limits()
    async with _Replicas(folder, sync_s, limits) as replicas:
        for waiting, count in ((1, 500), (16, 5_000), (256, 40_000)):
            leader = await replicas.find_leader()
            logs = replicas.logs.values()
            before = [log.counts for log in logs]
            cpu = time.process_time()
            start = time.perf_counter()
            latencies = await _load(leader, waiting, count)
            elapsed = time.perf_counter() - start
            cpu = time.process_time() - cpu
            after = [log.counts for log in logs]
            done = len(latencies)
            pairs = list(zip(before, after, strict=True))
            sent = sum(a.sent_bytes - b.sent_bytes for b, a in pairs)
            syncs = sum(a.syncs - b.syncs for b, a in pairs)
            rows.append(
                (
                    waiting,
                    f"{done / elapsed:,.0f}",
                    f"{_find_percentile(latencies, 0.5) * 1e3:.2f}",
                    f"{_find_percentile(latencies, 0.99) * 1e3:.2f}",
                    f"{cpu / done * 1e6:.0f}",
                    f"{sent / done:.0f}",
                    f"{syncs / done:.3f}",
                )
            )
    _print(
        f"commits of {_COMMAND_BYTES} B, all three replicas in one process",
        rows,
        "waiting",
        "commits/s",
        "p50 ms",
        "p99 ms",
        "CPU us each",
        "sent B each",
        "syncs each",
    )


async def _measure_reads(folder: pathlib.Path) -> None:
    rows = []
    async with _Replicas(folder, 0, limits_lib.Limits()) as replicas:
        leader = await replicas.find_leader()
        for log in replicas.logs.values():
            latencies = []
            for _ in range(500):
                start = time.perf_counter()
                answer = await log.confirm()
                if not isinstance(answer, log_lib.Freshness):
                    raise TypeError(f"not confirmed: {answer}")
                latencies.append(time.perf_counter() - start)
            rows.append(
                (
                    "leader" if log is leader else "follower",
                    f"{_find_percentile(latencies, 0.5) * 1e3:.2f}",
                    f"{_find_percentile(latencies, 0.99) * 1e3:.2f}",
                )
            )
    _print("confirmed reads, one at a time", rows, "at", "p50 ms", "p99 ms")


async def _measure_idle(folder: pathlib.Path) -> None:
    async with _Replicas(folder, 0, limits_lib.Limits()) as replicas:
        await replicas.find_leader()
        logs = replicas.logs.values()
        before = sum(log.counts.sent_bytes for log in logs)
        cpu, start = time.process_time(), time.perf_counter()
        await asyncio.sleep(5)
        elapsed = time.perf_counter() - start
        cpu = time.process_time() - cpu
        sent = sum(log.counts.sent_bytes for log in logs) - before
    share = cpu / elapsed / len(_NAMES) * 100
    rate = sent / elapsed / len(_NAMES)
    row = (f"{share:.2f}", f"{rate:,.0f}")
    _print("an idle replica", [row], "% of a core", "sent B/s")


async def _measure_failover(folder: pathlib.Path, rounds: int) -> None:
    crashes, stops = [], []
    limits = limits_lib.Limits()
    async with _Replicas(folder, 0, limits) as replicas:
        for number in range(2 * rounds):
            leader = await replicas.find_leader()
            await asyncio.sleep(0.5)
            name = leader.leader
            start = time.perf_counter()
            if number % 2:
                await replicas.crash(name)
            else:
                await replicas.logs.pop(name).__aexit__(None, None, None)
            await replicas.find_leader()
            times = crashes if number % 2 else stops
            times.append(time.perf_counter() - start)
            await replicas.start(name)
    rows = [
        (
            kind,
            rounds,
            f"{statistics.median(times) * 1e3:.0f}",
            f"{max(times) * 1e3:.0f}",
        )
        for kind, times in (("crash", crashes), ("planned stop", stops))
    ]
    _print(
        "from the leader's end to the next commit",
        rows,
        "end",
        "rounds",
        "p50 ms",
        "max ms",
    )


async def _catch_up(
    folder: pathlib.Path, length: int, limits: limits_lib.Limits, empty: bool
) -> float:
    async with _Replicas(folder, 0, limits) as replicas:
        leader = await replicas.find_leader()
        name = next(n for n in _NAMES if n != leader.leader)
        await replicas.crash(name)
        await _load(leader, 256, length + 256)
        if empty:
            for path in (folder / name).iterdir():
                path.unlink()
        start = time.perf_counter()
        log = await replicas.start(name)
        while True:
            level = log.status.commit_index >= leader.status.commit_index
            if level and log.status.is_repaired:
                return time.perf_counter() - start
            await asyncio.sleep(0.002)


async def _measure_catch_up(folder: pathlib.Path) -> None:
    rows = []
    kept = limits_lib.Limits(
        snapshot_entries=10_000_000, snapshot_bytes=1 << 30
    )
    for length in (1_000, 10_000, 50_000, 200_000):
        times = [
            await _catch_up(folder / f"{length}-{n}", length, limits, empty)
            for n, (limits, empty) in enumerate(
                [
                    (kept, False),
                    (limits_lib.Limits(), False),
                    (limits_lib.Limits(), True),
                ]
            )
        ]
        rows.append((f"{length:,}", *(f"{x * 1e3:.0f}" for x in times)))
    _print(
        "catch-up of a restarted replica, ms",
        rows,
        "entries behind",
        "by log",
        "by snapshot",
        "empty disk until it votes",
    )


_TEMPORARY = pathlib.Path(tempfile.gettempdir())


@app.command()
def measure(
    folder: pathlib.Path = _FOLDER,
    sync_ms: float = 0.0,
    rounds: int = 15,
) -> None:
    """Prints commit rate and latency, failover time and catch-up time.

    Args:
        folder: The parent of the data folders; it should be on a real disk.
        sync_ms: The time added to each sync, in milliseconds.
        rounds: The number of leaders that crash, and that are stopped.
    """
    with _make_folder(folder) as parent:
        print(f"median sync of 4 KiB: {_time_sync(parent) * 1e3:.2f} ms")
        uvloop.run(_measure_commits(parent / "commits", sync_ms / 1e3))
        if not sync_ms:
            uvloop.run(_measure_reads(parent / "reads"))
            uvloop.run(_measure_idle(parent / "idle"))
            uvloop.run(_measure_failover(parent / "failover", rounds))
            uvloop.run(_measure_catch_up(parent / "catch-up"))


if __name__ == "__main__":
    app()
