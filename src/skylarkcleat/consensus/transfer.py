"""How a replica that stops hands the leadership over to another one."""

from __future__ import annotations

import asyncio
import collections.abc
import contextlib

from skylarkcleat import clock as clock_lib

TIMEOUT_S = 1.0
"""A stopping leader waits no longer than this for another one to be elected."""

REPEATED_TIMEOUT_S = 0.2
"""The same for one that leads again at its very end, since others stop, too."""

RETRY_S = 0.2
"""After this time without another leader the next voter is asked; the first
one may be gone."""

_POLL_S = 0.02

AskSuccessor = collections.abc.Callable[[], collections.abc.Awaitable[bool]]
"""Asks another voter to lead; returns whether there is one."""


class LeadershipTransfer:
    """Waits until another replica leads, if this one does.

    Args:
        name: The name of this replica.
        read_leader: Returns the name of the leader; empty if none is known.
        ask_successor: Asks another voter to lead.
    """

    def __init__(
        self,
        name: str,
        read_leader: collections.abc.Callable[[], str],
        ask_successor: AskSuccessor,
    ) -> None:
        self._name = name
        self._read_leader = read_leader
        self._ask_successor = ask_successor
        self._timeout_s = TIMEOUT_S

    async def run(self) -> None:
        """Asks one voter after the other, for `TIMEOUT_S` at most.

        Any further call takes no longer than `REPEATED_TIMEOUT_S`.
        """
        timeout_s, self._timeout_s = self._timeout_s, REPEATED_TIMEOUT_S
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                if not await self._ask_successor():
                    return
                while not await self._has_other_leader():
                    await self._ask_successor()

    async def _has_other_leader(self) -> bool:
        """Waits for another leader until it is time to ask again."""
        end = clock_lib.read_monotonic() + RETRY_S
        while self._read_leader() in ("", self._name):
            if clock_lib.read_monotonic() >= end:
                return False
            await asyncio.sleep(_POLL_S)
        return True
