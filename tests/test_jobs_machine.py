"""Random steps and faults of a small cluster under the job protocol."""

from __future__ import annotations

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from skylarkcleat.model import failure as failure_lib
from tests import jobs_world

INDEX = st.integers(0, 30)
TASKS = (2, 1, 3)
END_S = 14.0


class JobMachine(stateful.RuleBasedStateMachine):
    """Submissions under lost, late and repeated messages and failed members."""

    def __init__(self):
        super().__init__()
        self.world = jobs_world.World(skew_ms=1000)
        self.jobs = []
        self.create_job()

    def create_job(self):
        now_ms = self.world.now_ms
        self.jobs.append(jobs_world.create_id(now_ms, len(self.jobs)))

    def pick(self, items, index):
        items = tuple(items)
        return items[index % len(items)] if items else None

    @stateful.precondition(lambda self: len(self.jobs) < len(TASKS))
    @stateful.rule()
    def add_job(self):
        self.create_job()

    @stateful.rule(
        entry=INDEX,
        job=INDEX,
        digest=st.sampled_from("ddddde"),
        cohort=st.integers(1, 4),
        budget=st.sampled_from([0.5, 3.0]),
        is_refused=st.sampled_from([False] * 7 + [True]),
    )
    def submit(self, entry, job, digest, cohort, budget, is_refused):
        world = self.world
        ref = self.pick(list_live(world, world.entries), entry)
        if ref is None:
            return
        number = job % len(self.jobs)
        refusal = None
        if is_refused:
            refusal = jobs_world.create_failure(
                failure_lib.Outcome.NOT_RUN, ref
            )
        world.submit(
            ref,
            self.jobs[number],
            digest,
            TASKS[number],
            budget,
            cohort=tuple(world.agents)[-cohort:],
            repeatable=number == 1,
            refusal=refusal,
        )

    @stateful.rule(caller=INDEX)
    def remove_caller(self, caller):
        live = [
            name
            for name, entry in self.world.waiting.items()
            if entry not in self.world.frozen
        ]
        if live:
            self.world.remove_caller(self.pick(live, caller))

    @stateful.rule(
        index=INDEX, keep=st.booleans(), count=st.sampled_from([1, 1, 5, 20])
    )
    def deliver(self, index, keep, count):
        for _ in range(count):
            if self.world.network:
                at = index % len(self.world.network)
                self.world.deliver(at, keep)

    @stateful.rule()
    def deliver_all(self):
        self.world.drain_network()

    @stateful.rule(index=INDEX)
    def lose(self, index):
        if self.world.network:
            del self.world.network[index % len(self.world.network)]

    @stateful.rule(item=INDEX, agent=INDEX)
    def place(self, item, agent):
        world = self.world
        live = [
            number
            for number, (entry, _) in enumerate(world.ready)
            if entry not in world.frozen
        ]
        if live:
            number = self.pick(live, item)
            world.place(self.pick(world.agents, agent), number)

    @stateful.rule(
        agent=INDEX,
        step=st.sampled_from(["start", "start", "finish", "fail"]),
        is_refused=st.sampled_from([False, False, True]),
    )
    def work(self, agent, step, is_refused):
        world = self.world
        node = world.agents.get(
            self.pick(list_live(world, world.agents), agent)
        )
        if node is None:
            return
        if step == "start" and node.queue:
            if is_refused:
                node.refuse()
            else:
                node.start()
        elif step != "start" and node.running:
            getattr(node, step)()

    @stateful.rule(seconds=st.sampled_from([0.1, 0.6, 2.0, 310.0]))
    def advance(self, seconds):
        self.world.advance(seconds)

    @stateful.rule(member=INDEX)
    def freeze(self, member):
        members = (*self.world.entries, *self.world.agents)
        self.world.frozen.add(self.pick(members, member))

    @stateful.precondition(lambda self: self.world.frozen)
    @stateful.rule(member=INDEX)
    def thaw(self, member):
        frozen = sorted(self.world.frozen)
        self.world.frozen.discard(self.pick(frozen, member))

    @stateful.precondition(lambda self: len(self.world.entries) > 1)
    @stateful.rule(entry=INDEX)
    def crash_entry(self, entry):
        ref = self.pick(self.world.entries, entry)
        self.world.crash(ref)
        self.world.declare_departed(ref)
        self.world.add_entry(ref.name)

    @stateful.precondition(lambda self: len(self.world.incarnations) < 12)
    @stateful.rule(agent=INDEX, is_restarted=st.booleans())
    def crash_agent(self, agent, is_restarted):
        ref = self.pick(self.world.agents, agent)
        if ref is None:
            return
        self.world.crash(ref)
        self.world.declare_departed(ref)
        name = f"agent-{len(self.world.incarnations)}"
        self.world.add_agent(ref.name if is_restarted else name, False)

    @stateful.precondition(lambda self: len(self.world.agents) < 6)
    @stateful.rule()
    def add_agent(self):
        self.world.add_agent(f"agent-{len(self.world.incarnations)}", False)

    @stateful.precondition(lambda self: self.world.frozen)
    @stateful.rule(member=INDEX)
    def declare_frozen_departed(self, member):
        self.world.declare_departed(
            self.pick(sorted(self.world.frozen), member)
        )

    @stateful.precondition(lambda self: self.world.notices)
    @stateful.rule(index=INDEX)
    def deliver_notice(self, index):
        member = self.pick(self.world.notices, index)[0]
        if member not in self.world.frozen:
            self.world.notify_next(member)

    @stateful.rule(entry=INDEX, job=INDEX)
    def forget_outcome(self, entry, job):
        ref = self.pick(self.world.entries, entry)
        self.world.entries[ref].outcomes.drop(self.pick(self.jobs, job))

    @stateful.rule(agent=INDEX)
    def forget_records(self, agent):
        ref = self.pick(self.world.agents, agent)
        if ref is not None:
            self.world.agents[ref].forget_records()

    @stateful.rule(agent=INDEX)
    def partition_from_control(self, agent):
        ref = self.pick(self.world.agents, agent)
        if ref is not None:
            self.world.partitioned.add(ref)

    @stateful.rule()
    def heal(self):
        self.world.partitioned.clear()

    @stateful.rule()
    def replace_keepers(self):
        self.world.replace_keepers()

    @stateful.rule()
    def lose_keepers(self):
        up = [
            ref
            for ref in self.world.agents
            if ref not in self.world.partitioned
        ]
        if up:
            self.world.lose_keepers(up[-3:])

    @stateful.rule(entry=INDEX, job=INDEX)
    def widen_cohort(self, entry, job):
        world = self.world
        ref = self.pick(list_live(world, world.entries), entry)
        if ref is not None:
            out = world.entries[ref].widen_cohort(
                self.pick(self.jobs, job), tuple(world.agents), world.now
            )
            world.apply(ref, out)

    def teardown(self):
        world = self.world
        world.frozen.clear()
        world.partitioned.clear()
        while world.notices:
            world.notify(*world.notices.pop(0))
        world.run(END_S)
        assert not world.waiting, "a caller without an outcome"


def list_live(world, members):
    return [ref for ref in members if ref not in world.frozen]


JobMachine.TestCase.settings = hypothesis.settings(
    derandomize=True,
    max_examples=150,
    stateful_step_count=60,
    deadline=None,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
TestJobMachine = JobMachine.TestCase
