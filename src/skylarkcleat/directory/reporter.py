"""Sends a following replica's reports of members to the leader."""

from __future__ import annotations

import types
import typing as t

import zmq
import zmq.asyncio

from skylarkcleat.directory import options as options_lib
from skylarkcleat.protocol import subscribing
from skylarkcleat.wire import dealer

_SEND_QUEUE_MESSAGES = 16


class Reporter:
    """Sends reports to the leader; use it in a `with` block."""

    def __init__(
        self,
        context: zmq.asyncio.Context,
        peers: t.Iterable[options_lib.ControlPeer],
    ):
        """Creates a reporter without a connection.

        Args:
            context: The process's ZeroMQ context.
            peers: The other replicas.
        """
        self._context = context
        self._addresses = {peer.name: peer.address for peer in peers}
        self._leader = ""
        self._socket: zmq.asyncio.Socket | None = None

    def __enter__(self) -> Reporter:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        self._close()

    async def send(self, leader: str, report: subscribing.Report) -> bool:
        """Sends a report, without confirmation of its arrival.

        Args:
            leader: The name of the replica that leads.
            report: What members sent to this replica.

        Returns:
            Whether the report was queued for sending.
        """
        if leader not in self._addresses:
            return False
        if leader != self._leader or self._socket is None:
            self._connect(leader)
        socket = t.cast(zmq.asyncio.Socket, self._socket)
        try:
            await socket.send(subscribing.encode(report), zmq.NOBLOCK)
        except zmq.Again:
            # The queue is full, so the connection may be dead; the next
            # report opens a new one.
            self._close()
            return False
        return True

    def _connect(self, leader: str) -> None:
        self._close()
        self._leader = leader
        self._socket = dealer.open_dealer(self._context)
        self._socket.set(zmq.LINGER, 0)
        self._socket.set(zmq.SNDHWM, _SEND_QUEUE_MESSAGES)
        self._socket.connect(self._addresses[leader])

    def _close(self) -> None:
        if self._socket is not None:
            self._socket.close()
            self._socket = None
