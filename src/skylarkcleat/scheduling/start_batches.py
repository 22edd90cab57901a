"""Orders of a job's tasks to one side process, in one message.

For jobs with large specifications: each order carries the specification, and
an order for each task would fill the owner's link. The module does no I/O.
"""

from __future__ import annotations

import collections.abc

from skylarkcleat.protocol import leasing
from skylarkcleat.scheduling import outbox
from skylarkcleat.wire import session as session_lib


def merge_starts(
    messages: collections.abc.Iterable[outbox.Outgoing],
) -> list[outbox.Outgoing]:
    """Returns messages in order, with alike orders to start in one message.

    No order moves before a message of another kind to the same process.
    """
    merged: list[outbox.Outgoing] = []
    batches: dict[session_lib.Endpoint, list[leasing.Start]] = {}
    places: dict[session_lib.Endpoint, int] = {}
    for outgoing in messages:
        peer, message = outgoing
        if not isinstance(message, leasing.Start):
            batches.pop(peer, None)
            merged.append(outgoing)
            continue
        batch = batches.get(peer)
        if batch is None or not _is_alike(batch[0], message):
            batches[peer] = [message]
            places[peer] = len(merged)
            merged.append(outgoing)
            continue
        batch.append(message)
        merged[places[peer]] = outbox.Outgoing(peer, _join(batch))
    return merged


def _is_alike(order: leasing.Start, other: leasing.Start) -> bool:
    """Returns whether two orders differ in their tasks only."""
    return order._replace(task="", run=0) == other._replace(task="", run=0)


def _join(orders: list[leasing.Start]) -> leasing.StartTasks:
    first = orders[0]
    return leasing.StartTasks(
        first.epoch,
        first.spec,
        first.cpu,
        first.memory_mb,
        first.gpu,
        tuple((order.task, order.run) for order in orders),
    )
