"""Finds the lines of entries and faults in a configuration document.

It decides nothing: a document that is refused may be read up to its fault, and
a line that can't be found is 0.
"""

from __future__ import annotations

import bisect
import collections.abc
import json
import re
import typing as t

from skylarkcleat.platform import configuration_body

_VALUE_PLACE = re.compile(r" - at `\$([^`]*)`$")
_STEP = re.compile(r"\.([^.\[]+)|\[(\d+)\]")
_BYTE = re.compile(r"\(byte (\d+)\)$|in position (\d+)(?:-\d+)?: [^:]*$")
_WHITESPACE = re.compile(r"[ \t\r\n]*")
_CLOSERS = {"{": "}", "[": "]"}
_DECODER = json.JSONDecoder(
    strict=False, parse_int=str, parse_float=str, parse_constant=str
)
"""Numbers stay text: digits without end are refused elsewhere."""


class EntryLines(t.NamedTuple):
    """The lines at which entries begin, from 1, in the document's order.

    Attributes:
        queues: Of the queues.
        upstreams: Of the upstreams.
    """

    queues: tuple[int, ...]
    upstreams: tuple[int, ...]


def list_entry_lines(body: bytes) -> EntryLines:
    """Returns the lines of all entries of a document that can be decoded."""
    document = _Document(body)
    return EntryLines(
        document.list_lines(("routes",)), document.list_lines(("services",))
    )


def find_line(body: bytes, place: configuration_body.Place) -> int:
    """Returns the line of a value, or of the innermost one found around it."""
    document = _Document(body)
    return document.find_line(document.find_offset(place))


def find_error_line(
    body: bytes, error: configuration_body.ConfigurationError
) -> int:
    """Returns the line of the value that a document is refused for.

    Returns:
        The line, from 1; 0 if the reason concerns the whole document.
    """
    if error.place:
        return find_line(body, error.place)
    found = _BYTE.search(str(error))
    if found:
        return body.count(b"\n", 0, int(found[1] or found[2])) + 1
    found = _VALUE_PLACE.search(str(error))
    if not found:
        return 0
    steps = _STEP.findall(found[1])
    place = tuple(key or int(number) for key, number in steps)
    return find_line(body, place)


class _Document:
    """A JSON document and the offsets of its values."""

    def __init__(self, body: bytes) -> None:
        self._text = body.decode(errors="replace")
        self._ends = [each.start() for each in re.finditer("\n", self._text)]

    def find_line(self, offset: int) -> int:
        """Returns the line of an offset, from 1."""
        return bisect.bisect_left(self._ends, offset) + 1

    def find_offset(self, place: configuration_body.Place) -> int:
        """Returns the offset of a value, or of the innermost around it."""
        offset = self._skip_whitespace(0)
        for step in place:
            found = [
                start
                for key, start in self._list_members(offset)
                if key == step
            ]
            if not found:
                return offset
            # Of a repeated key the decoder takes the last value.
            offset = found[-1]
        return offset

    def list_lines(self, place: configuration_body.Place) -> tuple[int, ...]:
        """Returns the lines of the members of a value."""
        members = self._list_members(self.find_offset(place))
        return tuple(self.find_line(offset) for _, offset in members)

    def _list_members(
        self, offset: int
    ) -> collections.abc.Iterator[tuple[str | int, int]]:
        """Yields key or position, and offset, up to the first fault."""
        opener = self._text[offset : offset + 1]
        closer = _CLOSERS.get(opener)
        at = self._skip_whitespace(offset + 1)
        number = 0
        while closer and self._text[at : at + 1] not in ("", closer):
            try:
                key: str | int = number
                if opener == "{":
                    key, at = _DECODER.raw_decode(self._text, at)
                    at = self._skip_whitespace(at)
                    at = self._skip_whitespace(at + 1)
                yield key, at
                at = self._skip_whitespace(
                    _DECODER.raw_decode(self._text, at)[1]
                )
            except (ValueError, RecursionError):
                return
            if self._text[at : at + 1] == ",":
                at = self._skip_whitespace(at + 1)
            number += 1

    def _skip_whitespace(self, at: int) -> int:
        found = _WHITESPACE.match(self._text, at)
        return found.end() if found else at
