"""Runs services until a signal asks for a graceful stop."""

from __future__ import annotations

import abc
import asyncio
import contextlib
import typing as t

import aiomisc
import uvloop

SHUTDOWN_TIMEOUT_S = 150.0
_FAILED = 1


class RoleService(aiomisc.Service, abc.ABC):
    """One role of the system, as a service with one owning task.

    Attributes:
        failure: What ended the role other than a stop; None while it runs.
    """

    def __init__(self, **parameters: t.Any) -> None:
        super().__init__(**parameters)
        self.failure: BaseException | None = None
        self._ready = asyncio.Event()
        self._stopping = asyncio.Event()
        self._task: asyncio.Task | None = None

    @abc.abstractmethod
    async def open(self, stack: contextlib.AsyncExitStack) -> None:
        """Opens the role's sockets and starts its tasks on a stack."""

    async def drain(self) -> None:
        """Takes no new work and waits for what has started."""

    async def start(self) -> None:
        """Returns once the role is open; raises what prevents it."""
        self._task = asyncio.create_task(self._run())
        self._task.add_done_callback(self._end)
        ready = asyncio.create_task(self._ready.wait())
        await asyncio.wait(
            [ready, self._task], return_when=asyncio.FIRST_COMPLETED
        )
        ready.cancel()
        if self._task.done():
            self._task.result()

    async def stop(self, exception: Exception | None = None) -> None:
        """Drains the role, then closes its sockets."""
        del exception
        self._stopping.set()
        await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        async with contextlib.AsyncExitStack() as stack:
            await self.open(stack)
            self._ready.set()
            await self._stopping.wait()
            await self.drain()

    def _end(self, task: asyncio.Task) -> None:
        if task.cancelled() or task.exception() is None:
            return
        self.failure = task.exception()
        if self._ready.is_set():
            message = f"{type(self).__name__} failed"
            self.loop.call_exception_handler(
                {"message": message, "exception": self.failure}
            )
            self.loop.stop()


async def run_in(
    stack: contextlib.AsyncExitStack, work: t.Coroutine[t.Any, t.Any, None]
) -> None:
    """Runs a task until a stack closes; its failure ends the stack's owner.

    Args:
        stack: Cancels the task.
        work: What the task runs.
    """
    owner = asyncio.current_task()
    task = asyncio.create_task(work)
    failures: list[BaseException] = []

    def note_end(ended: asyncio.Task) -> None:
        if not ended.cancelled() and ended.exception() is not None:
            failures.append(ended.exception())
            owner.cancel()

    async def close() -> None:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        if failures:
            raise failures[0]

    task.add_done_callback(note_end)
    stack.push_async_callback(close)


def run_services(*services: aiomisc.Service) -> None:
    """Runs services in this process until SIGTERM or SIGINT.

    Args:
        *services: Started in order.

    Raises:
        SystemExit: A service failed.
    """
    with aiomisc.entrypoint(
        *services,
        loop_factory=uvloop.new_event_loop,
        log_config=False,
        shutdown_timeout=SHUTDOWN_TIMEOUT_S,
    ) as loop:
        loop.run_forever()
    roles = [each for each in services if isinstance(each, RoleService)]
    if any(role.failure is not None for role in roles):
        raise SystemExit(_FAILED)
