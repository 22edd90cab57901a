"""Frames: checksummed records, each written and synced as a whole.

A frame consists of a magic number of 4 bytes, the payload's length, a crc32c
over length and payload, and the payload. Length and checksum have 4 bytes
each, in little-endian order.
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
        payloads: The payloads of the intact frames, in order.
        end: The offset at which the last of them ends, in bytes.
    """

    payloads: tuple[bytes, ...]
    end: int


def encode(payload: bytes) -> bytes:
    """Returns a payload as a frame."""
    size = len(payload)
    return _HEADER.pack(_MAGIC, size, _checksum(size, payload)) + payload


def scan(path: pathlib.Path, data: bytes) -> Scan:
    """Finds the frames of a file, up to an incomplete write at its end.

    Args:
        path: The file, for the error message.
        data: The content of the file.

    Raises:
        DamagedError: An intact frame follows a broken one, so the broken
            one is not the rest of a write that a crash interrupted.
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
                path, offset, f"an intact record follows at byte {later}"
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
