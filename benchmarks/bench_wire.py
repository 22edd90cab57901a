"""Measures the cost of a session between two members, idle and in use.

Run: `python -m benchmarks.bench_wire`. One hub connects to many in the same
process. Processor time and memory are those of the process, so the cost of one
end of a session is about half of what is measured.
"""

from __future__ import annotations

import asyncio
import resource
import time
import typing as t

import typer
import uvloop

from skylarkcleat import clock as clock_lib
from skylarkcleat.wire import event as event_lib
from skylarkcleat.wire import hub as hub_lib
from skylarkcleat.wire import session as session_lib
from skylarkcleat.wire import stamper

_KIB = 1024
_MICROSECONDS = 1e6
_IDLE_S = 3.0
_MESSAGES = 20_000


class Payload(t.NamedTuple):
    """A message of a typical size."""

    body: bytes


class Row(t.NamedTuple):
    """The result for one number of sessions.

    Attributes:
        sessions: The number of sessions.
        idle_share: The share of a core spent on one idle session, both ends.
        memory_bytes: The memory of one session, both ends.
        message_us: Processor time of one message, both ends, in
            microseconds.
    """

    sessions: int
    idle_share: float
    memory_bytes: float
    message_us: float


def create_hub(name: str, bind: str) -> hub_lib.Hub:
    """Returns a hub that is not yet open."""
    local = session_lib.Endpoint(name, clock_lib.read_wall_ms())
    return hub_lib.create_hub(local, bind, [Payload], stamper.NullStamper())


def read_memory() -> int:
    """Returns the process's peak memory, in bytes."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * _KIB


async def measure(sessions: int) -> Row:
    """Returns the cost of a number of sessions."""
    before = read_memory()
    async with create_hub("entry", "") as entry:
        agents = [
            create_hub(f"agent-{i}", "tcp://127.0.0.1:0")
            for i in range(sessions)
        ]
        for agent in agents:
            await agent.__aenter__()
            entry.connect(agent.local, agent.address)
        await asyncio.sleep(1.0)
        memory = (read_memory() - before) / sessions
        begin = time.process_time()
        await asyncio.sleep(_IDLE_S)
        idle = (time.process_time() - begin) / _IDLE_S / sessions
        message_us = await measure_messages(entry, agents)
        for agent in agents:
            await agent.__aexit__()
    return Row(sessions, idle, memory, message_us)


async def measure_messages(
    entry: hub_lib.Hub, agents: list[hub_lib.Hub]
) -> float:
    """Returns the processor time of one message, in microseconds."""
    message = Payload(b"x" * 200)
    begin = time.process_time()
    for turn in range(_MESSAGES // len(agents)):
        for agent in agents:
            entry.send(agent.local, message)
        if turn % 8 == 0:
            await asyncio.sleep(0)
    received = 0
    for agent in agents:
        while received < _MESSAGES // len(agents) * len(agents):
            event = await agent.events.get()
            received += isinstance(event, event_lib.Received)
            if agent.events.empty():
                break
    spent = time.process_time() - begin
    return spent / _MESSAGES * _MICROSECONDS


def main() -> None:
    """Prints a row for each number of sessions."""
    for sessions in (10, 40, 160):
        row = uvloop.run(measure(sessions))
        print(
            f"{row.sessions:>4} sessions: idle {row.idle_share:.4%} of a core "
            f"a session, memory {row.memory_bytes / _KIB:.0f} KiB a session, "
            f"{row.message_us:.1f} us a message"
        )


if __name__ == "__main__":
    typer.run(main)
