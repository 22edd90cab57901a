"""What the tasks of a driver tell one another."""

from __future__ import annotations

import asyncio
import typing as t

from skylarkcleat.consensus import log as log_lib
from skylarkcleat.consensus import message as message_lib
from skylarkcleat.consensus import proposal as proposal_lib
from skylarkcleat.consensus import write as write_lib


class Command(t.NamedTuple):
    """A proposal on its way to the replica."""

    command: bytes
    future: asyncio.Future[log_lib.Applied | log_lib.NotLeader]


class Change(t.NamedTuple):
    """A membership change on its way to the replica."""

    start: t.Callable[[float], proposal_lib.ProposalResult]
    future: asyncio.Future[log_lib.Applied | log_lib.NotLeader]


class Read(t.NamedTuple):
    """A read on its way to the replica."""

    future: asyncio.Future[log_lib.Freshness | log_lib.NotLeader]


class Tick(t.NamedTuple):
    """Lets time pass."""


class Resign(t.NamedTuple):
    """Asks the replica to hand its leadership over, if there is an heir."""

    future: asyncio.Future[bool]


class Batch(t.NamedTuple):
    """Writes, and the messages that wait for them."""

    writes: tuple[write_lib.Write, ...]
    after_sync: tuple[message_lib.Envelope, ...]


Event = message_lib.Envelope | Command | Change | Read | Tick | Resign
