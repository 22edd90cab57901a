"""The connections to a runner, and which of its lives answers on each.

A call names the runner by its id, which may outlive a restart. A connection
ends with the life that accepted it. An order that holds for one life alone goes
out over a connection on which that life has answered, and isn't sent if this
connection is gone.
"""

from __future__ import annotations

import asyncio
import collections.abc
import contextlib

from skylarkcleat.platform import runner_client

MAX_CHANNELS = 6
"""How many calls of one runner may be under way at the same time."""


class Channel:
    """One connection at a time to the runner, for one call at a time.

    Args:
        client: Makes the calls.

    Attributes:
        client: The same.
    """

    def __init__(self, client: runner_client.RunnerClient) -> None:
        self.client = client
        self._answered: tuple[int, int] | None = None

    def reaches(self, born_ms: int) -> bool:
        """Returns whether a life has answered on the present connection."""
        return self._answered == (self.client.connection, born_ms)

    def record_gone(self) -> None:
        """Records that the present connection is gone."""
        self._answered = None

    def record_answer(self, born_ms: int) -> None:
        """Records which life has just answered, by its start time."""
        self._answered = (self.client.connection, born_ms)


class Channels:
    """Lends the channels to one runner.

    Args:
        clients: One for each channel; the caller closes them.
    """

    def __init__(
        self, clients: collections.abc.Iterable[runner_client.RunnerClient]
    ) -> None:
        self._idle = [Channel(client) for client in clients]
        self._available = asyncio.Semaphore(len(self._idle))

    @contextlib.asynccontextmanager
    async def lend(
        self, timeout_s: float | None = None
    ) -> collections.abc.AsyncIterator[Channel]:
        """Lends an idle channel, the one that was used last.

        Args:
            timeout_s: How long to wait for one, in seconds.

        Raises:
            TimeoutError: None was idle in this time.
        """
        async with asyncio.timeout(timeout_s):
            await self._available.acquire()
        channel = self._idle.pop()
        try:
            yield channel
        finally:
            self._idle.append(channel)
            self._available.release()


async def open_channels(
    stack: contextlib.AsyncExitStack, address: str
) -> Channels:
    """Returns channels to a runner's address; the stack closes them."""
    clients = [
        await stack.enter_async_context(runner_client.RunnerClient(address))
        for _ in range(MAX_CHANNELS)
    ]
    return Channels(clients)
