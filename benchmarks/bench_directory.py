"""Measures the directory's costs and the time until a change is in force.

One process is the control replica, with its log on disk; another one holds
the subscribers. Run it with `python -m benchmarks.bench_directory`, or with
`memory` or `sockets` for one part.
"""

from __future__ import annotations

import asyncio
import gc
import json
import pathlib
import random
import statistics
import sys
import tempfile
import time
import tracemalloc
import typing as t

import uvloop

from skylarkcleat import clock as clock_lib
from skylarkcleat.consensus import driver
from skylarkcleat.consensus import settings as settings_lib
from skylarkcleat.directory import command as command_lib
from skylarkcleat.directory import directory as directory_lib
from skylarkcleat.directory import options as options_lib
from skylarkcleat.directory import publisher as publisher_lib
from skylarkcleat.directory import result as result_lib
from skylarkcleat.directory import server as server_lib
from skylarkcleat.directory import shard_assignment
from skylarkcleat.directory import subscription as subscription_lib
from skylarkcleat.directory import view as view_lib
from skylarkcleat.model import member as member_lib
from skylarkcleat.model import profile as profile_lib
from skylarkcleat.protocol import subscribing

MEMBER_COUNTS = (1_000, 4_000, 13_000)
SUBSCRIBER_COUNTS = (10, 50, 100, 200)
WINDOW_S = 8.0
CHANGES_PER_S = 20
CHANGES = 100
ZONES = 20
# Ethernet, IP and TCP with timestamps, and ZeroMQ's frame header.
SEGMENT_BYTES = 14 + 20 + 32 + 2
# A poll, its answer and the acknowledgement of the answer.
SEGMENTS_PER_POLL = 3
TARGET_SHARDS = 4_096


class Figures(t.TypedDict):
    """What the subscribers' process measured in one window."""

    cpu_s: float
    frames: int
    payload_bytes: int
    arrivals: dict[str, list[float]]


def make_member(number: int) -> member_lib.Member:
    """Returns an agent of a large site."""
    return member_lib.Member(
        f"agent-{number:05}",
        1_764_800_000_000 + number,
        member_lib.Role.AGENT,
        f"zone-{number % ZONES}",
        f"tcp://10.{number >> 8 & 255}.{number & 255}.7:7411",
        f"upstream-{number % 50}",
        8,
        64,
    )


def measure_memory() -> None:
    """Prints sizes and times against the number of members."""
    print("members  snapshot_B  capture_ms  restore_ms  view_B/member")
    for count in MEMBER_COUNTS:
        directory = directory_lib.Directory()
        members = tuple(make_member(number) for number in range(count))
        command = command_lib.UpdateMembers(0, members)
        directory.apply(1, command_lib.encode(command))
        started = time.perf_counter()
        snapshot = directory.capture()
        captured = time.perf_counter()
        directory_lib.Directory().restore(snapshot)
        restored = time.perf_counter()
        print(
            f"{count:7}  {len(snapshot):10}  "
            f"{(captured - started) * 1e3:10.1f}  "
            f"{(restored - captured) * 1e3:10.1f}  "
            f"{measure_view(directory) / count:13.0f}"
        )
    measure_assignment()


def measure_view(directory: directory_lib.Directory) -> int:
    """Returns the memory of a subscriber's copy of a directory, in bytes."""
    changes = tuple(directory.view.list_changes())
    size = publisher_lib.CHANGES_PER_MESSAGE
    frames = [
        subscribing.encode(
            subscribing.SnapshotChunk(1, 2, 0, 1, changes[start : start + size])
        )
        for start in range(0, len(changes), size)
    ]
    gc.collect()
    tracemalloc.start()
    view = view_lib.View()
    for frame in frames:
        for change in subscribing.decode(frame).changes:
            view.apply(change)
    del change
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size


def measure_assignment() -> None:
    """Prints the time of one round of the shard assignment."""
    members = [make_member(number) for number in range(MEMBER_COUNTS[-1])]
    directory = directory_lib.Directory(shard_count=TARGET_SHARDS)
    table = list(directory.view.shards.values())
    rounds = []
    while True:
        started = time.perf_counter()
        changed = shard_assignment.assign_shards(members, table, 0)
        rounds.append(time.perf_counter() - started)
        if not changed:
            break
        for shard in changed:
            table[shard.number] = shard
    print(
        f"assignment of {TARGET_SHARDS} shards to {len(members)} agents: "
        f"{len(rounds)} rounds, longest {max(rounds) * 1e3:.0f} ms, "
        f"idle round {rounds[-1] * 1e3:.0f} ms"
    )


async def run_subscribers(address: str, count: int) -> None:
    """Runs subscribers and prints their figures, one window a line."""
    frames = payload_bytes = 0
    arrivals: dict[str, list[float]] = {}

    def record(changes: t.Sequence[subscribing.Change]) -> None:
        now = clock_lib.read_monotonic()
        for change in changes:
            arrivals.setdefault(str(change.revision), []).append(now)

    def count_frame(frame: bytes) -> None:
        nonlocal frames, payload_bytes
        frames += 1
        payload_bytes += len(frame)

    count_frames(count_frame)
    members = [make_member(number) for number in range(count)]
    async with asyncio.TaskGroup() as group:
        stop = asyncio.Event()
        ready = asyncio.Semaphore(0)
        for member in members:
            group.create_task(
                hold_subscription(address, member, record, ready, stop)
            )
        for _ in members:
            await ready.acquire()
        print("ready", flush=True)
        for _ in range(2):
            arrivals.clear()
            frames = payload_bytes = 0
            cpu_s = time.process_time()
            await asyncio.sleep(WINDOW_S)
            cpu_s = time.process_time() - cpu_s
            figures = Figures(
                cpu_s=cpu_s,
                frames=frames,
                payload_bytes=payload_bytes,
                arrivals=arrivals,
            )
            print(json.dumps(figures), flush=True)
        stop.set()


