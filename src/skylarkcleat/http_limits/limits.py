"""The limits of a process and of its HTTP servers."""

from __future__ import annotations

import typing as t

HEAD_BYTES = 32_768
"""The largest header section with the empty lines before it. Twice the 16,384
bytes that clients may send, since a read may hold more than one request."""

FIELD_BYTES = 16_384
"""The longest request line and the longest header field: a legal header section
may consist of one field."""

MAX_FIELDS = 128
"""The most fields of a header section, and of trailers."""

JOB_BODY_BYTES = 524_288
"""The largest body of a job. Twice the 262,144 bytes that callers may send."""

CONTROL_BODY_BYTES = 4 * 1024 * 1024
"""The largest body for operators: a configuration may have several MB."""

HEARTBEAT_BODY_BYTES = 4 * 1024 * 1024
"""The largest heartbeat of a runner."""

PROBE_BODY_BYTES = 16_384
"""The largest body on addresses whose requests need none."""

DISCARDED_BYTES = 16 * 1024 * 1024
"""How much of a refused body is read, so that the client gets its answer."""

SLICE_BYTES = 16_384
"""How much is parsed between two checks. The part of a slice that follows a
complete request is not counted."""

UNCOUNTED_BYTES = 4096
"""A read that ends with a complete request is not counted up to this size: its
handler takes it over in the next turn of the event loop."""

FIELD_OVERHEAD_BYTES = 64
"""What counts for each header field beside its bytes: 126 fields of 31 bytes
take 48 KB in memory, more than one field of 15 KB."""

HEAD_TIMEOUT_S = 5.0
"""From the first byte of a header section to its end; clients may take 3 s."""

BODY_PROGRESS_TIMEOUT_S = 20.0
"""The longest wait for the next bytes of a body; clients may take 15 s."""

BODY_TIMEOUT_S = 60.0
"""From the end of a header section to the end of the body. 4 MiB take 3.5 s on
the slowest link, 9.5 Mbit/s."""

IDLE_TIMEOUT_S = 60.0
"""The longest wait between requests. Clients close after 15 s, so that none
sends a request while its connection is being closed here."""

WRITE_PROGRESS_TIMEOUT_S = 20.0
"""The longest time without progress of a response that the client reads."""

LINES_BURST = 600_000
LINES_PER_S = 60_000
"""How many lines of chunked bodies are parsed: processor time depends on their
number. The burst admits a legal body in chunks of one byte, 2 lines each."""

FILE_DESCRIPTORS = 200
"""The descriptors that are kept for files."""

MIN_HELD_BYTES = 2 * CONTROL_BODY_BYTES
MIN_CONNECTIONS = 64
"""The least budgets, however small the VM is."""

DEFAULT_MEMORY_MB = 256
DEFAULT_MAX_FDS = 4096
"""What the VM has if the settings do not say so."""

_BYTES_PER_MB = 1_000_000
_BUDGET_FRACTION = 1 / 16
"""Of the VM's memory. The process grows by up to five times what is counted:
copies of bodies, connections that are being closed, gaps of the allocator."""

_CONNECTION_FRACTION = 3 / 4
"""Of the descriptors for sockets; the others are for our own processes."""

_CHUNK_FRAMING = 6
"""Bytes on the wire for each byte of a body in chunks of one byte."""


class Limits(t.NamedTuple):
    """What all HTTP servers of a process may hold together.

    Attributes:
        held_bytes: For requests that are incomplete or unanswered, and for
            responses that clients do not read.
        connections: Open connections.
    """

    held_bytes: int
    connections: int


def derive_limits(memory_mb: float = 0, max_fds: int = 0) -> Limits:
    """Returns the limits of a process on a VM.

    Args:
        memory_mb: The VM's memory in MB; 0 if unknown.
        max_fds: The descriptors that the process may open; 0 if unknown.
    """
    memory_mb = memory_mb if memory_mb > 0 else DEFAULT_MEMORY_MB
    max_fds = max_fds if max_fds > 0 else DEFAULT_MAX_FDS
    held_bytes = int(memory_mb * _BYTES_PER_MB * _BUDGET_FRACTION)
    sockets = max(max_fds - FILE_DESCRIPTORS, 0)
    return Limits(
        max(held_bytes, MIN_HELD_BYTES),
        max(int(sockets * _CONNECTION_FRACTION), MIN_CONNECTIONS),
    )


def allow_wire_bytes(body_bytes: int) -> int:
    """Returns how many bytes a body may take on the wire with its framing."""
    return HEAD_BYTES + _CHUNK_FRAMING * body_bytes
