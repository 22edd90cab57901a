"""A simulated network: delayed delivery, with a count by message kind."""

from __future__ import annotations

import collections
import random
import typing as t

from skylarkcleat.emulator import event_queue

MIN_DELAY_S = 0.0005
MAX_DELAY_S = 0.0015


class Network:
    """Delivers messages between entries and agents.

    Attributes:
        sent: How many messages were sent, by kind.
    """

    def __init__(self, events: event_queue.EventQueue, rng: random.Random):
        self.sent: collections.Counter = collections.Counter()
        self._events = events
        self._rng = rng

    def send(self, kind: str, deliver: t.Callable[..., None], *args) -> None:
        """Sends a message.

        Args:
            kind: The kind that it is counted under.
            deliver: Called with the arguments when the message arrives.
            *args: The arguments of `deliver`.
        """
        self.sent[kind] += 1
        delay_s = self._rng.uniform(MIN_DELAY_S, MAX_DELAY_S)
        self._events.schedule(self._events.now + delay_s, deliver, *args)
