"""Makes a replica's writes durable, in batches and on a thread of their own."""

from __future__ import annotations

import asyncio
import concurrent.futures
import typing as t

from skylarkcleat.consensus import event as event_lib
from skylarkcleat.consensus import message as message_lib
from skylarkcleat.consensus import storage as storage_lib


class Writer:
    """Writes batches in order; a context manager that owns the thread.

    Args:
        storage: Where the writes go.
        deliver: Takes each message that waited for a write.
    """

    def __init__(
        self,
        storage: storage_lib.Storage,
        deliver: t.Callable[[message_lib.Envelope], None],
    ) -> None:
        self._storage = storage
        self._deliver = deliver
        self._batches: asyncio.Queue[event_lib.Batch] = asyncio.Queue()
        self._executor = concurrent.futures.ThreadPoolExecutor(1)

    def __enter__(self) -> t.Self:
        return self

    def __exit__(self, *_: object) -> None:
        self._executor.shutdown()

    def add(self, batch: event_lib.Batch) -> None:
        """Queues writes, and the messages to send once they are durable."""
        self._batches.put_nowait(batch)

    async def run(self) -> None:
        """Writes all that has been queued, with one sync for each group."""
        loop = asyncio.get_running_loop()
        while True:
            batches = [await self._batches.get()]
            while not self._batches.empty():
                batches.append(self._batches.get_nowait())
            writes = [write for batch in batches for write in batch.writes]
            if writes:
                await loop.run_in_executor(
                    self._executor, self._storage.save, writes
                )
            for batch in batches:
                for envelope in batch.after_sync:
                    self._deliver(envelope)
