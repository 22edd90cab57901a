"""Measures what HTTP clients cost a process that bounds them.

Run: `python -m benchmarks.bench_limits`. A server runs in a process of its own.
The rows are memory for each idle connection, memory for each byte that is
counted as held, and processor time for each ordinary request with and without
the guard.
"""

from __future__ import annotations

import asyncio
import multiprocessing
import multiprocessing.connection
import pathlib
import resource
import socket
import time
import typing as t

import typer
import uvloop
from aiohttp import web

from skylarkcleat.http_limits import guard as guard_lib
from skylarkcleat.http_limits import limits as limits_lib
from skylarkcleat.http_limits import server as server_lib

HOST = "127.0.0.1"
IDLE_CONNECTIONS = 400
HELD_CONNECTIONS = 100
HELD_BYTES = 200_000
REQUESTS = 3_000
ROUNDS = 3
_SETTLE_S = 1.0
_MICROSECONDS = 1e6
_BODY = b'{"spec":"s","steps":[{"task-count":2}],"best-effort":true}'
_HEAD = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n"


class Usage(t.NamedTuple):
    """What a server uses.

    Attributes:
        memory_bytes: Resident memory.
        cpu_s: Processor time since its start.
        held_bytes: What its guard counts.
    """

    memory_bytes: int
    cpu_s: float
    held_bytes: int


async def _answer(request: web.BaseRequest) -> web.Response:
    await request.read()
    return web.json_response({"state": "completed"})


def _serve(
    pipe: multiprocessing.connection.Connection, is_guarded: bool
) -> None:
    async def run() -> None:
        limits = limits_lib.Limits(1 << 30, 1 << 16)
        loop = asyncio.get_running_loop()
        guard = guard_lib.Guard(limits, loop.time())
        server = web.Server(_answer, access_log=None, handler_cancellation=True)
        if is_guarded:
            body_bytes = limits_lib.JOB_BODY_BYTES
            server = server_lib.create_server(guard, body_bytes, _answer)
        runner = web.ServerRunner(server, access_log=None)
        await runner.setup()
        await web.TCPSite(runner, HOST, 0).start()
        pipe.send(runner.addresses[0][1])
        async with guard:
            while await loop.run_in_executor(None, pipe.recv):
                pipe.send(_measure(guard))
        await runner.cleanup()

    uvloop.run(run())


def _measure(guard: guard_lib.Guard) -> Usage:
    used = resource.getrusage(resource.RUSAGE_SELF)
    pages = int(pathlib.Path("/proc/self/statm").read_text().split()[1])
    return Usage(
        pages * resource.getpagesize(),
        used.ru_utime + used.ru_stime,
        guard.budget.held_bytes,
    )


class Server:
    """A server in a process of its own; a context manager."""

    def __init__(self, is_guarded: bool) -> None:
        context = multiprocessing.get_context("spawn")
        self._pipe, other = context.Pipe()
        self._process = context.Process(
            target=_serve, args=(other, is_guarded), daemon=True
        )

    def __enter__(self) -> t.Self:
        """Starts the server."""
        self._process.start()
        self.port = self._pipe.recv()
        return self

    def __exit__(self, *_: object) -> None:
        """Ends the server."""
        self._pipe.send(False)
        self._process.join()

    def measure(self) -> Usage:
        """Returns what the server uses now."""
        self._pipe.send(True)
        return self._pipe.recv()


def _open(port: int, count: int, data: bytes = b"") -> list[socket.socket]:
    clients = [socket.create_connection((HOST, port)) for _ in range(count)]
    for client in clients:
        client.sendall(data)
    time.sleep(_SETTLE_S)
    return clients


def measure_memory(data: bytes, count: int) -> tuple[int, int]:
    """Returns what clients add to memory and to what is counted, in bytes."""
    with Server(is_guarded=True) as server:
        for client in _open(server.port, 10, _HEAD % len(_BODY) + _BODY):
            client.close()
        before = server.measure()
        clients = _open(server.port, count, data)
        after = server.measure()
        for client in clients:
            client.close()
    added = after.memory_bytes - before.memory_bytes
    return added, after.held_bytes - before.held_bytes


def measure_request_us(is_guarded: bool) -> float:
    """Returns the processor time of an ordinary request, in microseconds."""
    request = _HEAD % len(_BODY) + _BODY
    with Server(is_guarded) as server:
        (client,) = _open(server.port, 1)
        before = server.measure()
        for _ in range(REQUESTS):
            client.sendall(request)
            client.recv(4096)
        after = server.measure()
        client.close()
    return (after.cpu_s - before.cpu_s) / REQUESTS * _MICROSECONDS


def main() -> None:
    """Prints the figures."""
    added, _ = measure_memory(b"", IDLE_CONNECTIONS)
    print(f"idle connection: {added / IDLE_CONNECTIONS:.0f} bytes")
    data = _HEAD % (HELD_BYTES + 1) + bytes(HELD_BYTES)
    added, held = measure_memory(data, HELD_CONNECTIONS)
    print(f"held byte: {added / held:.2f} bytes, {held} counted")
    for is_guarded in (False, True):
        best = min(measure_request_us(is_guarded) for _ in range(ROUNDS))
        print(f"request, guarded {is_guarded}: {best:.0f} us")


if __name__ == "__main__":
    typer.run(main)
