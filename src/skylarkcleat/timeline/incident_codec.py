"""Packs incidents for the wire and the disk."""

from __future__ import annotations

import collections.abc
import zlib

import msgspec

from skylarkcleat.timeline import incident as incident_lib

MAX_UNPACKED_BYTES = 16 << 20
_LEVEL = 1

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(tuple[incident_lib.Incident, ...])


class InvalidIncidentsError(ValueError):
    """Bytes that are no packed incidents."""


def pack_incidents(
    incidents: collections.abc.Iterable[incident_lib.Incident],
) -> bytes:
    """Returns the incidents as compressed msgpack."""
    return zlib.compress(_ENCODER.encode(tuple(incidents)), _LEVEL)


def unpack_incidents(data: bytes) -> tuple[incident_lib.Incident, ...]:
    """Returns what was packed.

    Raises:
        InvalidIncidentsError: The bytes are damaged, or unpack to more than
            `MAX_UNPACKED_BYTES`.
    """
    inflater = zlib.decompressobj()
    try:
        plain = inflater.decompress(data, MAX_UNPACKED_BYTES)
    except zlib.error as error:
        raise InvalidIncidentsError(f"incidents are damaged: {error}") from None
    if not inflater.eof:
        raise InvalidIncidentsError(
            f"incidents of {len(data)} bytes are cut short, or unpack to "
            f"more than {MAX_UNPACKED_BYTES} bytes"
        )
    try:
        return _DECODER.decode(plain)
    except msgspec.MsgspecError as error:
        raise InvalidIncidentsError(
            f"incidents are malformed: {error}"
        ) from None
