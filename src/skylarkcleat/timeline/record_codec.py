"""Frames records for an append file, so that damage is found and skipped.

A record is `MAGIC`, its length and its CRC-32C as 32-bit little-endian
integers, and its bytes. The checksum covers length and bytes.
"""

from __future__ import annotations

import struct
import typing as t

import crc32c

MAGIC = b"\xf5inc"
MAX_RECORD_BYTES = 1 << 20
_HEADER = struct.Struct("<4sII")
_LENGTH = struct.Struct("<I")
HEADER_BYTES = _HEADER.size


class Scan(t.NamedTuple):
    """What a file holds.

    Attributes:
        records: The bytes of each whole record, oldest first.
        damaged: Stretches that were skipped between them.
        end: Where the last whole record ends, in bytes from the start.
        torn: Whether bytes that are no whole record follow `end`.
    """

    records: tuple[bytes, ...]
    damaged: int
    end: int
    torn: bool


def encode_record(payload: bytes) -> bytes:
    """Returns a record's frame and bytes.

    Raises:
        ValueError: The record is larger than `MAX_RECORD_BYTES`.
    """
    if len(payload) > MAX_RECORD_BYTES:
        raise ValueError(
            f"a record of {len(payload)} bytes is over {MAX_RECORD_BYTES}"
        )
    checksum = _compute_checksum(payload)
    return _HEADER.pack(MAGIC, len(payload), checksum) + payload


def scan_records(data: bytes) -> Scan:
    """Returns the whole records of a file and what is wrong with the rest."""
    records = []
    damaged = 0
    position = end = 0
    while position < len(data):
        payload = _read_record(data, position)
        if payload is None:
            following = _find_record(data, position + 1)
            if following < 0:
                break
            damaged += 1
            position = following
            continue
        records.append(payload)
        position += HEADER_BYTES + len(payload)
        end = position
    return Scan(tuple(records), damaged, end, end < len(data))


def _find_record(data: bytes, start: int) -> int:
    """Returns where the next whole record begins, or -1."""
    position = data.find(MAGIC, start)
    while position >= 0 and _read_record(data, position) is None:
        position = data.find(MAGIC, position + 1)
    return position


def _read_record(data: bytes, position: int) -> bytes | None:
    begin = position + HEADER_BYTES
    if begin > len(data):
        return None
    magic, length, checksum = _HEADER.unpack_from(data, position)
    if magic != MAGIC or length > MAX_RECORD_BYTES:
        return None
    payload = data[begin : begin + length]
    if len(payload) < length or _compute_checksum(payload) != checksum:
        return None
    return payload


def _compute_checksum(payload: bytes) -> int:
    return crc32c.crc32c(payload, crc32c.crc32c(_LENGTH.pack(len(payload))))
