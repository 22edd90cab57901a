"""Gives findings their lines in the document."""

from __future__ import annotations

import collections.abc

from skylarkcleat.configuration_check import findings
from skylarkcleat.platform import client_limits_body
from skylarkcleat.platform import configuration_place


def place_findings(
    body: bytes, found: collections.abc.Sequence[findings.Finding]
) -> list[findings.Finding]:
    """Returns findings with their lines, in the order of the lines."""
    if not found:
        return []
    entries = configuration_place.list_entry_lines(body)
    lines = {
        findings.Kind.QUEUE: entries.queues,
        findings.Kind.UPSTREAM: entries.upstreams,
        findings.Kind.DOCUMENT: (
            configuration_place.find_line(body, ("version",)),
        ),
        findings.Kind.LIMITS: (
            configuration_place.find_line(body, client_limits_body.PLACE),
        ),
    }
    placed = []
    for finding in found:
        known = lines[finding.entry.kind]
        number = finding.entry.number
        line = known[number] if number < len(known) else 0
        placed.append(finding._replace(line=line))
    return sorted(placed, key=lambda finding: finding.line)
