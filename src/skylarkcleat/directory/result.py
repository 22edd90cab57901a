"""The results of commands, and their encoding."""

from __future__ import annotations

import typing as t

from skylarkcleat.model import profile as profile_lib
from skylarkcleat.protocol import tagged

VERSION = 1


class Accepted(t.NamedTuple):
    """The command took effect, or there was nothing to change.

    Attributes:
        revision: The directory's revision after it.
        profile: The profile with its new version, if one was applied.
    """

    revision: int
    profile: profile_lib.Profile | None = None


class Conflict(t.NamedTuple):
    """The profile has a different version than the operator expected.

    Attributes:
        version: The current version; 0 if there is no such profile.
        current: The profile that won; None if there is none.
        operator: Who made the winning change; empty if there is none.
        at_ms: When it was made.
        reason: Why it was made.
    """

    version: int
    current: profile_lib.Profile | None
    operator: str
    at_ms: int
    reason: str


class Unknown(t.NamedTuple):
    """There is no such profile or member."""

    subject: str


class KeyReused(t.NamedTuple):
    """The idempotency key was already used for another change."""

    key: str


Result = Accepted | Conflict | Unknown | KeyReused

_CODEC = tagged.TaggedCodec(
    "directory result",
    VERSION,
    {1: Accepted, 2: Conflict, 3: Unknown, 4: KeyReused},
)


def encode(result: Result) -> bytes:
    """Returns the encoded form of a result, as the proposer receives it."""
    return _CODEC.encode(result)


def decode(frame: bytes) -> Result:
    """Returns the result that `encode` encoded."""
    return _CODEC.decode(frame)
