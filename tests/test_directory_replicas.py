"""Tests the directory on the real log: three replicas in this process."""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket

import pytest

from skylarkcleat.consensus import driver
from skylarkcleat.consensus import limits
from skylarkcleat.consensus import log as log_lib
from skylarkcleat.consensus import settings as settings_lib
from skylarkcleat.directory import command as command_lib
from skylarkcleat.directory import directory as directory_lib
from skylarkcleat.directory import options as options_lib
from skylarkcleat.directory import result as result_lib
from skylarkcleat.directory import server as server_lib
from skylarkcleat.directory import subscription as subscription_lib
from tests import directory_support as support

NAMES = ("control-1", "control-2", "control-3")


class Replica:
    """One control replica that can be stopped and started again."""

    def __init__(self, name, folder, addresses, peers):
        self.name = name
        self.peers = peers
        self.settings = settings_lib.Settings(
            name,
            folder,
            addresses[name],
            {peer: addresses[peer] for peer in NAMES if peer != name},
            founding=True,
            limits=limits.Limits(snapshot_entries=50, trailing_entries=10),
        )
        self.stack = contextlib.AsyncExitStack()

    async def start(self):
        self.directory = directory_lib.Directory()
        seed = random.Random(self.name)
        self.log = await self.stack.enter_async_context(
            driver.create_replicated_log(self.settings, self.directory, seed)
        )
        others = [peer for peer in self.peers if peer.name != self.name]
        (own,) = (peer for peer in self.peers if peer.name == self.name)
        options = options_lib.ControlOptions(
            self.name, own.address, peers=tuple(others)
        )
        self.server = await self.stack.enter_async_context(
            server_lib.create_control_server(options, self.log, self.directory)
        )

    async def stop(self):
        await self.stack.aclose()
        self.stack = contextlib.AsyncExitStack()


def reserve_address():
    with socket.socket() as reserved:
        reserved.bind(("127.0.0.1", 0))
        return f"tcp://127.0.0.1:{reserved.getsockname()[1]}"


async def start_replicas(tmp_path, stack):
    log_addresses = {name: reserve_address() for name in NAMES}
    peers = tuple(
        options_lib.ControlPeer(name, reserve_address(), "") for name in NAMES
    )
    replicas = {}
    for name in NAMES:
        replica = Replica(name, tmp_path / name, log_addresses, peers)
        await replica.start()
        stack.push_async_callback(replica.stop)
        replicas[name] = replica
    return replicas, [peer.address for peer in peers]


async def subscribe(stack, addresses, name):
    agent = support.make_agent(name)
    subscription = subscription_lib.create_subscription(
        addresses, agent, lambda changes: None
    )
    await stack.enter_async_context(subscription)
    await subscription.wait_in_force()
    return subscription


async def wait_until(condition):
    while not condition():
        await asyncio.sleep(0.01)


async def find_leader(replicas):
    def leads():
        return [one for one in replicas.values() if one.server.is_leader]

    await wait_until(leads)
    return leads()[0]


async def propose(replicas, command):
    """Proposes a command until its commit is confirmed, like an operator."""
    while True:
        leader = await find_leader(replicas)
        answer = await leader.log.propose(command_lib.encode(command))
        if isinstance(answer, log_lib.Applied):
            return result_lib.decode(answer.result)
        await asyncio.sleep(0.05)


def make_command(expected, key, **fields):
    author = command_lib.Author("ada", "test", key)
    profile = support.make_profile(**fields)
    return command_lib.ApplyProfile(author, support.AT_MS, expected, profile)


@pytest.fixture
def run(tmp_path):
    def run_with_replicas(body):
        async def main():
            async with contextlib.AsyncExitStack() as stack:
                await body(*await start_replicas(tmp_path, stack), stack)

        asyncio.run(main())

    return run_with_replicas


def test_changes_survive_the_leader_and_never_revert(run):
    async def body(replicas, addresses, stack):
        follower = await subscribe(stack, addresses, "agent-1")
        for version in range(20):
            await propose(replicas, make_command(version, f"key-{version}"))
        leader = await find_leader(replicas)
        await leader.stop()
        del replicas[leader.name]
        await propose(replicas, make_command(20, "key-20", urgency=9))
        await wait_until(lambda: follower.view.profiles["orders"].version == 21)
        await wait_until(follower.is_in_force)
        first = await propose(replicas, make_command(0, "key-0"))
        assert first.profile.version == 1
        await leader.start()
        stack.push_async_callback(leader.stop)
        await wait_until(
            lambda: leader.directory.view.revision == follower.view.revision
        )
        assert leader.directory.view.profiles["orders"].version == 21

    run(body)


def test_hundreds_of_changes_survive_the_restart_of_all_replicas(run):
    async def body(replicas, addresses, stack):
        follower = await subscribe(stack, addresses, "agent-1")
        for version in range(300):
            await propose(replicas, make_command(version, f"key-{version}"))
        for replica in replicas.values():
            await replica.stop()
        for replica in replicas.values():
            await replica.start()
        first = await propose(replicas, make_command(7, "key-7"))
        assert first.profile.version == 8
        late = await propose(replicas, make_command(7, "key-late"))
        assert late.version == 300
        await propose(replicas, make_command(300, "key-300"))
        await wait_until(
            lambda: follower.view.profiles["orders"].version == 301
        )
        await wait_until(follower.is_in_force)

    run(body)


def test_without_a_majority_no_new_work_is_accepted(run):
    async def body(replicas, addresses, stack):
        follower = await subscribe(stack, addresses, "agent-1")
        for name in NAMES[:2]:
            await replicas[name].stop()
        await wait_until(lambda: not follower.is_in_force())
        await replicas["control-1"].start()
        await wait_until(follower.is_in_force)

    run(body)
