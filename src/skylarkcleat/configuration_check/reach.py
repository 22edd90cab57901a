"""Queues that no job can reach."""

from __future__ import annotations

import collections.abc

from skylarkcleat.configuration import content
from skylarkcleat.configuration_check import check
from skylarkcleat.configuration_check import findings
from skylarkcleat.platform import caller_address


class UnmatchableAddresses(check.Check):
    """Finds queues whose host or prefix no request can have."""

    def find(
        self, configuration: content.Configuration
    ) -> collections.abc.Iterator[findings.Finding]:
        """Yields a warning for each queue that can never match."""
        for number, queue in enumerate(configuration.queues):
            obstacle = caller_address.find_obstacle(queue.host, queue.prefix)
            if obstacle:
                text = f"it can never match: {obstacle}"
                yield findings.warn_queue(number, queue.name, text)


class HiddenQueues(check.Check):
    """Finds queues all of whose jobs go to another queue.

    A job is taken only if its path is a queue's whole prefix and the job's id.
    So a queue is hidden if the product's index gives its own address to
    another one.
    """

    def find(
        self, configuration: content.Configuration
    ) -> collections.abc.Iterator[findings.Finding]:
        """Yields a warning for each hidden queue."""
        winners = _find_winners(configuration)
        for number, queue in enumerate(configuration.queues):
            winner = winners[number]
            if winner is not queue:
                text = f"it is hidden by {winner.name!r}, which gets its jobs"
                yield findings.warn_queue(number, queue.name, text)


class UnservedQueues(check.Check):
    """Finds queues with a property for which all their jobs are refused."""

    def find(
        self, configuration: content.Configuration
    ) -> collections.abc.Iterator[findings.Finding]:
        """Yields a warning for each queue that is not served."""
        for number, queue in enumerate(configuration.queues):
            if queue.unsupported:
                text = "this version refuses all jobs of a queue with it"
                yield findings.warn_queue(
                    number, queue.name, text, "unsupported"
                )


def _find_winners(
    configuration: content.Configuration,
) -> dict[int, content.Queue]:
    """Returns which queue gets the jobs sent to each queue's address.

    Only queues whose prefixes begin an address can get it. In the order of
    the prefixes they are a stack, so that the work grows with the length of
    all prefixes, not with the square of the number of queues.
    """
    queues = configuration.queues
    order = sorted(
        range(len(queues)),
        key=lambda number: (queues[number].host, queues[number].prefix),
    )
    winners: dict[int, content.Queue] = {}
    rivals: list[content.Queue] = []
    for number in order:
        queue = queues[number]
        while rivals and not _can_match(rivals[-1], queue):
            rivals.pop()
        rivals.append(queue)
        index = content.QueueIndex(content.Configuration(1, tuple(rivals)))
        match = index.find(queue.host, queue.prefix)
        winners[number] = match.queue if match else queue
    return winners


def _can_match(rival: content.Queue, queue: content.Queue) -> bool:
    is_same_host = rival.host == queue.host
    return is_same_host and queue.prefix.startswith(rival.prefix)
