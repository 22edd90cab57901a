"""Which segments of a store give way, by age and size."""

from __future__ import annotations

import collections.abc
import typing as t


class Segment(t.NamedTuple):
    """What is known of one append file without reading it.

    Attributes:
        number: Grows with each file.
        size: In bytes.
        first_ms: The time of the oldest incident, in milliseconds since the
            epoch.
        last_ms: The time of the newest incident, in milliseconds since the
            epoch.
        damaged: Records that could not be read.
    """

    number: int
    size: int
    first_ms: int
    last_ms: int
    damaged: int = 0


def choose_expired(
    segments: collections.abc.Sequence[Segment],
    now_ms: int,
    max_age_ms: int,
    max_bytes: int,
) -> list[Segment]:
    """Returns the segments to delete, never the newest one.

    Args:
        segments: Oldest first.
        now_ms: The wall clock, in milliseconds since the epoch.
        max_age_ms: The age at which an incident may go, in milliseconds.
        max_bytes: The size of all the segments together, in bytes.
    """
    total = sum(segment.size for segment in segments)
    expired = []
    for segment in segments[:-1]:
        old = now_ms - segment.last_ms > max_age_ms
        if not old and total <= max_bytes:
            continue
        expired.append(segment)
        total -= segment.size
    return expired
