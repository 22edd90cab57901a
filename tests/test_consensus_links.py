"""Links over connections that stop delivering, and rejected messages."""

import asyncio
import socket

import pytest

from skylarkcleat.consensus import codec
from skylarkcleat.consensus import identity as identity_lib
from skylarkcleat.consensus import links as links_lib
from skylarkcleat.consensus import message as message_lib
from tests import forwarder as forwarder_lib

ENVELOPE = message_lib.Envelope(
    "cluster",
    identity_lib.Identity("a", "1"),
    identity_lib.Identity("b", "2"),
    message_lib.Campaign(7),
)


def find_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def test_an_unresponsive_connection_is_replaced_by_a_new_one():
    async def run():
        ports = [find_port(), find_port()]
        forwarder = forwarder_lib.Forwarder("127.0.0.1", ports[1])
        async with forwarder:
            await replace_connection(forwarder, ports)

    asyncio.run(run())


async def replace_connection(forwarder, ports):
    arrived = asyncio.Event()
    first = links_lib.Links(
        "a",
        f"tcp://127.0.0.1:{ports[0]}",
        {"b": forwarder.address},
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
        forwarder.blackhole()
        replaced = first.replaced_sockets
        await wait_for_replacement(first, replaced)
        arrived.clear()
        await send_until(first, arrived)


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
