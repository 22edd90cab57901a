"""The events that a hub puts into its mailbox."""

from __future__ import annotations

import typing as t

from skylarkcleat.wire import session as session_lib


class Received(t.NamedTuple):
    """A message from a peer, delivered once and in order."""

    peer: session_lib.Endpoint
    message: t.Any


class Lost(t.NamedTuple):
    """A session ended: messages queued for the peer may not have arrived.

    Attributes:
        peer: The peer that is unreachable.
        detail: The reason, for a log line.
    """

    peer: session_lib.Endpoint
    detail: str


Event = Received | Lost
