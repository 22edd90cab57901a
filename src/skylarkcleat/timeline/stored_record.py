"""An incident as it stands on the disk: a head in the clear, then packed.

The head holds what a start and a search need, so that both unpack only what
they return: the time as 8 bytes little-endian, the job and the id, each with
a separator behind it.
"""

from __future__ import annotations

import struct
import typing as t

from skylarkcleat.timeline import incident as incident_lib
from skylarkcleat.timeline import incident_codec

SEPARATOR = b"\0"
_TIME = struct.Struct("<Q")


class Head(t.NamedTuple):
    """What a record tells without being unpacked.

    Attributes:
        wall_ms: When it was reported, in milliseconds since the epoch.
        id: The incident's id.
    """

    wall_ms: int
    id: str


def encode(incident: incident_lib.Incident) -> bytes:
    """Returns an incident's record."""
    parts = (
        incident.job.encode(),
        incident.id.encode(),
        incident_codec.pack_incidents([incident]),
    )
    return _TIME.pack(incident.wall_ms) + SEPARATOR.join(parts)


def read_head(record: bytes) -> Head | None:
    """Returns a record's head, or None if it is malformed."""
    parts = _split(record)
    if parts is None:
        return None
    (wall_ms,) = _TIME.unpack_from(record)
    return Head(wall_ms, parts[1].decode("utf-8", "replace"))


def decode(record: bytes) -> incident_lib.Incident | None:
    """Returns a record's incident, or None if it is malformed."""
    parts = _split(record)
    if parts is None:
        return None
    try:
        (incident,) = incident_codec.unpack_incidents(parts[2])
    except ValueError:
        return None
    return incident


def _split(record: bytes) -> list[bytes] | None:
    parts = record[_TIME.size :].split(SEPARATOR, 2)
    return parts if len(parts) == 3 else None
