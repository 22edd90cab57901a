"""Writes a report as lines of text, in the words of the document."""

from __future__ import annotations

import collections.abc

from skylarkcleat.configuration_check import difference
from skylarkcleat.configuration_check import findings
from skylarkcleat.configuration_check import report as report_lib
from skylarkcleat.platform import configuration_words


def list_lines(
    file: str, report: report_lib.Report
) -> collections.abc.Iterator[str]:
    """Yields a line for each finding and change, then one for the result."""
    for finding in report.findings:
        place = f"{file}:{finding.line}" if finding.line else file
        subject = _describe_subject(finding)
        yield f"{place}: {finding.severity}: {subject}{finding.text}"
    if report.difference is not None:
        yield from _list_changes(report.difference)
    yield f"{file}: {_summarize(report)}"


def _list_changes(
    changes: difference.Difference,
) -> collections.abc.Iterator[str]:
    yield f"version {changes.before} -> {changes.after}"
    for entry in changes.added:
        yield f"+ {_describe_entry(entry)}"
    for entry in changes.removed:
        yield f"- {_describe_entry(entry)}"
    for change in changes.changed:
        fields = ", ".join(map(_describe_field, change.fields))
        yield f"~ {_describe_entry(change.entry)}: {fields}"


def _describe_field(change: difference.FieldChange) -> str:
    word = configuration_words.translate_field(change.field)
    return f"{word} {change.before!r} -> {change.after!r}"


def _describe_subject(finding: findings.Finding) -> str:
    parts = [_describe_entry(finding.entry)]
    if finding.field:
        parts.append(configuration_words.translate_field(finding.field))
    subject = ", ".join(filter(None, parts))
    return f"{subject}: " if subject else ""


def _describe_entry(entry: findings.Entry) -> str:
    if entry.kind is findings.Kind.DOCUMENT:
        return ""
    word = configuration_words.translate_kind(entry.kind)
    if entry.kind is findings.Kind.LIMITS:
        return word
    return f"{word} {entry.name!r}"


def _summarize(report: report_lib.Report) -> str:
    if report.status is report_lib.Status.REFUSED:
        return "refused"
    if not report.version:
        return "not checked"
    count = len(report.findings)
    noun = "warning" if count == 1 else "warnings"
    result = f"{count} {noun}" if count else "sound"
    unread = "; the check is incomplete" if report.problem else ""
    return f"version {report.version}: {result}{unread}"
