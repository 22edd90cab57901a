"""The limits of an entry's HTTP clients."""

from __future__ import annotations

import asyncio

from skylarkcleat.http_limits import guard as guard_lib
from skylarkcleat.http_limits import limits as limits_lib
from skylarkcleat.settings import entry as settings_lib

_LARGEST_BODIES = 4
"""How many of the largest bodies an entry may receive at once, at least."""

_CONNECTIONS_PER_JOB = 2
"""Callers keep connections between jobs, too."""


def derive_limits(settings: settings_lib.EntrySettings) -> limits_lib.Limits:
    """Returns what all clients of an entry may hold together."""
    limits = limits_lib.derive_limits()
    bodies_bytes = _LARGEST_BODIES * settings.http.max_body_bytes
    connections = _CONNECTIONS_PER_JOB * settings.limits.max_jobs
    return limits_lib.Limits(
        max(limits.held_bytes, bodies_bytes),
        max(limits.connections, connections),
    )


def create_guard(settings: settings_lib.EntrySettings) -> guard_lib.Guard:
    """Returns the guard of an entry's HTTP server, for the running loop."""
    now = asyncio.get_running_loop().time()
    return guard_lib.Guard(derive_limits(settings), now)
