"""A set of background tasks that are bound to an `async with` block."""

from __future__ import annotations

import asyncio
import types
import typing as t

# How long to wait for cancelled tasks before they are cancelled again.
_CANCEL_AGAIN_S = 0.1


class TaskSet:
    """Runs tasks until the end of an `async with` block.

    A task that fails cancels the task that entered the block, and the block
    then raises the failure itself.
    """

    def __init__(self):
        self._tasks: list[asyncio.Task[None]] = []
        self._failure: BaseException | None = None
        self._is_closing = False

    def start(self, body: t.Coroutine[t.Any, t.Any, None]) -> None:
        """Starts a task within the block."""
        task = asyncio.get_running_loop().create_task(body)
        task.add_done_callback(self._record_end)
        self._tasks.append(task)

    async def __aenter__(self) -> TaskSet:
        self._owner = t.cast("asyncio.Task[t.Any]", asyncio.current_task())
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        self._is_closing = True
        await _cancel(self._tasks)
        if self._failure is not None:
            self._owner.uncancel()
            raise self._failure

    def _record_end(self, task: asyncio.Task[None]) -> None:
        if self._is_closing or task.cancelled():
            return
        self._failure = task.exception()
        self._owner.cancel()


async def _cancel(tasks: t.Iterable[asyncio.Task[None]]) -> None:
    """Cancels tasks until all have ended.

    `asyncio.wait_for` of Python 3.11 drops a cancellation that arrives together
    with the result, so one cancellation may not be enough.
    """
    pending = {task for task in tasks if not task.done()}
    while pending:
        for task in pending:
            task.cancel()
        _, pending = await asyncio.wait(pending, timeout=_CANCEL_AGAIN_S)
