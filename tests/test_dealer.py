from __future__ import annotations

import time

import zmq

from skylarkcleat.wire import dealer
from tests import full_listener


def test_a_peer_that_dropped_the_first_packets_is_reached_soon_after():
    """The kernel alone tries again only after one and after two seconds."""
    with (
        full_listener.listen_without_room() as listener,
        zmq.Context() as context,
        dealer.open_dealer(context) as socket,
    ):
        socket.setsockopt(zmq.LINGER, 0)
        socket.connect(f"tcp://127.0.0.1:{listener.getsockname()[1]}")
        time.sleep(1.1)
        full_listener.make_room(listener)
        listener.settimeout(0.6)
        accepted, _ = listener.accept()
        accepted.close()
