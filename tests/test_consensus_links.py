"""Links over connections that stop delivering, and rejected messages."""

import asyncio
import socket

import pytest

from skylarkcleat.consensus import codec
from skylarkcleat.consensus import identity as identity_lib
from skylarkcleat.consensus import links as links_lib
from skylarkcleat.consensus import message as message_lib

ENVELOPE = message_lib.Envelope(
    "cluster",
    identity_lib.Identity("a", "1"),
    identity_lib.Identity("b", "2"),
    message_lib.Campaign(7),
)


class Forwarder:
    """Forwards connections until asked to stop, without closing them."""

    def __init__(self, port):
        self.port = port
        self.tasks = []

    async def accept(self, reader, writer):
        remote_reader, remote_writer = await asyncio.open_connection(
            "127.0.0.1", self.port
        )
        for ends in ((reader, remote_writer), (remote_reader, writer)):
            self.tasks.append(asyncio.create_task(self.copy(*ends)))

    async def copy(self, reader, writer):
        while data := await reader.read(65536):
            writer.write(data)

    def stop_forwarding(self):
        """Stops forwarding on the open connections, but leaves them open."""
        for task in self.tasks:
            task.cancel()


def find_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def test_an_unresponsive_connection_is_replaced_by_a_new_one():
    async def run():
        ports = [find_port(), find_port()]
        forwarder = Forwarder(ports[1])
        server = await asyncio.start_server(forwarder.accept, "127.0.0.1", 0)
        forwarded_port = server.sockets[0].getsockname()[1]
        arrived = asyncio.Event()
        first = links_lib.Links(
            "a",
            f"tcp://127.0.0.1:{ports[0]}",
            {"b": f"tcp://127.0.0.1:{forwarded_port}"},
            print,
        )
        second = links_lib.Links(
            "b",
            f"tcp://127.0.0.1:{ports[1]}",
            {"a": f"tcp://127.0.0.1:{ports[0]}"},
            lambda envelope: arrived.set(),
        )
        async with first, second:
            await send_until(first, arrived)
            forwarder.stop_forwarding()
            replaced = first.replaced_sockets
            await wait_for_replacement(first, replaced)
            arrived.clear()
            await send_until(first, arrived)
        server.close()

    asyncio.run(run())


async def wait_for_replacement(links, replaced):
    while True:
        if links.replaced_sockets > replaced:
            return
        await asyncio.sleep(0.01)


async def send_until(links, arrived):
    while not arrived.is_set():
        links.send(ENVELOPE)
        await asyncio.sleep(0.01)


def test_an_envelope_survives_its_encoding():
    assert codec.decode(codec.encode(ENVELOPE)) == ENVELOPE


def test_another_protocol_version_is_refused(monkeypatch):
    monkeypatch.setattr(codec, "VERSION", 9)
    data = codec.encode(ENVELOPE)
    monkeypatch.undo()
    with pytest.raises(codec.DecodeError, match="version 9, expected 1"):
        codec.decode(data)


@pytest.mark.parametrize("data", [b"", b"\x00", b"\xff" * 40])
def test_other_bytes_are_refused(data):
    with pytest.raises(codec.DecodeError):
        codec.decode(data)
