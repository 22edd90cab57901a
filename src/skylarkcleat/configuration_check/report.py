"""Carries out all checks of a document and sums up the result."""

from __future__ import annotations

import collections.abc
import enum
import typing as t

from skylarkcleat.configuration import content
from skylarkcleat.configuration_check import check
from skylarkcleat.configuration_check import client_limits
from skylarkcleat.configuration_check import deadlines
from skylarkcleat.configuration_check import difference
from skylarkcleat.configuration_check import findings
from skylarkcleat.configuration_check import placement
from skylarkcleat.configuration_check import reach
from skylarkcleat.configuration_check import refusal
from skylarkcleat.configuration_check import shares
from skylarkcleat.configuration_check import sources
from skylarkcleat.configuration_check import usage

LoadBase = t.Callable[[], content.Configuration]


class Status(enum.IntEnum):
    """The result of a check, and the exit code of the command."""

    SOUND = 0
    WARNINGS = 1
    REFUSED = 2
    NOT_CARRIED_OUT = 3


class Report(t.NamedTuple):
    """The result of a check.

    Attributes:
        version: The document's version; 0 if it is refused.
        findings: What was found, by line.
        difference: What would change; None if nothing was compared.
        problem: Why the document could not be read or compared; empty if it
            was.
    """

    version: int
    findings: tuple[findings.Finding, ...] = ()
    difference: difference.Difference | None = None
    problem: str = ""

    @property
    def status(self) -> Status:
        """The result; a refusal is certain whatever else is missing."""
        severities = {finding.severity for finding in self.findings}
        if findings.Severity.ERROR in severities:
            return Status.REFUSED
        if self.problem:
            return Status.NOT_CARRIED_OUT
        return Status.WARNINGS if severities else Status.SOUND


def create_checks(attempt_ms: int = 0) -> list[check.Check]:
    """Returns all checks of a valid configuration.

    Args:
        attempt_ms: The time of one attempt, in milliseconds; 0 if unknown.
    """
    return [
        reach.UnmatchableAddresses(),
        reach.HiddenQueues(),
        reach.UnservedQueues(),
        usage.UnusedUpstreams(),
        usage.SharedNames(),
        deadlines.Deadlines(attempt_ms),
        deadlines.Objectives(),
        shares.SmallShares(),
        client_limits.ClientLimits(),
    ]


def check_document(
    body: bytes,
    checks: collections.abc.Iterable[check.Check],
    load_base: LoadBase | None = None,
) -> Report:
    """Checks a document and compares it with the configuration in force.

    Args:
        body: The document, as an operator would send it.
        checks: The checks of a valid configuration.
        load_base: Returns the configuration to compare with, or raises
            `sources.SourceError`; None if nothing is to be compared. It is
            not called for a document that is refused.
    """
    try:
        configuration = refusal.decode_document(body)
    except refusal.RefusedError as error:
        return Report(0, (error.finding,))
    found = [each for one in checks for each in one.find(configuration)]
    changes, problem = None, ""
    if load_base is not None:
        try:
            changes = difference.compare(load_base(), configuration)
            found.extend(difference.check_version(changes))
        except sources.SourceError as error:
            problem = str(error)
    placed = placement.place_findings(body, found)
    return Report(configuration.version, tuple(placed), changes, problem)
