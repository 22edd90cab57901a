"""A listener that drops the first packet of a connection for a while.

A VM without power does the same: the kernel sends that packet again only after
a second.
"""

from __future__ import annotations

import contextlib
import socket
import typing as t


@contextlib.contextmanager
def listen_without_room() -> t.Iterator[socket.socket]:
    """Yields a listener whose queue of connections is full."""
    with contextlib.ExitStack() as stack:
        listener = stack.enter_context(socket.socket())
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        for _ in range(2):
            filler = stack.enter_context(socket.socket())
            filler.setblocking(False)
            filler.connect_ex(listener.getsockname())
        yield listener


def make_room(listener: socket.socket) -> None:
    """Accepts the connections that filled the queue."""
    listener.settimeout(0.05)
    with contextlib.suppress(TimeoutError):
        while True:
            listener.accept()[0].close()
