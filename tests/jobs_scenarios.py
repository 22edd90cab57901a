"""Short runs, each of which violates an invariant if one rule is missing."""

from __future__ import annotations

from skylarkcleat.protocol import claiming
from skylarkcleat.protocol import dispatching
from skylarkcleat.protocol import fencing
from tests import jobs_world


def create(**sizes):
    world = jobs_world.World(**sizes)
    return world, jobs_world.create_id(world.now_ms, 1)


def start_at(world, ref):
    """Places the first ready tasks at an agent and starts them."""
    if world.ready:
        world.place(ref)
        world.deliver_to(ref, kind=dispatching.Dispatch)
        while world.agents[ref].queue:
            world.agents[ref].start()


def lose_messages(world, *refs):
    world.network = [each for each in world.network if each.to not in refs]


def replace_entry(world, ref):
    world.crash(ref)
    world.notify_departure(ref)


def revoke_overtakes_dispatch():
    """A dispatch arrives after the revocation of its task."""
    world, job = create()
    world.submit(next(iter(world.entries)), job, budget=1.0)
    world.drain_network()
    world.place()
    dispatch = world.network.pop()
    world.advance(1.1)
    world.drain_network()
    world.network.append(dispatch)
    world.run(5.0)


def refused_dispatch_is_repeated():
    """A copy of a refused dispatch arrives after the start elsewhere."""
    world, job = create()
    agents = tuple(world.agents)
    world.submit(next(iter(world.entries)), job)
    world.drain_network()
    world.place(agents[0])
    late = world.network[-1]
    world.drain_network()
    world.agents[agents[0]].refuse()
    world.drain_network()
    start_at(world, agents[1])
    world.network.append(late)
    world.run(5.0)


def one_of_three_keepers_is_reachable():
    """A new epoch reaches only the previous keeper without the claim."""
    world, job = create(agents=4)
    first, second = world.entries
    agents = tuple(world.agents)
    keepers = agents[:3]
    world.submit(first, job)
    world.deliver_to(keepers[0])
    lose_messages(world, keepers[2])
    world.deliver_to(keepers[1])
    world.deliver_to(keepers[0])
    world.deliver_to(first)
    start_at(world, agents[3])
    replace_entry(world, first)
    world.frozen |= set(keepers[:2])
    world.change_shard(keepers[2:], keepers)
    world.submit(second, job)
    world.run(1.0)
    world.frozen.clear()
    world.run(10.0)


def primary_fails_before_replicating():
    """The primary and the entry fail; no backup has recorded the claim."""
    world, job = create(agents=4)
    first, second = world.entries
    agents = tuple(world.agents)
    world.submit(first, job)
    world.deliver_to(agents[0])
    lose_messages(world, *agents[1:])
    world.deliver_to(first)
    start_at(world, agents[3])
    replace_entry(world, first)
    world.crash(agents[0])
    world.change_shard(agents[1:3], agents[:3])
    world.submit(second, job)
    world.run(10.0)


def keepers_run_on_after_lease_expiry():
    """Keepers without a link to control are replaced, but still run."""
    world, _ = create(agents=4)
    first, second = world.entries
    agents = tuple(world.agents)
    world.partitioned = {first, *agents[:3]}
    world.lose_keepers(agents[3:])
    world.advance(15.0)
    job = jobs_world.create_id(world.now_ms, 1)
    world.submit(first, job)
    world.drain_network()
    start_at(world, agents[3])
    world.submit(second, job)
    world.run(10.0)


def reports_arrive_an_epoch_late():
    """Fence reports arrive after the owner has claimed a later epoch."""
    world, job = create(entries=3)
    first, second, third = world.entries
    agents = tuple(world.agents)
    world.submit(first, job)
    world.drain_network()
    world.frozen.add(first)
    world.notify_departure(first, [second, third])
    world.submit(second, job)
    world.deliver_to(*agents, kind=claiming.KeeperMessage)
    world.deliver_to(second, kind=claiming.Decided)
    world.deliver_to(*agents, kind=claiming.KeeperMessage)
    world.deliver_to(second, kind=claiming.Decided)
    world.deliver_to(*agents)
    late = [
        each
        for each in world.network
        if isinstance(each.message, fencing.FenceReport)
    ]
    world.drain_network()
    world.frozen.add(second)
    world.notify_departure(second, [third])
    world.submit(third, job)
    world.drain_network()
    world.ready.sort(key=lambda item: item[0] != third)
    start_at(world, agents[2])
    world.frozen = {first, third}
    world.ready.sort(key=lambda item: item[0] != second)
    world.place(agents[0])
    world.notify_departure(third, [second])
    world.deliver_to(agents[0])
    world.deliver_to(second, *agents, kind=claiming.KeeperMessage)
    for _ in range(3):
        world.deliver_to(second, kind=dispatching.Refusal)
        world.deliver_to(*agents, kind=claiming.KeeperMessage)
        world.deliver_to(second, kind=claiming.Decided)
    world.network = late + world.network
    world.run(10.0)


def an_uninstalled_copy_is_collected():
    """A keeper that missed an epoch sends claims of the epoch before it."""
    world, job = create(agents=4)
    first, second = world.entries
    agents = tuple(world.agents)
    world.submit(first, job)
    world.deliver_to(agents[0])
    world.network.clear()
    world.partitioned = {agents[0], first}
    world.frozen.add(agents[0])
    world.change_shard((agents[1], agents[2], agents[0]), agents[:3])
    world.advance(0.1)
    world.deliver_to(*agents[1:3])
    world.submit(second, job)
    world.drain_network()
    start_at(world, agents[3])
    world.partitioned = set()
    world.frozen = {agents[2], second}
    world.change_shard((agents[1], agents[0], agents[2]), world.shard.keepers)
    world.deliver_to(agents[1])
    world.run(10.0)
