"""What a check finds."""

from __future__ import annotations

import enum
import typing as t


class Severity(enum.StrEnum):
    """How much a finding matters."""

    WARNING = "warning"
    ERROR = "error"


class Kind(enum.StrEnum):
    """What a finding is about."""

    DOCUMENT = "document"
    QUEUE = "queue"
    UPSTREAM = "upstream"
    LIMITS = "limits"


class Entry(t.NamedTuple):
    """A part of a configuration.

    Attributes:
        kind: What it is.
        number: Its position among the entries of its kind, from 0.
        name: Its name; empty if it has none.
    """

    kind: Kind = Kind.DOCUMENT
    number: int = 0
    name: str = ""


class Finding(t.NamedTuple):
    """Something wrong with a configuration.

    Attributes:
        severity: An error if fronts refuse the configuration.
        entry: The offending part.
        text: What is wrong, with the values and what is allowed.
        field: The offending field of the typed entry; empty if it is none.
        line: Its line in the document, from 1; 0 if unknown.
    """

    severity: Severity
    entry: Entry
    text: str
    field: str = ""
    line: int = 0


def warn_queue(number: int, name: str, text: str, field: str = "") -> Finding:
    """Returns a warning about a queue at a position."""
    entry = Entry(Kind.QUEUE, number, name)
    return Finding(Severity.WARNING, entry, text, field)
