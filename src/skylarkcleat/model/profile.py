"""The profile: the scheduling policy of one class of work."""

from __future__ import annotations

import typing as t

MIN_URGENCY = 0
MAX_URGENCY = 9
DEFAULT_WEIGHT = 10
DEFAULT_DEADLINE_MS = 30_000
DEFAULT_MAX_ATTEMPTS = 3


class Profile(t.NamedTuple):
    """One version of a named profile.

    Attributes:
        name: The name that services submit work under.
        version: Starts at 1 and is incremented with each accepted change.
        upstreams: Names of the upstreams that the work may use.
        urgency: From `MIN_URGENCY` to `MAX_URGENCY`, which is most urgent.
        idempotent: Whether a single request may start again after a failure.
        weight: The share of the slots that the profile is guaranteed while
            others compete, relative to the other profiles' weights.
        deadline_ms: The deadline of work submitted without one, in
            milliseconds.
        max_attempts: The most attempts that one task gets.
        team: The team that owns the profile.
    """

    name: str
    version: int
    upstreams: tuple[str, ...]
    urgency: int = 5
    idempotent: bool = False
    weight: int = DEFAULT_WEIGHT
    deadline_ms: int = DEFAULT_DEADLINE_MS
    max_attempts: int = DEFAULT_MAX_ATTEMPTS
    team: str = "default"
