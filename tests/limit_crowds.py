"""Crowds of clients that ignore limits, and what a process holds meanwhile."""

from __future__ import annotations

import asyncio
import contextlib
import gzip
import pathlib
import typing as t

from tests import platform_fleet

PIECE_BYTES = 65_536
LEGAL_BODY_BYTES = 262_144
CONTROL_BODY_BYTES = 4_000_000
SEND_TIMEOUT_S = 8.0
_MB = 1_000_000
_JOB = f"POST {platform_fleet.PREFIX}00000000000abc01 HTTP/1.1\r\n"
_PUT = "POST /api/config/put HTTP/1.1\r\n"
_HOST = f"Host: {platform_fleet.HOST}\r\n"


class Crowd(t.NamedTuple):
    """Like clients that send at once and leave their connections open.

    Attributes:
        count: How many they are.
        data: What each sends; it stops if its connection is closed.
        port: The listening address, `front` or `control`.
        pause_s: The pause of each after a piece of `PIECE_BYTES`.
        reads: Whether the clients read what they are answered.
    """

    count: int
    data: bytes
    port: str = "front"
    pause_s: float = 0.0
    reads: bool = True


def _create_sized(line: str, size: int) -> bytes:
    head = f"{line}{_HOST}Content-Length: {size}\r\n\r\n".encode()
    return head + b" " * (size - 1)


def _create_chunked(line: str, body: bytes) -> bytes:
    return f"{line}{_HOST}Transfer-Encoding: chunked\r\n\r\n".encode() + body


def _create_compressed() -> bytes:
    body = gzip.compress(bytes(200 * _MB), 6)
    size = len(body) + 1
    head = f"Content-Encoding: gzip\r\nContent-Length: {size}\r\n\r\n"
    return f"{_PUT}{_HOST}{head}".encode() + body


_LARGE_CHUNK = f"{CONTROL_BODY_BYTES:x}\r\n".encode() + b" " * (
    CONTROL_BODY_BYTES - 1
)
_GET = f"GET /api/config/get HTTP/1.1\r\n{_HOST}\r\n".encode()
_EXPECT = "Expect: 100-continue\r\n"
_UPGRADE = "Connection: Upgrade\r\nUpgrade: websocket\r\n\r\n"
_ENDLESS_FIELDS = (b"x: " + b"y" * 4000 + b"\r\n") * 2000

CROWDS = {
    "bodies-of-4-mb-short": Crowd(
        100, _create_sized(_PUT, CONTROL_BODY_BYTES), "control"
    ),
    "legal-bodies-short": Crowd(600, _create_sized(_JOB, LEGAL_BODY_BYTES)),
    "bodies-in-pieces-short": Crowd(
        100, _create_sized(_PUT, 2 * _MB), "control", pause_s=0.05
    ),
    "large-chunk-short": Crowd(
        100, _create_chunked(_PUT, _LARGE_CHUNK), "control"
    ),
    "chunks-of-one-byte-short": Crowd(
        60, _create_chunked(_JOB, b"1\r\na\r\n" * LEGAL_BODY_BYTES)
    ),
    "endless-fields": Crowd(60, (_JOB + _HOST).encode() + _ENDLESS_FIELDS),
    "endless-field": Crowd(60, f"{_JOB}{_HOST}x: ".encode() + b"y" * (8 * _MB)),
    "empty-lines": Crowd(60, b"\r\n" * (4 * _MB)),
    "pipelined-unread": Crowd(
        300, f"GET / HTTP/1.1\r\n{_HOST}\r\n".encode() * 20_000, reads=False
    ),
    "chunk-size-overflow": Crowd(
        60, _create_chunked(_JOB, b"f" * 17 + b"\r\n" + b" " * _MB)
    ),
    "endless-chunk-size": Crowd(60, _create_chunked(_JOB, b"0" * (8 * _MB))),
    "endless-trailers": Crowd(
        60, _create_chunked(_JOB, b"1\r\na\r\n0\r\n" + _ENDLESS_FIELDS)
    ),
    "expect-then-silence": Crowd(
        700,
        f"{_JOB}{_HOST}{_EXPECT}Content-Length: 9\r\n\r\n".encode(),
    ),
    "length-and-chunked": Crowd(
        60, _create_chunked(_JOB + "Content-Length: 9\r\n", b" " * _MB)
    ),
    "upgrade": Crowd(
        400, f"{_JOB}{_HOST}{_UPGRADE}".encode() + b"x" * _MB, reads=False
    ),
    "compressed": Crowd(40, _create_compressed(), "control"),
    "slow-readers": Crowd(300, _GET * 4, "control", reads=False),
    "silent": Crowd(700, b""),
}


class Usage(t.NamedTuple):
    """What a process has held.

    Attributes:
        peak_mb: The most memory so far, in MB.
        descriptors: The open descriptors.
    """

    peak_mb: float
    descriptors: int


def read_usage(process: int) -> Usage:
    """Returns what a process has held, by its id."""
    folder = pathlib.Path(f"/proc/{process}")
    status = (folder / "status").read_text()
    peak_kb = int(status.partition("VmHWM:")[2].split()[0])
    return Usage(peak_kb / 1000, len(list((folder / "fd").iterdir())))


@contextlib.asynccontextmanager
async def send_crowd(crowd: Crowd, host: str, port: int):
    """Lets a crowd send what it is let to; its connections stay open."""
    writers: list[asyncio.StreamWriter] = []
    clients = [
        asyncio.create_task(_send(crowd, host, port, writers))
        for _ in range(crowd.count)
    ]
    try:
        await asyncio.wait(clients, timeout=SEND_TIMEOUT_S)
        yield
    finally:
        for client in clients:
            client.cancel()
        await asyncio.gather(*clients, return_exceptions=True)
        for writer in writers:
            writer.transport.abort()


async def _send(
    crowd: Crowd, host: str, port: int, writers: list[asyncio.StreamWriter]
) -> None:
    with contextlib.suppress(OSError):
        _, writer = await asyncio.open_connection(host, port, limit=1024)
        writers.append(writer)
        if not crowd.reads:
            writer.transport.pause_reading()
        view = memoryview(crowd.data)
        for begin in range(0, len(view), PIECE_BYTES):
            writer.write(view[begin : begin + PIECE_BYTES])
            await writer.drain()
            await asyncio.sleep(crowd.pause_s)
