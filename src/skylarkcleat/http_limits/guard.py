"""Keeps what all HTTP clients of a process hold within its limits."""

from __future__ import annotations

import abc
import asyncio
import gc
import typing as t

from skylarkcleat import supervision
from skylarkcleat.http_limits import budget as budget_lib
from skylarkcleat.http_limits import closed_log
from skylarkcleat.http_limits import holding as holding_lib
from skylarkcleat.http_limits import limits as limits_lib
from skylarkcleat.http_limits import line_rate
from skylarkcleat.http_limits import reason as reason_lib

SWEEP_INTERVAL_S = 0.5
"""How often timeouts are checked."""

_COLLECTION_DELAY_S = 0.01
"""How long the tasks of closed connections get to end."""


class Connection(abc.ABC):
    """A connection that the guard may close."""

    __slots__ = ()

    @abc.abstractmethod
    def cut(self) -> None:
        """Closes the connection at once, without an answer."""

    @abc.abstractmethod
    def measure_unsent(self, now: float) -> None:
        """Updates how much of a response its client has not read."""


class Guard:
    """Counts what all connections of a process hold, and closes some.

    A context manager: timeouts are checked from its entry to its exit. Without
    that the budgets hold all the same.

    Args:
        limits: What the connections may hold together.
        now: The time of the event loop, in seconds.

    Attributes:
        budget: What they hold.
    """

    def __init__(self, limits: limits_lib.Limits, now: float) -> None:
        self.budget = budget_lib.Budget(limits)
        self._lines = line_rate.LineRate(
            limits_lib.LINES_BURST, limits_lib.LINES_PER_S, now
        )
        self._log = closed_log.ClosedLog()
        self._connections: dict[holding_lib.Holding, Connection] = {}
        self._task: asyncio.Task[None] | None = None
        self._garbage_bytes = 0

    async def __aenter__(self) -> t.Self:
        """Starts to check timeouts."""
        self._task = asyncio.create_task(
            supervision.keep_running("check HTTP clients", self._run)
        )
        return self

    async def __aexit__(self, *_: object) -> None:
        """Ends it; connections stay as they are."""
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)

    def open(
        self, connection: Connection, address: str, now: float
    ) -> holding_lib.Holding:
        """Returns what a new connection holds; may close it or others."""
        holding = self.budget.open(address, now)
        self._connections[holding] = connection
        self._relieve(holding, now)
        return holding

    def forget(self, holding: holding_lib.Holding) -> None:
        """Removes a connection that has ended."""
        self.budget.close(holding)
        self._connections.pop(holding, None)

    def hold(self, holding: holding_lib.Holding, size: int, now: float) -> None:
        """Records that a connection holds more; may close it or others."""
        if holding in self._connections:
            self.budget.hold(holding, size)
            self._relieve(holding, now)

    def release(self, holding: holding_lib.Holding, size: int) -> None:
        """Records that a connection holds less, by a number of bytes."""
        if holding in self._connections:
            self.budget.hold(holding, -size)

    def take_lines(self, lines: int, now: float) -> bool:
        """Returns whether lines of a chunked body may be parsed now."""
        return self._lines.take(lines, now)

    def close(
        self, holding: holding_lib.Holding, reason: reason_lib.Reason
    ) -> None:
        """Closes a connection."""
        connection = self._connections.get(holding)
        if connection is None:
            return
        self.budget.closed += 1
        self._count_garbage(holding.held_bytes)
        self.forget(holding)
        self._log.add(reason, holding.source.address)
        connection.cut()

    def sweep(self, now: float) -> None:
        """Closes what has exceeded a timeout, and logs what was closed."""
        for holding, connection in self._connections.items():
            if holding.unsent_bytes:
                connection.measure_unsent(now)
        for closing in self.budget.list_overdue(now):
            self.close(*closing)
        self._log.write(self.budget.held_bytes, self.budget.connections, now)

    def _count_garbage(self, size: int) -> None:
        """Schedules a collection once much was closed.

        Errors and tasks of a closed connection refer to each other and to what
        it held; few objects are created meanwhile, so that none would be due.
        """
        self._garbage_bytes += size
        if self._garbage_bytes > self.budget.limits.held_bytes / 2:
            self._garbage_bytes = 0
            loop = asyncio.get_running_loop()
            loop.call_later(_COLLECTION_DELAY_S, gc.collect, 1)

    def _relieve(self, holding: holding_lib.Holding, now: float) -> None:
        if self.budget.is_over(holding, now):
            for closing in self.budget.choose(holding, now):
                self.close(*closing)

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        swept_at = loop.time()
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            late_s = loop.time() - swept_at - SWEEP_INTERVAL_S
            swept_at = loop.time()
            # What clients sent while the process stood still is read first.
            if late_s < SWEEP_INTERVAL_S:
                self.sweep(swept_at)


def create_guard(memory_mb: float = 0, max_fds: int = 0) -> Guard:
    """Returns a guard for the running event loop.

    Args:
        memory_mb: The VM's memory in MB; 0 if unknown.
        max_fds: The descriptors that the process may open; 0 if unknown.
    """
    limits = limits_lib.derive_limits(memory_mb, max_fds)
    return Guard(limits, asyncio.get_running_loop().time())
