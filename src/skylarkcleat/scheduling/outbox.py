"""The messages that an owner has to send."""

from __future__ import annotations

import typing as t

from skylarkcleat.wire import session as session_lib


class Outgoing(t.NamedTuple):
    """A message to one incarnation of a process."""

    peer: session_lib.Endpoint
    message: t.Any


class Outbox:
    """Collects messages until their sender takes them."""

    def __init__(self) -> None:
        self._messages: list[Outgoing] = []

    def send(self, peer: session_lib.Endpoint, message: t.Any) -> None:
        """Adds a message."""
        self._messages.append(Outgoing(peer, message))

    def take(self) -> list[Outgoing]:
        """Returns the messages in the order of their sending; empties it."""
        taken, self._messages = self._messages, []
        return taken