def count_frames(record: t.Callable[[bytes], None]) -> None:
    """Calls a function with each frame that subscriptions send or receive."""
    encode, decode = subscribing.encode, subscribing.decode

    def encode_and_record(message: subscribing.Message) -> bytes:
        frame = encode(message)
        record(frame)
        return frame

    def decode_and_record(frame: bytes) -> subscribing.Message:
        record(frame)
        return decode(frame)

    subscribing.encode = encode_and_record
    subscribing.decode = decode_and_record


async def hold_subscription(
    address: str,
    member: member_lib.Member,
    record: subscription_lib.Listener,
    ready: asyncio.Semaphore,
    stop: asyncio.Event,
) -> None:
    """Holds one subscription until `stop` is set."""
    await asyncio.sleep(random.random() * subscription_lib.POLL_INTERVAL_S)
    async with subscription_lib.create_subscription(
        [address], member, record
    ) as subscription:
        await subscription.wait_in_force()
        ready.release()
        await stop.wait()


async def measure_sockets() -> None:
    """Prints costs and times against the number of subscribers."""
    print(
        "subscribers  control_%core  subscriber_%core  payload_B/s  wire_B/s  "
        "control_ms_per_change  in_force_ms p50  p99  max"
    )
    for count in SUBSCRIBER_COUNTS:
        with tempfile.TemporaryDirectory() as folder:
            await measure_fleet(count, pathlib.Path(folder))


async def measure_fleet(count: int, folder: pathlib.Path) -> None:
    """Prints one line of figures."""
    directory = directory_lib.Directory()
    settings = settings_lib.Settings("control-1", folder, founding=True)
    options = options_lib.ControlOptions("control-1", "tcp://127.0.0.1:*")
    seed = random.Random(1)
    async with (
        driver.create_replicated_log(settings, directory, seed) as log,
        server_lib.create_control_server(options, log, directory) as server,
    ):
        child = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "benchmarks.bench_directory",
            "subscribers",
            server.address,
            str(count),
            stdout=asyncio.subprocess.PIPE,
            limit=1 << 26,
        )
        await child.stdout.readline()
        idle_cpu_s = time.process_time()
        idle: Figures = json.loads(await child.stdout.readline())
        idle_cpu_s = time.process_time() - idle_cpu_s
        cpu_s = time.process_time()
        accepted = await propose_changes(log)
        cpu_s = time.process_time() - cpu_s
        busy: Figures = json.loads(await child.stdout.readline())
        await child.wait()
    print_line(count, idle_cpu_s, cpu_s, idle, busy, accepted)


async def propose_changes(log: driver.LogDriver) -> dict[str, float]:
    """Changes a profile at an even rate; returns when each was accepted."""
    accepted = {}
    for version in range(CHANGES):
        profile = profile_lib.Profile("orders", 0, ("wicks", "shelves"))
        author = command_lib.Author("ada", "measurement", str(version))
        now_ms = clock_lib.read_wall_ms()
        command = command_lib.ApplyProfile(author, now_ms, version, profile)
        answer = await log.propose(command_lib.encode(command))
        now = clock_lib.read_monotonic()
        result = result_lib.decode(answer.result)
        accepted[str(result.revision)] = now
        await asyncio.sleep(1 / CHANGES_PER_S)
    return accepted


def print_line(
    count: int,
    idle_cpu_s: float,
    cpu_s: float,
    idle: Figures,
    busy: Figures,
    accepted: t.Mapping[str, float],
) -> None:
    """Prints the figures of one fleet."""
    delays = []
    for revision, at in accepted.items():
        times = busy["arrivals"].get(revision, [])
        if len(times) != count:
            print(f"revision {revision}: {len(times)} of {count} arrivals")
            continue
        delays.append((max(times) - at) * 1e3)
    polls = idle["frames"] / 2
    wire = idle["payload_bytes"] + polls * SEGMENTS_PER_POLL * SEGMENT_BYTES
    per_subscriber_s = count * WINDOW_S
    cuts = statistics.quantiles(delays, n=100)
    print(
        f"{count:11}  {idle_cpu_s / WINDOW_S * 100:13.2f}  "
        f"{idle['cpu_s'] / per_subscriber_s * 100:16.3f}  "
        f"{idle['payload_bytes'] / per_subscriber_s:11.0f}  "
        f"{wire / per_subscriber_s:8.0f}  "
        f"{cpu_s / CHANGES * 1e3:20.2f}  "
        f"{cuts[49]:15.2f}  {cuts[98]:5.2f}  {max(delays):5.2f}"
    )


def main() -> None:
    """Runs the part that the command line names, or all."""
    part = sys.argv[1] if len(sys.argv) > 1 else ""
    if part == "subscribers":
        uvloop.run(run_subscribers(sys.argv[2], int(sys.argv[3])))
        return
    if part in ("", "memory"):
        measure_memory()
    if part in ("", "sockets"):
        uvloop.run(measure_sockets())


if __name__ == "__main__":
    main()
