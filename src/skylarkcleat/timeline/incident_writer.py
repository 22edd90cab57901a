"""The task that owns an incident store and syncs it in batches."""

from __future__ import annotations

import asyncio
import collections.abc
import concurrent.futures
import time
import typing as t

from skylarkcleat.timeline import incident as incident_lib
from skylarkcleat.timeline import incident_store

MAX_WAITING = 8_192


class _Request(t.NamedTuple):
    incidents: tuple[incident_lib.Incident, ...]
    done: asyncio.Future[bool]


class IncidentWriter:
    """Takes incidents from many processes and shares a sync among them.

    A thread of its own does the blocking; the event loop never waits for
    the disk.

    Attributes:
        refused: Incidents that were not taken because too many waited.
        failures: Batches that the disk did not take.
    """

    def __init__(self, store: incident_store.IncidentStore) -> None:
        """Creates a writer; the store is opened and closed by it."""
        self.refused = 0
        self.failures = 0
        self._store = store
        self._waiting: list[_Request] = []
        self._count = 0
        self._wake = asyncio.Event()
        self._stopping = False
        self._task: asyncio.Task[None] | None = None
        self._thread = concurrent.futures.ThreadPoolExecutor(
            max_workers=1, thread_name_prefix="incidents"
        )

    async def __aenter__(self) -> IncidentWriter:
        """Opens the store and starts to write."""
        await self._run(self._store.__enter__)
        self._task = asyncio.create_task(self._write_batches())
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Writes what waits, then closes the store."""
        self._stopping = True
        self._wake.set()
        if self._task:
            await self._task
        await self._run(self._store.__exit__, *exc_info)
        self._thread.shutdown()

    async def keep(
        self, incidents: collections.abc.Iterable[incident_lib.Incident]
    ) -> bool:
        """Returns whether the incidents are on the disk.

        False means that they are not, and that they may be reported again.
        """
        rows = tuple(incidents)
        if self._stopping or self._count + len(rows) > MAX_WAITING:
            self.refused += len(rows)
            return False
        done = asyncio.get_running_loop().create_future()
        self._waiting.append(_Request(rows, done))
        self._count += len(rows)
        self._wake.set()
        return await done

    async def find_job(self, job: str) -> list[incident_lib.Incident]:
        """Returns what is kept of a job, oldest first."""
        return await self._run(self._store.find_job, job)

    async def find_period(
        self, begin_ms: int, end_ms: int
    ) -> list[incident_lib.Incident]:
        """Returns the incidents reported in a period."""
        return await self._run(
            lambda: list(self._store.find_period(begin_ms, end_ms))
        )

    async def _write_batches(self) -> None:
        while not self._stopping or self._waiting:
            await self._wake.wait()
            self._wake.clear()
            batch, self._waiting = self._waiting, []
            self._count = 0
            if batch:
                await self._write(batch)
            if self._stopping:
                self._wake.set()

    async def _write(self, batch: list[_Request]) -> None:
        rows = [row for request in batch for row in request.incidents]
        now_ms = time.time_ns() // 1_000_000
        try:
            await self._run(self._store.append, rows, now_ms)
        except OSError:
            self.failures += 1
            kept = False
        else:
            kept = True
        for request in batch:
            if not request.done.done():
                request.done.set_result(kept)

    async def _run(
        self, call: collections.abc.Callable[..., t.Any], *args: object
    ) -> t.Any:
        loop = asyncio.get_running_loop()
        return await loop.run_in_executor(self._thread, call, *args)
