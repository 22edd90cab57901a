"""An event loop under virtual time, with processes that freeze and die.

Each handle belongs to the process in whose context it was made. While that
process is frozen its handles wait; once it is dead they are dropped.
"""

from __future__ import annotations

import asyncio
import collections
import contextvars
import heapq
import typing as t


class Process:
    """Whatever runs in one context of the loop.

    Attributes:
        name: Its name.
        incarnation: Rises with each start.
        frozen_until: Until when it stands still.
        is_dead: Whether it was killed.
        died: Set when it is killed.
    """

    def __init__(self, name: str, incarnation: int) -> None:
        self.name = name
        self.incarnation = incarnation
        self.frozen_until = 0.0
        self.is_dead = False
        self.died = asyncio.Event()
        self.held: collections.deque[asyncio.Handle] = collections.deque()
        self.context = contextvars.copy_context()
        self.context.run(_PROCESS.set, self)

    def spawn(self, work: t.Coroutine[t.Any, t.Any, t.Any]) -> asyncio.Task:
        """Runs a coroutine as a part of this process."""
        loop = asyncio.get_running_loop()
        return loop.create_task(work, context=self.context)

    def kill(self) -> None:
        """Ends it at once."""
        self.is_dead = True
        self.held.clear()
        self.died.set()

    def freeze(self, until: float) -> None:
        """Lets it stand still."""
        self.frozen_until = max(self.frozen_until, until)


_PROCESS: contextvars.ContextVar[Process | None]
_PROCESS = contextvars.ContextVar("process", default=None)


class VirtualLoop(asyncio.BaseEventLoop):
    """Jumps to the next timer when nothing else is to be done."""

    def __init__(self) -> None:
        super().__init__()
        self._tasks: list[asyncio.Task] = []
        self.set_task_factory(self._create_kept)
        self._now = 0.0

    def _create_kept(
        self, loop: t.Any, work: t.Any, **options: t.Any
    ) -> asyncio.Task:
        """Keeps each task, since nothing else holds those of the dead."""
        task = asyncio.Task(work, loop=loop, **options)
        self._tasks.append(task)
        return task

    def time(self) -> float:
        """Returns the virtual time, in seconds."""
        return self._now

    def drop_tasks(self) -> None:
        """Forgets every task; those of dead processes can't be ended."""
        for task in self._tasks:
            task._log_destroy_pending = False
        self._tasks.clear()
        self._ready.clear()
        self._scheduled.clear()

    def _check_closed(self) -> None:
        """Lets tasks that are dropped clean up after the loop is closed."""

    def _process_events(self, event_list: t.Any) -> None:
        del event_list

    def _write_to_self(self) -> None:
        return

    def _run_once(self) -> None:
        if not self._ready and not self._scheduled:
            raise RuntimeError("nothing is left to wait for")
        if not self._ready:
            self._now = max(self._now, self._scheduled[0]._when)
        while self._scheduled and self._scheduled[0]._when <= self._now:
            handle = heapq.heappop(self._scheduled)
            handle._scheduled = False
            self._ready.append(handle)
        for _ in range(len(self._ready)):
            self._run_handle(self._ready.popleft())

    def _run_handle(self, handle: asyncio.Handle) -> None:
        if handle._cancelled:
            return
        process = handle._context.get(_PROCESS)
        if process is not None and process.is_dead:
            return
        if process is not None and process.frozen_until > self._now:
            if not process.held:
                self.call_at(process.frozen_until, self._thaw, process)
            process.held.append(handle)
            return
        handle._run()

    def _thaw(self, process: Process) -> None:
        if process.frozen_until > self._now:
            self.call_at(process.frozen_until, self._thaw, process)
            return
        while process.held:
            self._ready.append(process.held.popleft())


def run(main: t.Coroutine[t.Any, t.Any, t.Any]) -> t.Any:
    """Runs a coroutine under virtual time, then drops every other task."""
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(main)
    finally:
        loop.drop_tasks()
        loop.close()
