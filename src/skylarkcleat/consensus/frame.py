"""Frames: checksummed records, each written and synced as a whole.

A frame is a mark of 4 bytes, the payload's length and a crc32c over length
and payload, both as 4 bytes in little-endian order, and the payload.
"""

from __future__ import annotations

import pathlib
import struct
import typing as t

import crc32c

from skylarkcleat.consensus import errors

_MAGIC = b"\xf5SCL"
_HEADER = struct.Struct("<4sII")


class Scan(t.NamedTuple):
    """The frames of a file.

    Attributes:
        payloads: The payloads of the whole frames.
        end: Where the last whole frame ends, in bytes.
    """

    payloads: tuple[bytes, ...]
    end: int


def encode(payload: bytes) -> bytes:
    """Returns the frame of a payload."""
    size = len(payload)
    return _HEADER.pack(_MAGIC, size, _checksum(size, payload)) + payload


def scan(path: pathlib.Path, data: bytes) -> Scan:
    """Finds the frames of a file, up to a torn tail.

    Args:
        path: The file, for the error.
        data: Its content.

    Raises:
        DamagedError: A broken frame has a whole one behind it, so it is not
            the rest of a write that was cut off.
    """
    payloads = []
    offset = 0
    while (payload := _read(data, offset)) is not None:
        payloads.append(payload)
        offset += _HEADER.size + len(payload)
    later = data.find(_MAGIC, offset + 1)
    while later >= 0:
        if _read(data, later) is not None:
            raise errors.DamagedError(
                path, offset, f"a whole record follows at byte {later}"
            )
        later = data.find(_MAGIC, later + 1)
    return Scan(tuple(payloads), offset)


def _read(data: bytes, offset: int) -> bytes | None:
    if offset + _HEADER.size > len(data):
        return None
    magic, size, checksum = _HEADER.unpack_from(data, offset)
    start = offset + _HEADER.size
    if magic != _MAGIC or start + size > len(data):
        return None
    payload = bytes(data[start : start + size])
    return payload if checksum == _checksum(size, payload) else None


def _checksum(size: int, payload: bytes) -> int:
    return crc32c.crc32c(payload, size)
