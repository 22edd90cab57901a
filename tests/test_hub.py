from __future__ import annotations

import asyncio
import contextlib
import typing as t

import pytest

from skylarkcleat.wire import event as event_lib
from skylarkcleat.wire import hub as hub_lib
from skylarkcleat.wire import session as session_lib
from skylarkcleat.wire import stamper
from tests import forwarder as forwarder_lib

ANY_PORT = "tcp://127.0.0.1:0"


class Number(t.NamedTuple):
    value: int


def _create_hub(name: str, incarnation: int = 1, bind: str = ANY_PORT):
    return hub_lib.create_hub(
        session_lib.Endpoint(name, incarnation),
        bind,
        [Number],
        stamper.NullStamper(),
    )


async def _receive(hub: hub_lib.Hub, count: int) -> list[int]:
    values = []
    while len(values) < count:
        event = await hub.events.get()
        if isinstance(event, event_lib.Received):
            values.append(event.message.value)
    return values


async def _receive_lost(hub: hub_lib.Hub) -> event_lib.Lost:
    while True:
        event = await hub.events.get()
        if isinstance(event, event_lib.Lost):
            return event


@contextlib.asynccontextmanager
async def _connect_pair():
    async with _create_hub("agent") as agent, _create_hub("entry") as entry:
        port = int(agent.address.rsplit(":", 1)[1])
        async with forwarder_lib.Forwarder("127.0.0.1", port) as forwarder:
            entry.connect(agent.local, forwarder.address)
            yield entry, agent, forwarder


def test_messages_arrive_in_order_in_both_directions():
    async def run():
        async with _connect_pair() as (entry, agent, _):
            for value in range(100):
                entry.send(agent.local, Number(value))
            assert await _receive(agent, 100) == list(range(100))
            agent.send(entry.local, Number(7))
            assert await _receive(entry, 1) == [7]
            assert entry.messages_sent == {"Number": 100}

    asyncio.run(run())


def test_a_blackholed_connection_is_replaced_without_message_loss():
    async def run():
        async with _connect_pair() as (entry, agent, forwarder):
            entry.send(agent.local, Number(0))
            assert await _receive(agent, 1) == [0]
            forwarder.blackhole()
            for value in range(1, 20):
                entry.send(agent.local, Number(value))
                agent.send(entry.local, Number(value))
            assert await _receive(agent, 19) == list(range(1, 20))
            assert await _receive(entry, 19) == list(range(1, 20))
            assert forwarder.connections == 2

    asyncio.run(run())


def test_a_peer_that_stays_unreachable_is_reported_lost_on_both_sides():
    async def run():
        async with _connect_pair() as (entry, agent, forwarder):
            entry.send(agent.local, Number(0))
            assert await _receive(agent, 1) == [0]
            forwarder.cut()
            assert (await _receive_lost(entry)).peer == agent.local
            assert (await _receive_lost(agent)).peer == entry.local
            assert entry.send(agent.local, Number(1)).peer == "agent"

    asyncio.run(run())


def test_a_message_for_an_earlier_incarnation_is_not_delivered():
    async def run():
        async with _create_hub("agent", 1) as old:
            address = old.address
        async with (
            _create_hub("agent", 2, address) as new,
            _create_hub("entry") as entry,
        ):
            entry.connect(session_lib.Endpoint("agent", 1), address)
            entry.send(session_lib.Endpoint("agent", 1), Number(1))
            assert "started again" in (await _receive_lost(entry)).detail
            entry.connect(session_lib.Endpoint("agent", 2), address)
            entry.send(new.local, Number(2))
            assert await _receive(new, 1) == [2]

    asyncio.run(run())


@pytest.mark.parametrize("data", [b"", b"\x00", b"\x93\x01\x02\x03"])
def test_a_malformed_frame_is_ignored(data):
    async def run():
        async with _connect_pair() as (entry, agent, _):
            assert agent._inbox.decode(data) is None
            entry.send(agent.local, Number(3))
            assert await _receive(agent, 1) == [3]

    asyncio.run(run())
