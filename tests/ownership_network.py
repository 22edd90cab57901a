"""The virtual network between the processes of an `ownership_world`."""

from __future__ import annotations

import asyncio
import collections
import contextvars
import random
import typing as t

from skylarkcleat.wire import event as event_lib
from skylarkcleat.wire import session as session_lib
from tests import virtual_loop

LOST_AFTER_S = 5.0


class Network:
    """Carries messages between processes, in order for each pair.

    Attributes:
        hubs: The hubs of the processes, by name.
        blocked_until: Until when messages of a pair of processes are held.
        sent: How many messages of each type were sent.
        backlog_s: How late a process handles the messages that arrive there.
    """

    def __init__(self, generator: random.Random) -> None:
        self.hubs: dict[str, Hub] = {}
        self.blocked_until: dict[tuple[str, str], float] = {}
        self.sent: collections.Counter[str] = collections.Counter()
        self.backlog_s: dict[str, float] = {}
        self._random = generator
        self._arrivals: dict[tuple[str, str], float] = {}
        self._handled_at: dict[tuple[str, str], float] = {}
        self._context: contextvars.Context | None = None

    def outlive_senders(self) -> None:
        """Delivers what was sent from now on even if its sender dies."""
        self._context = contextvars.copy_context()

    def block(self, one: str, other: str, until: float) -> None:
        """Blocks messages from one process to another until a time."""
        self.blocked_until[(one, other)] = max(
            self.blocked_until.get((one, other), 0.0), until
        )

    def send(self, hub: Hub, name: str, incarnation: int, message: t.Any):
        """Delivers a message, or reports its loss to the sender later."""
        self.sent[type(message).__name__] += 1
        loop = asyncio.get_running_loop()
        pair = (hub.local.name, name)
        sent_at = max(loop.time(), self._arrivals.get(pair, 0.0) - 0.05)
        at = sent_at + self._random.choice((0.0003, 0.002, 0.002, 0.03))
        unblocked_at = self.blocked_until.get(pair, 0.0)
        if unblocked_at > at:
            if unblocked_at - at > LOST_AFTER_S:
                lost = event_lib.Lost(session_lib.Endpoint(name, 0), "cut")
                loop.call_at(at + LOST_AFTER_S, hub.events.put_nowait, lost)
                return
            at = unblocked_at + self._random.uniform(0.0, 0.2)
        at = max(at, self._arrivals.get(pair, 0.0) + 1e-6)
        self._arrivals[pair] = at
        at = self._find_handled_at(pair, at)
        sender = hub.local
        loop.call_at(
            at,
            self._deliver,
            sender,
            name,
            incarnation,
            message,
            context=self._context,
        )

    def _find_handled_at(self, pair: tuple[str, str], at: float) -> float:
        """Returns when a message is handled that arrives at a time.

        A backlog that ends doesn't change the order of the messages.
        """
        backlog_s = self.backlog_s.get(pair[1], 0.0)
        earliest = self._handled_at.get(pair, 0.0) + 1e-6
        handled_at = self._handled_at[pair] = max(at + backlog_s, earliest)
        return handled_at

    def _deliver(
        self,
        sender: session_lib.Endpoint,
        name: str,
        incarnation: int,
        message: t.Any,
    ) -> None:
        hub = self.hubs.get(name)
        if hub is None or incarnation not in (0, hub.local.incarnation):
            return
        hub.events.put_nowait(event_lib.Received(sender, message))


class Hub:
    """The simulated hub of a process."""

    def __init__(self, network: Network, process: virtual_loop.Process):
        self.local = session_lib.Endpoint(process.name, process.incarnation)
        self.events: asyncio.Queue = asyncio.Queue()
        self.bytes_sent = 0
        self._network = network
        network.hubs[process.name] = self

    def send(self, peer: session_lib.Endpoint, message: t.Any) -> None:
        self._network.send(self, peer.name, peer.incarnation, message)

    def send_any(self, name: str, address: str, message: t.Any) -> None:
        del address
        self._network.send(self, name, 0, message)

    def disconnect(self, name: str) -> None:
        del name

    def disconnect_others(self, name: str) -> None:
        del name
