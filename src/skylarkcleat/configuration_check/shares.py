"""Priorities that leave a queue next to nothing of a short capacity."""

from __future__ import annotations

import collections.abc

from skylarkcleat.configuration import content
from skylarkcleat.configuration_check import check
from skylarkcleat.configuration_check import findings
from skylarkcleat.scheduling import capacity_shares

MIN_RATIO = 0.1
"""The smallest share, as a part of the upstream's most urgent queue's, that
`capacity_shares.find_weight` calls worth having."""

_DIGITS = 9
"""Quotients of weights, such as 3/30, may be a rounding error below it."""


class SmallShares(check.Check):
    """Finds queues whose priority gives them too small a share."""

    def find(
        self, configuration: content.Configuration
    ) -> collections.abc.Iterator[findings.Finding]:
        """Yields a warning for each queue with too small a share."""
        urgent = _find_most_urgent(configuration)
        for number, queue in enumerate(configuration.queues):
            top = urgent[queue.upstream]
            weight = capacity_shares.find_weight(queue.priority)
            ratio = weight / capacity_shares.find_weight(top.priority)
            if round(ratio, _DIGITS) < MIN_RATIO:
                text = (
                    f"while capacity is short, priority {queue.priority} gets "
                    f"{ratio:.2g} times the share of {top.name!r} (priority "
                    f"{top.priority}); below {MIN_RATIO:g} it hardly gets any"
                )
                yield findings.warn_queue(number, queue.name, text, "priority")


def _find_most_urgent(
    configuration: content.Configuration,
) -> dict[str, content.Queue]:
    urgent: dict[str, content.Queue] = {}
    for queue in configuration.queues:
        known = urgent.get(queue.upstream)
        if known is None or queue.priority < known.priority:
            urgent[queue.upstream] = queue
    return urgent
