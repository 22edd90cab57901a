"""The events and batches that the tasks of a driver pass to each other."""

from __future__ import annotations

import asyncio
import typing as t

from skylarkcleat.consensus import log as log_lib
from skylarkcleat.consensus import message as message_lib
from skylarkcleat.consensus import proposal as proposal_lib
from skylarkcleat.consensus import write as write_lib


class Command(t.NamedTuple):
    """A proposal that is queued for the replica."""

    command: bytes
    future: asyncio.Future[log_lib.Applied | log_lib.NotLeader]


class Change(t.NamedTuple):
    """A membership change that is queued for the replica."""

    start: t.Callable[[float], proposal_lib.ProposalResult]
    future: asyncio.Future[log_lib.Applied | log_lib.NotLeader]


class Read(t.NamedTuple):
    """A read that is queued for the replica."""

    future: asyncio.Future[log_lib.Freshness | log_lib.NotLeader]


class Tick(t.NamedTuple):
    """Makes the replica check its timeouts."""


class Resign(t.NamedTuple):
    """Makes the replica transfer its leadership, if there is a successor."""

    future: asyncio.Future[bool]


class Batch(t.NamedTuple):
    """Writes, and the messages to send once they are durable."""

    writes: tuple[write_lib.Write, ...]
    after_sync: tuple[message_lib.Envelope, ...]


Event = message_lib.Envelope | Command | Change | Read | Tick | Resign
