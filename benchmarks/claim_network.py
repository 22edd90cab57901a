"""Entries, keepers and agents on a network of fixed latency."""

from __future__ import annotations

import heapq
import itertools
import random
import time
import typing as t
import uuid

from skylarkcleat.jobs import claim_store
from skylarkcleat.jobs import coordinator as coordinator_lib
from skylarkcleat.jobs import effects
from skylarkcleat.jobs import keeper as keeper_lib
from skylarkcleat.jobs import ledger as ledger_lib
from skylarkcleat.jobs import submission as submission_lib
from skylarkcleat.model import keeper_shard
from skylarkcleat.model import profile as profile_lib
from skylarkcleat.protocol import claiming
from skylarkcleat.protocol import dispatching
from skylarkcleat.protocol import fencing

START_MS = 1_764_800_000_000
ONE_WAY_S = 0.001
BUDGET_S = 30.0
FIRST = claiming.MemberRef("entry-1", 1)
SECOND = claiming.MemberRef("entry-2", 1)
PROFILE = profile_lib.Profile("p", 1, ("u",))
LOAD = dispatching.Load(0, 0, 0)


class Delays(t.NamedTuple):
    """The measured delays and message count.

    Attributes:
        delays: From submission to the permission to dispatch, in seconds.
        messages: The number of messages between processes, over all jobs.
    """

    delays: list[float]
    messages: int


