"""What changes from one configuration to another, by the names of entries."""

from __future__ import annotations

import collections.abc
import typing as t

from skylarkcleat.configuration import content
from skylarkcleat.configuration_check import findings

Record = content.Queue | content.Upstream
Value = str | int | float | bool
Key = tuple[findings.Kind, str, int]
"""Kind, name, and how many entries before it have both: names of queues need
not be unique."""


class FieldChange(t.NamedTuple):
    """A field with another value."""

    field: str
    before: Value
    after: Value


class EntryChange(t.NamedTuple):
    """An entry with other fields."""

    entry: findings.Entry
    fields: tuple[FieldChange, ...]


class Difference(t.NamedTuple):
    """What changes between two configurations.

    Attributes:
        before: The version in force.
        after: The version that is checked.
        added: New entries.
        removed: Entries that are no longer there.
        changed: Entries with other fields.
    """

    before: int
    after: int
    added: tuple[findings.Entry, ...] = ()
    removed: tuple[findings.Entry, ...] = ()
    changed: tuple[EntryChange, ...] = ()


def compare(
    before: content.Configuration, after: content.Configuration
) -> Difference:
    """Returns what changes; fields that this version ignores don't count."""
    old, new = _index(before), _index(after)
    changed = []
    for key, (entry, record) in new.items():
        if key in old and old[key][1] != record:
            fields = tuple(_compare_fields(old[key][1], record))
            changed.append(EntryChange(entry, fields))
    return Difference(
        before.version,
        after.version,
        tuple(entry for key, (entry, _) in new.items() if key not in old),
        tuple(entry for key, (entry, _) in old.items() if key not in new),
        tuple(changed),
    )


def check_version(
    difference: Difference,
) -> collections.abc.Iterator[findings.Finding]:
    """Yields a warning if a version would not replace the one in force."""
    if difference.after <= difference.before:
        yield findings.Finding(
            findings.Severity.WARNING,
            findings.Entry(),
            f"version {difference.after} would change nothing: it is "
            f"acknowledged, but only one above {difference.before} takes "
            f"effect",
            "version",
        )


def _index(
    configuration: content.Configuration,
) -> dict[Key, tuple[findings.Entry, Record]]:
    found: dict[Key, tuple[findings.Entry, Record]] = {}
    counts: dict[tuple[findings.Kind, str], int] = {}
    groups: tuple[tuple[findings.Kind, tuple[Record, ...]], ...] = (
        (findings.Kind.QUEUE, configuration.queues),
        (findings.Kind.UPSTREAM, configuration.upstreams),
    )
    for kind, records in groups:
        for number, record in enumerate(records):
            count = counts.get((kind, record.name), 0)
            counts[kind, record.name] = count + 1
            entry = findings.Entry(kind, number, record.name)
            found[kind, record.name, count] = (entry, record)
    return found


def _compare_fields(
    before: Record, after: Record
) -> collections.abc.Iterator[FieldChange]:
    for field in before._fields:
        old, new = getattr(before, field), getattr(after, field)
        if old != new:
            yield FieldChange(field, old, new)
