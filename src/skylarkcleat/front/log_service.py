"""Serves operators' requests on the leader of the log."""

from __future__ import annotations

import typing as t

import eliot

from skylarkcleat import supervision
from skylarkcleat.configuration import content
from skylarkcleat.configuration import record as record_lib
from skylarkcleat.configuration import store as store_lib
from skylarkcleat.consensus import driver as driver_lib
from skylarkcleat.consensus import log as log_lib
from skylarkcleat.front import evacuation_service
from skylarkcleat.protocol import scheduling
from skylarkcleat.wire import session as session_lib


class LogService:
    """Appends configurations and orders for zones to the log and reads them.

    Args:
        store: What the log holds.
        log: The log; None on a front without a disk.
        send: Sends a message to one incarnation of a front.
    """

    def __init__(
        self,
        store: store_lib.Store,
        log: driver_lib.LogDriver | None,
        send: t.Callable[[session_lib.Endpoint, t.Any], None],
    ) -> None:
        self._store = store
        self._log = log
        self._send = send
        self._evacuations = evacuation_service.EvacuationService(store, log)
        self._calls = supervision.BackgroundTasks("serve the log")

    def receive(
        self,
        peer: session_lib.Endpoint,
        message: scheduling.LogMessage,
    ) -> None:
        """Handles a front's request; replies once the outcome is certain."""
        if self._log is None or not self._log.is_leading:
            verdict = scheduling.Verdict.NOT_OWNER
            self._reply(peer, message.request, verdict)
        elif isinstance(message, scheduling.PutConfiguration):
            self._receive_put(peer, message)
        elif isinstance(message, scheduling.PutEvacuation):
            self._calls.spawn(
                self._pass_reply(peer, self._evacuations.put(message))
            )
        elif isinstance(message, scheduling.ReadEvacuations):
            reading = self._evacuations.read(message.request)
            self._calls.spawn(self._pass_reply(peer, reading))
        else:
            self._calls.spawn(self._read(peer, message))

    def _receive_put(
        self, peer: session_lib.Endpoint, message: scheduling.PutConfiguration
    ) -> None:
        try:
            content.decode(message.content)
        except content.ContentError as error:
            verdict = scheduling.Verdict.INVALID
            self._reply(peer, message.request, verdict, str(error))
            return
        self._calls.spawn(self._put(peer, message))

    async def _put(
        self, peer: session_lib.Endpoint, message: scheduling.PutConfiguration
    ) -> None:
        record = record_lib.Replace(message.version, message.content)
        answer = await self._log.propose(record_lib.CODEC.encode(record))
        verdict = scheduling.Verdict.UNCERTAIN
        if isinstance(answer, log_lib.Applied):
            verdict = scheduling.Verdict.ACCEPTED
            eliot.log_message(
                "log:configuration",
                version=message.version,
                in_force=self._store.configuration.version,
                index=answer.index,
            )
        self._reply(peer, message.request, verdict)

    async def _read(
        self,
        peer: session_lib.Endpoint,
        message: scheduling.ReadConfiguration,
    ) -> None:
        answer = await self._log.confirm()
        if not isinstance(answer, log_lib.Freshness):
            verdict = scheduling.Verdict.UNCERTAIN
            self._reply(peer, message.request, verdict, answer.detail)
            return
        data = content.encode(self._store.configuration)
        verdict = scheduling.Verdict.ACCEPTED
        reply = scheduling.Reply(message.request, verdict, content=data)
        self._send(peer, reply)

    async def _pass_reply(
        self,
        peer: session_lib.Endpoint,
        reply: t.Coroutine[t.Any, t.Any, scheduling.Reply],
    ) -> None:
        self._send(peer, await reply)

    def _reply(
        self,
        peer: session_lib.Endpoint,
        request: int,
        verdict: scheduling.Verdict,
        detail: str = "",
    ) -> None:
        self._send(peer, scheduling.Reply(request, verdict, detail))
