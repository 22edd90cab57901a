"""Keeps a process going when one of its steps raises unexpectedly.

A malformed message or a fault in the code ends that message or that pass of a
loop. It is logged with its traceback, and the counter of its line type counts
it. A loop that fails again and again ends the process after all: its state may
be damaged, and a new process starts with none.
"""

from __future__ import annotations

import asyncio
import collections
import collections.abc
import traceback
import typing as t

import eliot

from skylarkcleat import clock as clock_lib

UNEXPECTED_ERROR = "process:unexpected-error"
"""The type of the log line about an error that nobody foresaw."""

RESTART_PAUSE_S = 0.1
"""How long a loop pauses after such an error."""

MAX_RESTARTS = 30
RESTART_WINDOW_S = 10.0
"""A loop that is restarted more often in this time ends the process."""

MAX_TRACE_CHARS = 2000

_Work = collections.abc.Coroutine[t.Any, t.Any, None]


def log_unexpected(
    step: str, error: BaseException, peer: str = "", errors: int = 1
) -> None:
    """Logs an error that nobody foresaw.

    Args:
        step: What the process was doing.
        error: The error.
        peer: The process whose message it concerns, if any.
        errors: How many there were in this step since its last line.
    """
    trace = "".join(traceback.format_exception(error))
    eliot.log_message(
        UNEXPECTED_ERROR,
        step=step,
        peer=peer,
        error=repr(error),
        errors=errors,
        trace=trace[-MAX_TRACE_CHARS:],
    )


async def keep_running(
    step: str, work: collections.abc.Callable[[], _Work]
) -> None:
    """Runs a loop, and runs it again after an unexpected error.

    Args:
        step: What the loop does, for the log.
        work: Starts the loop.

    Raises:
        Exception: The last of more than `MAX_RESTARTS` errors within
            `RESTART_WINDOW_S`.
    """
    restarts: collections.deque[float] = collections.deque()
    while True:
        try:
            await work()
            return
        except Exception as error:
            log_unexpected(step, error)
            now = clock_lib.read_monotonic()
            restarts.append(now)
            while restarts[0] < now - RESTART_WINDOW_S:
                restarts.popleft()
            if len(restarts) > MAX_RESTARTS:
                raise
        await asyncio.sleep(RESTART_PAUSE_S)


class BackgroundTasks:
    """Tasks that run beside everything else; their errors are logged."""

    def __init__(self, step: str) -> None:
        self._step = step
        self._tasks: set[asyncio.Task[None]] = set()

    def spawn(self, work: _Work) -> None:
        """Starts a task."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._end)

    def cancel(self) -> None:
        """Cancels all tasks."""
        for task in list(self._tasks):
            task.cancel()

    def _end(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log_unexpected(self._step, task.exception())
