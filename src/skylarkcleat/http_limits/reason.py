"""Why a connection was closed."""

from __future__ import annotations

import enum


class Reason(enum.Enum):
    """The limits that close connections; the values are labels of metrics."""

    HEAD_SIZE = "head-size"
    HEAD_TIMEOUT = "head-timeout"
    BODY_SIZE = "body-size"
    BODY_TIMEOUT = "body-timeout"
    IDLE_TIMEOUT = "idle-timeout"
    WRITE_TIMEOUT = "write-timeout"
    PIPELINE = "pipeline"
    MALFORMED = "malformed"
    CHUNK_RATE = "chunk-rate"
    HELD_BYTES = "held-bytes"
    CONNECTIONS = "connections"
