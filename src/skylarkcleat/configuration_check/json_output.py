"""Writes a report as one JSON object, in the words of the document."""

from __future__ import annotations

import msgspec
import typing_extensions as te

from skylarkcleat.configuration_check import difference
from skylarkcleat.configuration_check import findings
from skylarkcleat.configuration_check import report as report_lib
from skylarkcleat.platform import configuration_words


class EntryObject(te.TypedDict):
    """An entry of the document."""

    kind: str
    name: str


class FindingObject(te.TypedDict):
    """A finding; `line` is 0 if unknown, `field` may be empty."""

    severity: str
    line: int
    kind: str
    name: str
    field: str
    text: str


class FieldObject(te.TypedDict):
    """A field with another value."""

    field: str
    before: difference.Value
    after: difference.Value


class ChangeObject(EntryObject):
    """An entry with other fields."""

    fields: list[FieldObject]


class DifferenceObject(te.TypedDict):
    """What changes from version `before` to version `after`."""

    before: int
    after: int
    added: list[EntryObject]
    removed: list[EntryObject]
    changed: list[ChangeObject]


class ReportObject(te.TypedDict):
    """A report; `version` is 0 if the document is refused or not read."""

    file: str
    status: str
    version: int
    findings: list[FindingObject]
    difference: DifferenceObject | None
    problem: str


def encode_report(file: str, report: report_lib.Report) -> str:
    """Returns a report as one line of JSON."""
    changes = report.difference
    body: ReportObject = {
        "file": file,
        "status": report.status.name.lower().replace("_", "-"),
        "version": report.version,
        "findings": [_create_finding(each) for each in report.findings],
        "difference": None if changes is None else _create_difference(changes),
        "problem": report.problem,
    }
    return msgspec.json.encode(body).decode()


def _create_finding(finding: findings.Finding) -> FindingObject:
    return {
        "severity": finding.severity,
        "line": finding.line,
        "kind": configuration_words.translate_kind(finding.entry.kind),
        "name": finding.entry.name,
        "field": configuration_words.translate_field(finding.field),
        "text": finding.text,
    }


def _create_difference(changes: difference.Difference) -> DifferenceObject:
    return {
        "before": changes.before,
        "after": changes.after,
        "added": [_create_entry(each) for each in changes.added],
        "removed": [_create_entry(each) for each in changes.removed],
        "changed": [_create_change(each) for each in changes.changed],
    }


def _create_entry(entry: findings.Entry) -> EntryObject:
    kind = configuration_words.translate_kind(entry.kind)
    return {"kind": kind, "name": entry.name}


def _create_change(change: difference.EntryChange) -> ChangeObject:
    fields: list[FieldObject] = [
        {
            "field": configuration_words.translate_field(each.field),
            "before": each.before,
            "after": each.after,
        }
        for each in change.fields
    ]
    return {**_create_entry(change.entry), "fields": fields}
