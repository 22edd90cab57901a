"""Entries without use, and names that stand for two entries."""

from __future__ import annotations

import collections.abc

from skylarkcleat.configuration import content
from skylarkcleat.configuration_check import check
from skylarkcleat.configuration_check import findings


class UnusedUpstreams(check.Check):
    """Finds upstreams that no queue uses."""

    def find(
        self, configuration: content.Configuration
    ) -> collections.abc.Iterator[findings.Finding]:
        """Yields a warning for each unused upstream."""
        used = {queue.upstream for queue in configuration.queues}
        for number, upstream in enumerate(configuration.upstreams):
            if upstream.name not in used:
                kind = findings.Kind.UPSTREAM
                yield findings.Finding(
                    findings.Severity.WARNING,
                    findings.Entry(kind, number, upstream.name),
                    "nothing uses it, so that its runners get no work",
                )


class SharedNames(check.Check):
    """Finds queues that share a name.

    The owner forecasts and shares the capacity by the names of queues
    (`scheduling.backlog`): two of a name count as one.
    """

    def find(
        self, configuration: content.Configuration
    ) -> collections.abc.Iterator[findings.Finding]:
        """Yields a warning for each queue whose name was seen before."""
        seen: set[str] = set()
        for number, queue in enumerate(configuration.queues):
            if queue.name in seen:
                text = "an earlier one has its name: they share one forecast"
                yield findings.warn_queue(number, queue.name, text, "name")
            seen.add(queue.name)
