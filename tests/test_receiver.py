"""The receiver misses no message, whatever is written or closed meanwhile."""

from __future__ import annotations

import asyncio

import pytest
import zmq

from skylarkcleat.wire import receiver as receiver_lib


@pytest.fixture
def pair():
    with zmq.Context() as context:
        server, client = context.socket(zmq.ROUTER), context.socket(zmq.DEALER)
        port = server.bind_to_random_port("tcp://127.0.0.1")
        client.connect(f"tcp://127.0.0.1:{port}")
        yield server, client
        server.close(linger=0)
        client.close(linger=0)


async def _wait_until(condition):
    async with asyncio.timeout(5.0):
        while not condition():
            await asyncio.sleep(0.005)


@pytest.mark.parametrize("count", [1, receiver_lib.MAX_PER_TURN * 3])
def test_every_message_is_handled(pair, count):
    server, client = pair
    received = []

    async def run():
        with receiver_lib.Receiver(server, lambda p: received.append(p[1])):
            for number in range(count):
                client.send(str(number).encode())
            await _wait_until(lambda: len(received) == count)

    asyncio.run(run())
    assert received == [str(number).encode() for number in range(count)]


def test_a_write_takes_no_message_away(pair):
    """Each side writes at the moment in which the other's message arrives."""
    server, client = pair
    echoed = []

    async def run():
        def answer(parts):
            receiver_lib.send_or_drop(server, parts)
            first.check()

        def note(parts):
            echoed.append(parts[0])
            receiver_lib.send_or_drop(client, [b"again"])
            second.check()

        with (
            receiver_lib.Receiver(server, answer) as first,
            receiver_lib.Receiver(client, note) as second,
        ):
            for _ in range(20):
                receiver_lib.send_or_drop(client, [b"begin"])
                second.check()
            await _wait_until(lambda: len(echoed) > 2000)

    asyncio.run(run())


def test_an_error_ends_one_message_only(pair):
    server, client = pair
    received = []

    def handle(parts):
        received.append(parts[1])
        if parts[1] == b"bad":
            raise ValueError("odd")

    async def run():
        with receiver_lib.Receiver(server, handle):
            for body in (b"bad", b"good"):
                client.send(body)
            await _wait_until(lambda: len(received) == 2)

    asyncio.run(run())


def test_a_handler_may_close_its_socket(pair):
    server, client = pair
    received = []

    async def run():
        def close(parts):
            received.append(parts)
            receiver.__exit__()
            server.close(linger=0)

        receiver = receiver_lib.Receiver(server, close)
        with receiver:
            for _ in range(5):
                client.send(b"x")
            await _wait_until(lambda: bool(received))
            await asyncio.sleep(0.05)

    asyncio.run(run())
    assert len(received) == 1
