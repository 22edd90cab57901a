"""Serves orders for zones on the leader of the log."""

from __future__ import annotations

import eliot

from skylarkcleat.configuration import evacuations as evacuations_lib
from skylarkcleat.configuration import record as record_lib
from skylarkcleat.configuration import store as store_lib
from skylarkcleat.consensus import log as log_lib
from skylarkcleat.protocol import scheduling

_STALE = "the zone was changed since the order was received"


class EvacuationService:
    """Appends orders to the log and reads the evacuations.

    Args:
        store: What the log holds.
        log: The log, which this replica leads when it is called.
    """

    def __init__(
        self, store: store_lib.Store, log: log_lib.ReplicatedLog
    ) -> None:
        self._store = store
        self._log = log

    async def read(self, request: int) -> scheduling.Reply:
        """Returns the evacuations that a majority confirms."""
        answer = await self._log.confirm()
        if not isinstance(answer, log_lib.Freshness):
            verdict = scheduling.Verdict.NOT_RUN
            return scheduling.Reply(request, verdict, answer.detail)
        return self._accept(request)

    async def put(self, message: scheduling.PutEvacuation) -> scheduling.Reply:
        """Returns a reply once an order is durable, or known to be stale."""
        order = message.order
        answer = await self._log.propose(record_lib.CODEC.encode(order))
        if not isinstance(answer, log_lib.Applied):
            verdict = scheduling.Verdict.UNCERTAIN
            return scheduling.Reply(message.request, verdict, answer.detail)
        eliot.log_message(
            "log:zone-order",
            zone=order.zone,
            evacuate=order.is_evacuated,
            result=answer.result.decode(),
            revision=self._store.evacuations.revision,
            index=answer.index,
        )
        if answer.result == store_lib.STALE:
            verdict = scheduling.Verdict.NOT_RUN
            return scheduling.Reply(message.request, verdict, _STALE)
        return self._accept(message.request)

    def _accept(self, request: int) -> scheduling.Reply:
        data = evacuations_lib.encode(self._store.evacuations)
        verdict = scheduling.Verdict.ACCEPTED
        return scheduling.Reply(request, verdict, content=data)
