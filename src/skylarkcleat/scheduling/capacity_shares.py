"""Shares of the capacity among queues, for lasting overloads of several queues.

Water-filling: each queue gets what it asks for up to a level that is the same
for all in proportion to their weights. What a queue leaves is lent to those
that ask for more, until its own demand returns.
"""

from __future__ import annotations

import collections.abc
import itertools
import typing as t


class Demand(t.NamedTuple):
    """What a queue asks for.

    Attributes:
        weight: Its weight; above 0.
        rate: The work that arrives, in core-seconds a second.
    """

    weight: float
    rate: float


def find_weight(priority: int) -> float:
    """Returns the weight of a queue's priority; 0 is the most urgent.

    A less urgent queue keeps a share that is worth having: that of priority 9
    is a tenth of the most urgent one's.
    """
    return 1 / (1 + max(priority, 0))


def fill(
    capacity: float, demands: collections.abc.Sequence[Demand]
) -> list[float]:
    """Returns the part of a capacity that each queue gets.

    Args:
        capacity: What there is, in core-seconds a second.
        demands: What the queues ask for.

    Returns:
        For each demand its part, at most its rate. Capacity is left only if
        all get what they ask for.
    """
    parts = [0.0] * len(demands)
    left = max(capacity, 0.0)
    by_level = sorted(
        range(len(demands)),
        key=lambda number: demands[number].rate / demands[number].weight,
    )
    # Added up from the end: a small weight would be lost in a difference.
    weights = list(
        itertools.accumulate(demands[n].weight for n in reversed(by_level))
    )
    for number, weight in zip(by_level, reversed(weights), strict=True):
        demand = demands[number]
        parts[number] = min(demand.rate, left * demand.weight / weight)
        left = max(left - parts[number], 0.0)
    return parts
