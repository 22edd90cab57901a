"""Local messages in the mailbox of a role's main task.

The task receives them next to the messages of its peers.
"""

from __future__ import annotations

import asyncio
import typing as t

from skylarkcleat.protocol import subscribing

TICK_S = 0.05


class DirectoryChanged(t.NamedTuple):
    """Reports that the process's copy of the directory changed.

    Attributes:
        changes: The changes, in order.
    """

    changes: tuple[subscribing.Change, ...]


class Tick(t.NamedTuple):
    """Marks that `TICK_S` seconds passed."""


class Wake(t.NamedTuple):
    """Marks that the time was reached that a `Waker` was set to."""


class Waker:
    """Puts a `Wake` into a mailbox at the earliest requested time."""

    def __init__(self, mailbox: asyncio.Queue) -> None:
        """Initializes a waker that is not set.

        Args:
            mailbox: Receives each `Wake`.
        """
        self._mailbox = mailbox
        self._at: float | None = None
        self._handle: asyncio.TimerHandle | None = None

    def set(self, at: float | None, now: float) -> None:
        """Requests a `Wake`; ignored if an earlier one is already set.

        Args:
            at: When, in seconds of the monotonic clock; None for never.
            now: The monotonic clock, in seconds.
        """
        if at is None or (self._at is not None and self._at <= at):
            return
        if self._handle is not None:
            self._handle.cancel()
        self._at = at
        loop = asyncio.get_running_loop()
        self._handle = loop.call_later(max(0.0, at - now), self._wake)

    def _wake(self) -> None:
        self._at = None
        self._handle = None
        self._mailbox.put_nowait(Wake())


class FencedError(Exception):
    """Control has declared this incarnation dead: the process must end."""

    def __init__(self, name: str) -> None:
        super().__init__(
            f"control has declared this incarnation of {name!r} dead; "
            "the process has to start again"
        )


async def send_ticks(mailbox: asyncio.Queue) -> None:
    """Puts a `Tick` into a mailbox every `TICK_S` seconds, forever."""
    while True:
        await asyncio.sleep(TICK_S)
        mailbox.put_nowait(Tick())


async def receive_batch(mailbox: asyncio.Queue) -> list[t.Any]:
    """Waits for a message and returns it with all others in the mailbox."""
    messages = [await mailbox.get()]
    while not mailbox.empty():
        messages.append(mailbox.get_nowait())
    return messages
