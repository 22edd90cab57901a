"""Decides which connections are closed while a process holds too much.

Addresses the load of clients that open connections and send incomplete requests
in numbers which no limit of a single request bounds.
"""

from __future__ import annotations

import typing as t

from skylarkcleat.http_limits import holding as holding_lib
from skylarkcleat.http_limits import limits as limits_lib
from skylarkcleat.http_limits import phase as phase_lib
from skylarkcleat.http_limits import reason as reason_lib
from skylarkcleat.http_limits import source as source_lib

UNPROVEN_SHARE = 1 / 2
"""Of the budgets, for an address without a complete request of late. A load
balancer has completed some, so that it has no share."""

_RELIEF = 15 / 16
"""Down to which part of a budget connections are closed, so that they are not
ranked again at the next byte."""


class Closing(t.NamedTuple):
    """A connection that has to be closed, and why."""

    holding: holding_lib.Holding
    reason: reason_lib.Reason


class Budget:
    """What all connections of a process hold.

    Attributes:
        limits: What they may hold.
        held_bytes: What they hold.
        closed: How many were closed over a limit.
    """

    def __init__(self, limits: limits_lib.Limits) -> None:
        self.limits = limits
        self.held_bytes = 0
        self.closed = 0
        self._holdings: dict[holding_lib.Holding, None] = {}
        self._sources: dict[str, source_lib.Source] = {}

    @property
    def connections(self) -> int:
        """The number of open connections."""
        return len(self._holdings)

    def open(self, address: str, now: float) -> holding_lib.Holding:
        """Returns what a new connection of an address holds."""
        source = self._sources.get(address)
        if source is None:
            source = self._sources[address] = source_lib.Source(address)
        source.connections += 1
        holding = holding_lib.Holding(source, now)
        self._holdings[holding] = None
        return holding

    def close(self, holding: holding_lib.Holding) -> None:
        """Removes a connection; does nothing for one that is removed."""
        if holding not in self._holdings:
            return
        self.hold(holding, -holding.held_bytes)
        del self._holdings[holding]
        source = holding.source
        source.connections -= 1
        if not source.connections:
            del self._sources[source.address]

    def hold(self, holding: holding_lib.Holding, size: int) -> None:
        """Changes what a connection holds by a number of bytes."""
        holding.held_bytes += size
        holding.source.held_bytes += size
        self.held_bytes += size

    def is_over(self, holding: holding_lib.Holding, now: float) -> bool:
        """Returns whether a budget or the share of an address is exceeded."""
        if (
            self.held_bytes > self.limits.held_bytes
            or len(self._holdings) > self.limits.connections
        ):
            return True
        source = holding.source
        return (
            source.held_bytes > self.limits.held_bytes * UNPROVEN_SHARE
            or source.connections > self.limits.connections * UNPROVEN_SHARE
        ) and not source.is_proven(now)

    def choose(self, holding: holding_lib.Holding, now: float) -> list[Closing]:
        """Returns what to close after one connection has grown.

        Connections with a complete request that waits for its answer are never
        among them.
        """
        if not holding.source.is_proven(now):
            own = [h for h in self._holdings if h.source is holding.source]
            chosen = self._choose_among(own, UNPROVEN_SHARE, now)
            if chosen:
                return chosen
        return self._choose_among(list(self._holdings), 1.0, now)

    def list_overdue(self, now: float) -> list[Closing]:
        """Returns the connections that have exceeded a timeout."""
        found = ((h, h.find_overdue(now)) for h in self._holdings)
        return [Closing(h, reason) for h, reason in found if reason is not None]

    def _choose_among(
        self, holdings: list[holding_lib.Holding], share: float, now: float
    ) -> list[Closing]:
        sheddable = [h for h in holdings if h.is_sheddable]
        held_bytes = sum(h.held_bytes for h in holdings)
        limit = self.limits.held_bytes * share
        if held_bytes > limit:
            sheddable.sort(key=lambda h: h.weigh(now), reverse=True)
            excess = held_bytes - limit * _RELIEF
            return _take_bytes(sheddable, excess)
        limit = self.limits.connections * share
        if len(holdings) > limit:
            sheddable.sort(key=lambda h: _rank_connection(h, now))
            excess = int(len(holdings) - limit * _RELIEF)
            reason = reason_lib.Reason.CONNECTIONS
            return [Closing(h, reason) for h in sheddable[: max(excess, 1)]]
        return []


def _take_bytes(
    ranked: list[holding_lib.Holding], excess: float
) -> list[Closing]:
    chosen = []
    for holding in ranked:
        if excess <= 0 or not holding.held_bytes:
            break
        excess -= holding.held_bytes
        chosen.append(Closing(holding, reason_lib.Reason.HELD_BYTES))
    return chosen


def _rank_connection(
    holding: holding_lib.Holding, now: float
) -> tuple[bool, float]:
    """Ranks connections that ordinary clients keep between requests last."""
    is_ordinary = holding.is_used and holding.phase is phase_lib.Phase.IDLE
    return is_ordinary, holding.progressed_at - now
