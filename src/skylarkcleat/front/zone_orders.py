"""Carries out operators' orders to evacuate a zone or return it to service.

The front first reads the evacuations from the log's leader, then sends the
order with their revision. An order that is held up after that is refused as
stale if the zone was changed meanwhile: its operator may have gone on with the
opposite.
"""

from __future__ import annotations

import asyncio
import typing as t

import eliot

from skylarkcleat import clock as clock_lib
from skylarkcleat.configuration import evacuations as evacuations_lib
from skylarkcleat.front import configuration_requests
from skylarkcleat.front import evacuation_cache
from skylarkcleat.front import pause as pause_lib
from skylarkcleat.front import requests as requests_lib
from skylarkcleat.protocol import locating
from skylarkcleat.protocol import scheduling

_POLL_S = 0.02
_TIMEOUT_S = configuration_requests.OPERATOR_TIMEOUT_S


class ZoneOrders:
    """Sends the orders for zones that this front receives to the log.

    Args:
        requests: Sends requests to the log's leader.
        cache: The front's copy of the evacuations.
        pauses: Tells whether this front has just stood still.
        inform_owner: Sends a message to the owner of the jobs, if it is
            another front.
    """

    def __init__(
        self,
        requests: requests_lib.Requests,
        cache: evacuation_cache.EvacuationCache,
        pauses: pause_lib.PauseWatch,
        inform_owner: t.Callable[[locating.GiveEvacuations], None],
    ) -> None:
        self._requests = requests
        self._cache = cache
        self._pauses = pauses
        self._inform_owner = inform_owner

    async def carry_out(self, zone: str, evacuate: bool) -> scheduling.Reply:
        """Returns a reply once the order is durable, or refused."""
        refusal = self._find_refusal(zone, evacuate)
        if refusal:
            verdict = scheduling.Verdict.INVALID
            reply = scheduling.Reply(0, verdict, refusal)
        else:
            reply = await self._put(zone, evacuate)
        eliot.log_message(
            "front:zone-order",
            zone=zone[:64],
            evacuate=evacuate,
            verdict=reply.verdict.value,
            detail=reply.detail[:256],
        )
        return reply

    def _find_refusal(self, zone: str, evacuate: bool) -> str:
        """Returns why a zone is refused; a zone that is evacuated never is."""
        known = self._cache.zones
        if zone in known:
            return ""
        if not evacuate and self._cache.current.find(zone).is_evacuated:
            return ""
        listed = ", ".join(known) or "none"
        return f"{zone[:64]!r} is no zone of this system; its zones: {listed}"

    async def _put(self, zone: str, evacuate: bool) -> scheduling.Reply:
        deadline = clock_lib.read_monotonic() + _TIMEOUT_S
        while self._pauses.is_recovering(clock_lib.read_monotonic()):
            # An operator that has gone meanwhile is noticed first.
            await asyncio.sleep(_POLL_S)
        found = await self._call(scheduling.ReadEvacuations, deadline)
        if found.verdict is not scheduling.Verdict.ACCEPTED:
            return found
        current = evacuations_lib.decode(found.content)
        self._record(current, found.content)
        if current.find(zone).is_evacuated == evacuate:
            return found
        order = evacuations_lib.Order(
            zone, evacuate, current.revision, clock_lib.read_wall_ms()
        )
        reply = await self._call(
            lambda number: scheduling.PutEvacuation(number, order), deadline
        )
        if reply.verdict is scheduling.Verdict.ACCEPTED:
            changed = evacuations_lib.decode(reply.content)
            self._record(changed, reply.content)
        return reply

    def _record(
        self, evacuations: evacuations_lib.Evacuations, data: bytes
    ) -> None:
        """Takes over what the log holds, and passes it on to the owner."""
        if evacuations.revision > self._cache.revision:
            self._cache.update(evacuations)
        if evacuations.revision:
            self._inform_owner(locating.GiveEvacuations(data))

    async def _call(
        self, create: t.Callable[[int], t.NamedTuple], deadline: float
    ) -> scheduling.Reply:
        timeout_s = max(deadline - clock_lib.read_monotonic(), 0.0)
        return await self._requests.call(
            lambda attempt: create(attempt.number),
            timeout_s,
            timeout_s,
            timeout_s,
        )