def create_id(number: int) -> str:
    """Returns a job identifier, the same for the same number."""
    value = (START_MS + number // 100) << 80 | 0x7 << 76 | 0x2 << 62
    return str(uuid.UUID(int=value | number))


def create_submission(
    number: int, tasks: int, cohort: tuple[claiming.MemberRef, ...], now: float
) -> submission_lib.Submission:
    """Returns a submission whose caller is named after its number."""
    payloads = (b"{}",) * tasks
    return submission_lib.Submission(
        create_id(number),
        "d",
        str(number),
        PROFILE,
        payloads,
        cohort,
        now + BUDGET_S,
    )


class KeeperNetwork:
    """One shard's keepers and the entries that use them.

    Attributes:
        config: The shard.
        messages: How many messages were sent.
        ready_at: When each job was ready for dispatch, in seconds.
    """

    def __init__(self, keepers: int):
        refs = tuple(
            claiming.MemberRef(f"agent-{i:05d}", 1) for i in range(keepers)
        )
        self.config = keeper_shard.KeeperShard(0, 1, refs, (), 0)
        self.messages = 0
        self.ready_at: dict[str, float] = {}
        self._order = itertools.count()
        self._events: list[tuple] = []
        self.now = 0.0
        self.nodes: dict[claiming.MemberRef, t.Any] = {}
        for ref in refs:
            keeper = keeper_lib.Keeper(ref, max_claims=1_000_000)
            keeper.extend_lease(float("inf"))
            self.nodes[ref] = keeper
        for ref in refs:
            self.apply(ref, self.nodes[ref].configure(self.config))
        for ref in refs:
            self.apply(ref, self.nodes[ref].tick(0.0, START_MS))
        self.run()
        self.messages = 0

    def add_entry(self, ref: claiming.MemberRef) -> coordinator_lib.Coordinator:
        """Adds an entry with the configuration of the shard."""
        store = claim_store.KeeperClaimStore(1)
        store.configure(self.config)
        entry = coordinator_lib.Coordinator(ref, "tcp://10.0.0.1:7000", store)
        self.nodes[ref] = entry
        return entry

    def add_ledger(self, ref: claiming.MemberRef) -> None:
        """Adds an agent that replies to fences."""
        self.nodes[ref] = ledger_lib.Ledger(ref)

    def schedule(self, at: float, step: t.Callable[[], None]) -> None:
        """Schedules a step at a time."""
        heapq.heappush(self._events, (at, next(self._order), step))

    def run(self) -> None:
        """Runs until no step is scheduled."""
        while self._events:
            self.now, _, step = heapq.heappop(self._events)
            step()

    def submit(
        self,
        entry: claiming.MemberRef,
        number: int,
        cohort: tuple[claiming.MemberRef, ...],
    ) -> None:
        """Submits a job of one task at the current time."""
        submission = create_submission(number, 1, cohort, self.now)
        out = self.nodes[entry].submit(submission, self.now, START_MS)
        self.apply(entry, out)

    def apply(
        self, sender: claiming.MemberRef, out: t.Iterable[effects.Effect]
    ) -> None:
        """Sends messages, and records which jobs are ready."""
        for effect in out:
            if isinstance(effect, effects.Ready):
                self.ready_at[effect.job] = self.now
            elif isinstance(effect, effects.SendTo):
                self.messages += 1
                self.schedule(
                    self.now + ONE_WAY_S,
                    lambda e=effect: self.deliver(sender, e),
                )

    def deliver(
        self, sender: claiming.MemberRef, effect: effects.SendTo
    ) -> None:
        """Delivers a message to its receiver and applies the effects."""
        node = self.nodes[effect.member]
        if isinstance(node, keeper_lib.Keeper):
            out = node.handle(sender, effect.message, self.now, START_MS)
        elif isinstance(node, ledger_lib.Ledger):
            out = answer_fence(node, sender, effect.message)
        else:
            out = node.handle(sender, effect.message, self.now)
        self.apply(effect.member, out)

    def decide_all(self, claims: t.Iterable[claiming.Claim]) -> None:
        """Decides claims one after the other, without latency."""
        primary, *backups = self.config.keepers
        first = self.nodes[primary]
        for claim in claims:
            message = claiming.Propose(0, 1, claim)
            out = first.handle(FIRST, message, 0.0, START_MS)
            for backup, replicate in zip(backups, out, strict=True):
                (reply,) = self.nodes[backup].handle(
                    primary, replicate.message, 0.0, START_MS
                )
                first.handle(backup, reply.message, 0.0, START_MS)


def answer_fence(
    ledger: ledger_lib.Ledger,
    sender: claiming.MemberRef,
    message: fencing.Fence,
) -> list[effects.SendTo]:
    """Returns an agent's reply to a fence."""
    fenced = ledger.fence(message, sender, START_MS)
    return [effects.SendTo(sender, fenced.report)]


def simulate(jobs: int, rate: float, seed: int) -> Delays:
    """Returns the delays of claims that three keepers decide.

    Args:
        jobs: The number of jobs.
        rate: Jobs a second, arriving at random.
        seed: The seed of the arrivals.
    """
    rng = random.Random(seed)
    network = KeeperNetwork(3)
    network.add_entry(FIRST)
    submitted = {}
    at = network.now
    for number in range(jobs):
        at += rng.expovariate(rate)
        submitted[create_id(number)] = at
        network.schedule(
            at, lambda n=number: network.submit(FIRST, n, (SECOND,))
        )
    network.run()
    delays = [network.ready_at[job] - at for job, at in submitted.items()]
    return Delays(delays, network.messages)


def simulate_takeover(cohort: int) -> Delays:
    """Returns the delay of a resubmission after its first entry departed.

    Args:
        cohort: The number of agents to fence.
    """
    network = KeeperNetwork(3)
    network.add_entry(FIRST)
    second = network.add_entry(SECOND)
    agents = tuple(
        claiming.MemberRef(f"upstream-{i:05d}", 1) for i in range(cohort)
    )
    for ref in agents:
        network.add_ledger(ref)
    network.submit(FIRST, 0, agents)
    network.run()
    second.remove_member(FIRST, network.now)
    network.messages = 0
    begin = network.now
    network.submit(SECOND, 0, agents)
    network.run()
    return Delays([network.ready_at[create_id(0)] - begin], network.messages)


def measure_coordinator(tasks: int) -> float:
    """Returns an entry's processor time per task, to the outcome, in µs."""
    network = KeeperNetwork(1)
    entry = network.add_entry(FIRST)
    jobs = 4800 // tasks
    cohort = (SECOND,)
    spent = 0.0
    for number in range(jobs):
        submission = create_submission(number, tasks, cohort, 0.0)
        begin = time.process_time()
        (propose,) = entry.submit(submission, 0.0, START_MS)
        decided = claiming.Decided(propose.message.claim)
        (ready,) = entry.handle(SECOND, decided, 0.0)
        for task in ready.tasks:
            dispatch = entry.place(submission.job, task, SECOND, 0.0)
            answer = dispatching.Answer(dispatch.attempt, b"{}", 1, 0, LOAD)
            entry.handle(SECOND, answer, 0.0)
        spent += time.process_time() - begin
    return spent * 1e6 / (jobs * tasks)
