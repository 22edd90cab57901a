"""The waiting work of one queue and the rate at which it is served.

For overloads: whether a job can start in time is known when it arrives, from
the work of its queue ahead of it and the queue's share of the capacity.
"""

from __future__ import annotations

import collections.abc
import math

from skylarkcleat.scheduling import active_job
from skylarkcleat.scheduling import capacity_shares

DEMAND_WINDOW_S = 0.5
"""The time over which arrivals are averaged: with a shorter one, the chance of
Poisson arrivals moves the shares; with a longer one, a burst of 3 s is over
before they follow it."""

WAIT_SHARE = 0.3
"""The part of a job's slack that its forecast wait may take. The rest is for
errors of the estimate and for runners slower than the average."""


class QueueLine:
    """The jobs of one queue that wait and can still end in time.

    Args:
        upstream: The upstream that serves the queue.
        priority: Its priority; 0 is the most urgent.

    Attributes:
        upstream: The upstream that serves the queue.
        weight: Its weight among the queues of the upstream.
        ahead_core_s: The work of its accepted jobs, in core-seconds.
        demand: The work that arrives, in core-seconds a second.
        rate: The work that is done, in core-seconds a second; infinite while
            it is unknown.
    """

    def __init__(self, upstream: str, priority: int) -> None:
        self.upstream = upstream
        self.weight = capacity_shares.find_weight(priority)
        self.ahead_core_s = 0.0
        self.demand = 0.0
        self.rate = math.inf
        self._arrived_core_s = 0.0
        self._reviewed_at: float | None = None

    def record_arrival(self, core_s: float) -> None:
        """Records the work of a job that has arrived, in core-seconds."""
        self._arrived_core_s += core_s

    def find_wait_s(self) -> float:
        """Returns how long a job that arrives now will wait, in seconds."""
        if self.rate <= 0:
            return math.inf if self.ahead_core_s > 0 else 0.0
        return self.ahead_core_s / self.rate

    def accepts(self, job: active_job.ActiveJob, now: float) -> bool:
        """Returns whether a job that arrives now will end in time."""
        slack_s = job.latest_start - now
        return self.find_wait_s() <= find_wait_limit_s(slack_s)

    def update_demand(self, now: float) -> None:
        """Updates the demand by what has arrived since the last call."""
        if self._reviewed_at is None:
            self._reviewed_at = now
            return
        passed_s = now - self._reviewed_at
        if passed_s <= 0:
            return
        kept = math.exp(-passed_s / DEMAND_WINDOW_S)
        arrived = self._arrived_core_s / passed_s
        self.demand = kept * self.demand + (1 - kept) * arrived
        self._arrived_core_s = 0.0
        self._reviewed_at = now


def find_wait_limit_s(slack_s: float) -> float:
    """Returns the longest forecast wait with which a job is accepted.

    Args:
        slack_s: For how long its start may be delayed, in seconds.
    """
    return WAIT_SHARE * max(slack_s, 0.0)


def divide_capacity(
    lines: collections.abc.Sequence[QueueLine], capacity: float
) -> None:
    """Sets the rates of an upstream's queues.

    Args:
        lines: The queues.
        capacity: The work that the runners can do, in core-seconds a second;
            infinite if unknown.
    """
    if math.isinf(capacity):
        for line in lines:
            line.rate = math.inf
        return
    demands = [
        capacity_shares.Demand(line.weight, line.demand) for line in lines
    ]
    parts = capacity_shares.fill(capacity, demands)
    spare = max(capacity - sum(parts), 0.0)
    for line, part in zip(lines, parts, strict=True):
        line.rate = part + spare
