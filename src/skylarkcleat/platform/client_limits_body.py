"""Decodes the limits that a configuration document sets for clients.

Fronts do not read them: their own limits are constants of `http_limits`.
"""

from __future__ import annotations

import typing as t

import msgspec

from skylarkcleat.platform import json_body

PLACE = ("limits",)


class ClientLimits(t.NamedTuple):
    """What clients are told that they may use; 0 if a document says nothing.

    Attributes:
        max_header_bytes: The largest header section.
        max_body_bytes: The largest body of a job.
        header_timeout_ms: The time for a header section.
        idle_timeout_ms: The longest wait between two requests.
    """

    max_header_bytes: float = 0
    max_body_bytes: float = 0
    header_timeout_ms: float = 0
    idle_timeout_ms: float = 0


class _Limits(msgspec.Struct, rename="kebab"):
    max_header_bytes: json_body.Number = 0
    max_body_bytes: json_body.Number = 0
    header_timeout_ms: json_body.Number = 0
    idle_timeout_ms: json_body.Number = 0


class _Body(msgspec.Struct):
    limits: _Limits = msgspec.field(default_factory=_Limits)


_DECODER = msgspec.json.Decoder(_Body)


def decode_client_limits(body: bytes) -> ClientLimits | None:
    """Returns a document's limits for clients; None if they can't be read."""
    try:
        decoded = json_body.decode(_DECODER, body).limits
    except json_body.BodyError:
        return None
    return ClientLimits(
        decoded.max_header_bytes,
        decoded.max_body_bytes,
        decoded.header_timeout_ms,
        decoded.idle_timeout_ms,
    )
