"""Job identifiers: version 7 UUIDs, which contain their creation time."""

from __future__ import annotations

import secrets
import typing as t
import uuid

_TIME_SHIFT = 80
_VERSION = 0x7 << 76
_VARIANT = 0x2 << 62
_RAND_A_BITS = 12
_RAND_B_BITS = 62
_UUID_VERSION = 7


class InvalidJobIdError(ValueError):
    """A text that is not a job identifier."""


class JobId(t.NamedTuple):
    """A job's identifier.

    Attributes:
        text: The canonical form, 36 lower-case characters.
        time_ms: When a caller created it, in milliseconds since the epoch.
    """

    text: str
    time_ms: int


def create_job_id(now_ms: int) -> JobId:
    """Returns a new identifier.

    Args:
        now_ms: The wall clock, in milliseconds since the epoch.
    """
    value = now_ms << _TIME_SHIFT | _VERSION | _VARIANT
    value |= secrets.randbits(_RAND_A_BITS) << 64
    value |= secrets.randbits(_RAND_B_BITS)
    return JobId(str(uuid.UUID(int=value)), now_ms)


def parse_job_id(text: str) -> JobId:
    """Returns the identifier that a caller sent.

    Args:
        text: A version 7 UUID in its canonical form, in either case.

    Raises:
        InvalidJobIdError: The text has another form or version.
    """
    try:
        value = uuid.UUID(text)
    except ValueError:
        value = None
    if value is None or str(value) != text.lower():
        raise InvalidJobIdError(
            f"{text[:64]!r} is not a UUID of the form "
            "xxxxxxxx-xxxx-7xxx-xxxx-xxxxxxxxxxxx"
        )
    if value.version != _UUID_VERSION:
        raise InvalidJobIdError(
            f"{text!r} is a version {value.version} UUID; "
            "a job id is a version 7 UUID, which contains its creation time"
        )
    return JobId(str(value), value.int >> _TIME_SHIFT)
