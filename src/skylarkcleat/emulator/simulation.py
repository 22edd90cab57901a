"""Runs of the real dispatchers and schedulers under virtual time."""

from __future__ import annotations

import collections
import random
import typing as t

from skylarkcleat.dispatch import dispatcher as dispatcher_lib
from skylarkcleat.dispatch import fair_queue
from skylarkcleat.dispatch import router as router_lib
from skylarkcleat.dispatch import task_queue
from skylarkcleat.emulator import agent as agent_lib
from skylarkcleat.emulator import entry as entry_lib
from skylarkcleat.emulator import event_queue
from skylarkcleat.emulator import network as network_lib
from skylarkcleat.emulator import runner as runner_lib
from skylarkcleat.emulator import workload
from skylarkcleat.model import member as member_lib

ENTRIES = 3
SLOTS = 8
CONNECTIONS = 64
ZONES = ("waycross", "valdosta", "brunswick")


class Policy(t.NamedTuple):
    """The scheduling policy under test.

    Attributes:
        name: The name in reports.
        create_router: Creates an entry's router from a seed.
        create_entry_queue: Creates the queue of an entry.
        create_agent_queue: Creates the queue of an agent.
    """

    name: str
    create_router: t.Callable[[int], router_lib.Router]
    create_entry_queue: t.Callable[[], task_queue.TaskQueue]
    create_agent_queue: t.Callable[[], task_queue.TaskQueue]


class Outcome(t.NamedTuple):
    """The results of a run.

    Attributes:
        responses: The response time of each answered job, in seconds.
        refused: The jobs refused before any start.
        failed: The jobs that failed after a start.
        cancelled: The jobs that callers cancelled.
        messages: Messages sent, by kind.
        most_running: The most tasks that ran on any agent at the same time.
        leaked: Attempts still queued or running on agents after the run.
    """

    responses: dict[str, float]
    refused: frozenset[str]
    failed: frozenset[str]
    cancelled: frozenset[str]
    messages: collections.Counter
    most_running: int
    leaked: int

    def find_waste(self) -> float:
        """Returns the fraction of messages beyond two per answered task."""
        total = sum(self.messages.values())
        useful = 2 * self.messages["answer"]
        return (total - useful) / total if total else 0.0


def create_policy() -> Policy:
    """Returns the policy that the entry and agent processes use."""
    return Policy(
        "skylarkcleat",
        router_lib.create_router,
        fair_queue.create_fair_queue,
        fair_queue.create_fair_queue,
    )


def simulate(
    jobs: t.Sequence[workload.JobSpec],
    runners: t.Sequence[runner_lib.Runner],
    policy: Policy,
    seed: int,
    faults: runner_lib.Faults = runner_lib.NO_FAULTS,
    entry_count: int = ENTRIES,
) -> Outcome:
    """Runs a workload until no event is left.

    Args:
        jobs: The jobs in the order of their arrival.
        runners: The runners, one agent beside each.
        policy: The policy under test.
        seed: Makes delays and random choices reproducible.
        faults: The faults of the run.
        entry_count: How many entries there are.
    """
    events = event_queue.EventQueue()
    network = network_lib.Network(events, random.Random(seed))
    agents = [
        agent_lib.Agent(
            _create_member(runner),
            runner,
            faults,
            events,
            network,
            policy.create_agent_queue(),
        )
        for runner in runners
    ]
    fleet = {agent.member.name: agent for agent in agents}
    entries = [
        entry_lib.Entry(
            f"entry-{i}",
            _create_dispatcher(i, policy, seed),
            fleet,
            events,
            network,
        )
        for i in range(entry_count)
    ]
    for entry in entries:
        for agent in agents:
            entry.dispatcher.add_agent(agent.member, 0.0)
    _schedule(jobs, entries, faults, events, random.Random(seed + 1))
    events.run()
    return _collect(entries, agents, network)


def _create_member(runner: runner_lib.Runner) -> member_lib.Member:
    return member_lib.Member(
        f"agent-{runner.position}",
        1,
        member_lib.Role.AGENT,
        ZONES[runner.position % len(ZONES)],
        "",
        workload.UPSTREAM,
        SLOTS,
        CONNECTIONS,
    )


def _create_dispatcher(
    position: int, policy: Policy, seed: int
) -> dispatcher_lib.Dispatcher:
    return dispatcher_lib.create_dispatcher(
        f"entry-{position}",
        ZONES[position % len(ZONES)],
        seed * 1000 + position,
        policy.create_router(seed * 1000 + position),
        policy.create_entry_queue(),
    )


def _schedule(
    jobs: t.Sequence[workload.JobSpec],
    entries: t.Sequence[entry_lib.Entry],
    faults: runner_lib.Faults,
    events: event_queue.EventQueue,
    rng: random.Random,
) -> None:
    for job in jobs:
        events.schedule(job.at, _submit, job, entries)
    for crash in faults.crashes:
        for entry in entries:
            events.schedule(
                crash.detected_at,
                entry.handle_agent_loss,
                f"agent-{crash.runner}",
            )
    for loss in faults.entry_losses:
        events.schedule(loss.at, entries[loss.entry].stop)
    for cancellation in faults.mass_cancellations:
        for entry in entries:
            events.schedule(
                cancellation.at,
                entry.cancel_fraction,
                cancellation.fraction,
                rng,
            )


def _submit(
    job: workload.JobSpec, entries: t.Sequence[entry_lib.Entry]
) -> None:
    """Submits a job to its entry, or to the next one that is alive."""
    for step in range(len(entries)):
        entry = entries[(job.entry + step) % len(entries)]
        if entry.alive:
            entry.submit(job)
            return


def _collect(
    entries: t.Sequence[entry_lib.Entry],
    agents: t.Sequence[agent_lib.Agent],
    network: network_lib.Network,
) -> Outcome:
    responses: dict[str, float] = {}
    for entry in entries:
        responses.update(entry.responses)
    return Outcome(
        responses,
        frozenset().union(*(entry.refused for entry in entries)),
        frozenset().union(*(entry.failed for entry in entries)),
        frozenset().union(*(entry.cancelled for entry in entries)),
        network.sent,
        max(agent.most_running for agent in agents),
        sum(agent.count_held() for agent in agents if agent.is_alive()),
    )
