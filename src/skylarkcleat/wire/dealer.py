"""Sockets that connect to another process."""

from __future__ import annotations

import typing as t

import zmq

CONNECT_TIMEOUT_MS = 600
"""How long one attempt to connect may take, in milliseconds.

A VM without power does not answer. The kernel tries again only after one, two
and four seconds, long after the VM may be back. Longer than any round trip
between regions, also over a link on which packets wait for half a second."""

Dealer = t.TypeVar("Dealer", bound=zmq.Socket)


def open_dealer(context: zmq.Context[Dealer]) -> Dealer:
    """Returns a socket, not connected yet, that keeps trying to connect."""
    socket = context.socket(zmq.DEALER)
    socket.setsockopt(zmq.CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS)
    return socket
