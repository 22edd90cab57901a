"""The member: a running process that announced itself to control."""

from __future__ import annotations

import enum
import typing as t


class Role(enum.StrEnum):
    """The role of a member."""

    ENTRY = "entry"
    AGENT = "agent"
    CONTROL = "control"


class MemberState(enum.StrEnum):
    """Whether a member takes new work."""

    UP = "up"
    LEAVING = "leaving"


class Member(t.NamedTuple):
    """One incarnation of a process.

    Attributes:
        name: The process's name in its settings, stable across restarts.
        incarnation: Differs with each start; messages to another incarnation
            of the same name are refused.
        role: What the process does.
        zone: The availability zone from its settings.
        address: The `tcp://ip:port` that other members connect to.
        upstream: The upstream that an agent serves; empty for other roles.
        slots: How many tasks an agent's runner runs concurrently.
        connections: The most connections that an agent opens to its runner.
        state: Whether the member takes new work.
    """

    name: str
    incarnation: int
    role: Role
    zone: str
    address: str
    upstream: str = ""
    slots: int = 0
    connections: int = 0
    state: MemberState = MemberState.UP
