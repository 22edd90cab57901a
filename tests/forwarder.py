"""A TCP forwarder between two processes that can drop their traffic."""

from __future__ import annotations

import asyncio
import contextlib
import typing as t


class Forwarder:
    """Forwards bytes until it is set to drop them.

    `blackhole` drops the traffic of the open connections for good while new
    ones work, as when a middlebox has lost their state; `cut` drops that of
    new ones, too. A context manager that closes its sockets.
    """

    def __init__(self, host: str, port: int) -> None:
        self.connections = 0
        self._target = (host, port)
        self._generation = 0
        self._is_cut = False
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()
        self._writers: list[asyncio.StreamWriter] = []

    async def __aenter__(self) -> t.Self:
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        return self

    async def __aexit__(self, *_: object) -> None:
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for writer in self._writers:
            await close_writer(writer)

    @property
    def address(self) -> str:
        """The `tcp://ip:port` to connect to."""
        return f"tcp://127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def blackhole(self) -> None:
        """Drops every byte of the currently open connections."""
        self._generation += 1

    def cut(self) -> None:
        """Drops every byte of every connection, open or new."""
        self._is_cut = True

    def heal(self) -> None:
        """Forwards new connections again; open ones stay dropped."""
        self._generation += 1
        self._is_cut = False

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        self._writers.append(writer)
        try:
            remote = await asyncio.open_connection(*self._target)
        except OSError:
            # The process that it leads to is down.
            writer.close()
            return
        self._writers.append(remote[1])
        generation = self._generation
        for source, sink in ((reader, remote[1]), (remote[0], writer)):
            task = asyncio.create_task(self._pass(source, sink, generation))
            self._tasks.add(task)

    async def _pass(
        self,
        source: asyncio.StreamReader,
        sink: asyncio.StreamWriter,
        generation: int,
    ) -> None:
        while data := await source.read(1 << 16):
            if not self._is_cut and generation == self._generation:
                sink.write(data)
        sink.close()


async def close_writer(writer: asyncio.StreamWriter) -> None:
    """Closes a connection while its loop runs.

    One that is left to the garbage collector raises there, at any moment of a
    later test; in the middle of `ast.parse` Python 3.11.6 then fails with a
    SystemError, since the traceback is formatted with `ast.parse` too.
    """
    writer.close()
    with contextlib.suppress(OSError):
        await writer.wait_closed()
