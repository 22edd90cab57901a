"""What a connection is doing."""

from __future__ import annotations

import enum


class Phase(enum.Enum):
    """The states of a connection between two requests and within one."""

    IDLE = "idle"
    HEAD = "head"
    BODY = "body"
    OPEN = "open"
    """A complete request waits for its answer."""
    DISCARDING = "discarding"
    """A request was answered before its body ended."""
