"""Tests control servers and subscriptions over sockets."""

from __future__ import annotations

import asyncio
import contextlib

import pytest
import zmq
import zmq.asyncio

from skylarkcleat.directory import directory as directory_lib
from skylarkcleat.directory import options as options_lib
from skylarkcleat.directory import server as server_lib
from skylarkcleat.directory import subscription as subscription_lib
from skylarkcleat.model import member as member_lib
from tests import directory_support as support
from tests import forwarder

ANY_PORT = "tcp://127.0.0.1:*"


class Site:
    """Two control servers in this process, the first of which leads."""

    def __init__(self):
        self.directories = [directory_lib.Directory() for _ in range(2)]
        self.cluster = support.Cluster(*self.directories)
        self.servers: list[server_lib.ControlServer] = []

    @property
    def leader(self):
        return self.directories[0]

    @property
    def addresses(self):
        return [server.address for server in self.servers]

    async def start(self, stack):
        peers: tuple[options_lib.ControlPeer, ...] = ()
        for replica, directory in zip(
            self.cluster.replicas, self.directories, strict=True
        ):
            options = options_lib.ControlOptions(
                replica.name, ANY_PORT, peers=peers
            )
            server = await stack.enter_async_context(
                server_lib.create_control_server(options, replica, directory)
            )
            self.servers.append(server)
            peer = options_lib.ControlPeer(replica.name, server.address, "")
            peers = (*peers, peer)


@pytest.fixture
def run():
    """Runs a coroutine function with a site and an exit stack."""

    def run_with_site(body):
        async def main():
            async with contextlib.AsyncExitStack() as stack:
                site = Site()
                await site.start(stack)
                await body(site, stack)

        asyncio.run(main())

    return run_with_site


async def subscribe(stack, addresses, member):
    changes = []
    subscription = subscription_lib.create_subscription(
        addresses, member, changes.extend
    )
    await stack.enter_async_context(subscription)
    return subscription, changes


async def wait_until(condition):
    while not condition():
        await asyncio.sleep(0.01)


def test_a_change_is_pushed_to_an_announced_agent(run):
    async def body(site, stack):
        agent = support.make_agent("agent-1")
        follower, changes = await subscribe(stack, site.addresses[:1], agent)
        await follower.wait_in_force()
        assert follower.view.members == {"agent-1": agent}
        support.apply_profile(site.leader)
        await wait_until(lambda: "orders" in follower.view.profiles)
        assert changes[-1].profile == follower.view.profiles["orders"]

    run(body)


def test_a_follower_forwards_announcements_to_the_leader(run):
    async def body(site, stack):
        agent = support.make_agent("agent-1")
        follower, _ = await subscribe(stack, site.addresses[1:], agent)
        await follower.wait_in_force()
        assert site.leader.view.members == {"agent-1": agent}
        follower.leave()
        await wait_until(
            lambda: (
                follower.view.members["agent-1"].state
                is member_lib.MemberState.LEAVING
            )
        )

    run(body)


def test_the_first_three_agents_become_keepers_of_all_shards(run):
    async def body(site, stack):
        for number, zone in enumerate(("waycross", "valdosta", "brunswick")):
            agent = support.make_agent(f"agent-{number}", zone)
            follower, _ = await subscribe(stack, site.addresses, agent)
        shards = follower.view.shards

        def is_kept():
            return shards and all(len(s.keepers) == 3 for s in shards.values())

        def copy_shards():
            for shard in shards.values():
                follower.report_ready(shard.number, shard.epoch)
            return all(not shard.previous for shard in shards.values())

        await follower.wait_in_force()
        shards = follower.view.shards
        await wait_until(is_kept)
        await wait_until(copy_shards)

    run(body)


def test_a_subscriber_switches_from_a_replica_without_a_majority(run):
    async def body(site, stack):
        follower, _ = await subscribe(
            stack, site.addresses, support.make_agent("agent-1")
        )
        await follower.wait_in_force()
        for replica in site.cluster.replicas:
            replica.cut = True
        await wait_until(lambda: not follower.is_in_force())
        assert follower.switches > 0
        for replica in site.cluster.replicas:
            replica.cut = False
            replica.catch_up()
        await wait_until(follower.is_in_force)

    run(body)


def test_an_unresponsive_connection_is_replaced(run):
    async def body(site, stack):
        port = int(site.addresses[0].rpartition(":")[2])
        middlebox = await stack.enter_async_context(
            forwarder.Forwarder("127.0.0.1", port)
        )
        follower, _ = await subscribe(
            stack, [middlebox.address], support.make_agent("agent-1")
        )
        await follower.wait_in_force()
        middlebox.blackhole()
        support.apply_profile(site.leader)
        await wait_until(lambda: "orders" in follower.view.profiles)
        assert follower.switches >= 1
        assert middlebox.connections >= 2
        middlebox.cut()
        await wait_until(lambda: not follower.is_in_force())
        middlebox.heal()
        await wait_until(follower.is_in_force)

    run(body)


def test_an_unresponsive_agent_is_declared_dead(run):
    async def body(site, stack):
        async with contextlib.AsyncExitStack() as inner:
            gone, _ = await subscribe(
                inner, site.addresses, support.make_agent("agent-1")
            )
            await gone.wait_in_force()
        watcher, _ = await subscribe(
            stack, site.addresses, support.make_agent("agent-2")
        )
        await watcher.wait_in_force()
        await wait_until(lambda: "agent-1" not in watcher.view.members)
        assert "agent-2" in watcher.view.members

    run(body)


def test_malformed_frames_are_counted_and_the_server_keeps_serving(run):
    async def body(site, stack):
        context = zmq.asyncio.Context()
        stack.callback(context.destroy, linger=0)
        socket = context.socket(zmq.DEALER)
        socket.connect(site.addresses[0])
        for frame in (b"", b"\xc1", b"\x93\x01\x63\xc0", b"\x93\x02\x01\xc0"):
            await socket.send(frame)
        await wait_until(lambda: site.servers[0].rejected == 4)
        follower, _ = await subscribe(
            stack, site.addresses, support.make_agent("agent-1")
        )
        await follower.wait_in_force()

    run(body)
