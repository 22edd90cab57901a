"""The clocks of a process."""

from __future__ import annotations

import time

_MS_PER_S = 1000


def read_monotonic() -> float:
    """Returns monotonic seconds, which include time while suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def read_wall_ms() -> int:
    """Returns this machine's wall clock, in milliseconds since the epoch."""
    return int(time.time() * _MS_PER_S)
