"""Which availability zones operators have evacuated, beside the configuration.

An order names the revision of the evacuations that was in force when it
reached the system. An order that would undo a later one is refused as stale: it
is an old message that was held up, and its operator has moved on or will send
it again.
"""

from __future__ import annotations

import typing as t

import msgspec


class EvacuationsError(ValueError):
    """Bytes that hold no evacuations."""


class ZoneState(t.NamedTuple):
    """The last change of one zone.

    Attributes:
        zone: Its name.
        is_evacuated: Whether its runners may be sent no tasks.
        since_ms: When that was ordered, in Unix milliseconds.
        revision: The revision of the evacuations that began with it.
    """

    zone: str
    is_evacuated: bool
    since_ms: int
    revision: int


class Order(t.NamedTuple):
    """An operator's order for one zone.

    Attributes:
        zone: The zone.
        is_evacuated: Whether to evacuate it, or to return it to service.
        base_revision: The revision that was in force when the order was
            received.
        at_ms: When it was received, in Unix milliseconds.
    """

    zone: str
    is_evacuated: bool
    base_revision: int
    at_ms: int


class Evacuations(t.NamedTuple):
    """One revision of the evacuations.

    Attributes:
        revision: Rises by one with each change; 0 before the first.
        zones: The zones that were ever evacuated, by name.
    """

    revision: int = 0
    zones: tuple[ZoneState, ...] = ()

    @property
    def evacuated(self) -> tuple[ZoneState, ...]:
        """The zones that are evacuated."""
        return tuple(state for state in self.zones if state.is_evacuated)

    def find(self, zone: str) -> ZoneState:
        """Returns the state of a zone."""
        for state in self.zones:
            if state.zone == zone:
                return state
        return ZoneState(zone, False, 0, 0)


def apply(evacuations: Evacuations, order: Order) -> Evacuations | None:
    """Returns the evacuations after an order; None if the order is stale.

    An order for what is in force already changes nothing.
    """
    known = evacuations.find(order.zone)
    if known.is_evacuated == order.is_evacuated:
        return evacuations
    if known.revision > order.base_revision:
        return None
    revision = evacuations.revision + 1
    changed = ZoneState(order.zone, order.is_evacuated, order.at_ms, revision)
    others = (each for each in evacuations.zones if each.zone != order.zone)
    return Evacuations(revision, tuple(sorted((*others, changed))))


_DECODER = msgspec.msgpack.Decoder(Evacuations)


def encode(evacuations: Evacuations) -> bytes:
    """Returns the bytes that `decode` takes."""
    return msgspec.msgpack.encode(evacuations)


def decode(data: bytes) -> Evacuations:
    """Returns the evacuations that `encode` was given.

    Raises:
        EvacuationsError: The bytes hold no evacuations.
    """
    try:
        return _DECODER.decode(data)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise EvacuationsError(f"no evacuations: {error}") from error
