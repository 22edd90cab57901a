from __future__ import annotations

import pytest
from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st

from skylarkcleat.dispatch import fair_queue
from skylarkcleat.dispatch import scheduler
from skylarkcleat.dispatch import task_queue
from skylarkcleat.emulator import workload
from skylarkcleat.model import cause
from skylarkcleat.protocol import dispatching

SLOTS = 3
CONNECTIONS = 2
PROFILES = [
    workload.create_profile("orders", urgency=9, weight=10),
    workload.create_profile("stock", urgency=0, weight=30),
    workload.create_profile("courier", urgency=5, weight=1),
]
MAX_ROUNDS = 100


def create_dispatch(job, task, profile, budget_ms=30_000):
    attempt = dispatching.Attempt(job, task, 1, 1)
    return dispatching.Dispatch(
        attempt, 1, profile.name, 1, budget_ms, 100, b"", precedence_ms=0
    )


@pytest.fixture
def agent():
    return scheduler.create_scheduler(1, 64)


def test_refuses_while_draining(agent):
    agent.drain()
    failure = agent.offer(
        create_dispatch("a", 0, PROFILES[0]), PROFILES[0], "e", 0
    )
    assert failure.cause is cause.Cause.DRAINING


def test_refuses_what_would_wait_past_its_deadline(agent):
    for task in range(20):
        assert not agent.offer(
            create_dispatch("a", task, PROFILES[0]), PROFILES[0], "e", 0
        )
    late = create_dispatch("b", 0, PROFILES[0], budget_ms=500)
    failure = agent.offer(late, PROFILES[0], "e", 0)
    assert failure.cause is cause.Cause.OVERLOADED
    assert failure.retry_after_ms > 0


def test_returns_expired_attempts_instead_of_starting_them(agent):
    first = create_dispatch("a", 0, PROFILES[0])
    late = create_dispatch("b", 0, PROFILES[0], budget_ms=1_000)
    agent.offer(first, PROFILES[0], "e", 0)
    assert agent.start_next(0) == [first]
    agent.offer(late, PROFILES[0], "e", 0)
    assert agent.next_wakeup() == 1.0
    agent.finish(first.attempt, 2_000, 2.0)
    assert agent.start_next(2.0) == []
    assert agent.pop_expired(2.0) == [late]
    assert agent.pop_expired(2.0) == []
    assert agent.is_idle()


def test_a_repeated_offer_starts_once(agent):
    dispatch = create_dispatch("a", 0, PROFILES[0])
    for _ in range(2):
        assert agent.offer(dispatch, PROFILES[0], "e", 0) is None
    assert agent.start_next(0) == [dispatch]
    agent.finish(dispatch.attempt, 1, 0)
    assert agent.is_idle()


def test_equal_weights_get_equal_shares_regardless_of_urgency():
    queue = fair_queue.create_fair_queue(burst_ms=0)
    urgent = workload.create_profile("urgent", urgency=9)
    calm = workload.create_profile("calm", urgency=0)
    for i in range(100):
        queue.push(task_queue.QueuedTask(("u", i), urgent, 0, 100))
        queue.push(task_queue.QueuedTask(("c", i), calm, 0, 100))
    served = [queue.pop().profile.name for _ in range(100)]
    assert 45 <= served.count("calm") <= 55


def test_more_urgent_profile_is_served_first_within_its_share():
    queue = fair_queue.create_fair_queue()
    urgent = workload.create_profile("urgent", urgency=9)
    calm = workload.create_profile("calm", urgency=0)
    queue.push(task_queue.QueuedTask("c", calm, 0, 100))
    queue.push(task_queue.QueuedTask("u", urgent, 1, 100))
    assert queue.pop().key == "u"


class SchedulerMachine(stateful.RuleBasedStateMachine):
    """Offers, starts, finishes and revokes attempts in any order."""

    def __init__(self):
        super().__init__()
        self.agent = scheduler.create_scheduler(SLOTS, CONNECTIONS)
        self.now = 0.0
        self.waiting: dict[dispatching.Attempt, str] = {}
        self.running: list[dispatching.Attempt] = []
        self.jobs = 0

    @stateful.rule(
        tasks=st.integers(1, 12),
        profile=st.sampled_from(PROFILES),
        entry=st.sampled_from(["entry-0", "entry-1"]),
    )
    def offer(self, tasks, profile, entry):
        self.jobs += 1
        for task in range(tasks):
            dispatch = create_dispatch(f"job-{self.jobs}", task, profile)
            if self.agent.offer(dispatch, profile, entry, self.now) is None:
                self.waiting[dispatch.attempt] = profile.name

    @stateful.rule()
    def start(self):
        for dispatch in self.agent.start_next(self.now):
            del self.waiting[dispatch.attempt]
            self.running.append(dispatch.attempt)

    @stateful.rule(run_ms=st.floats(1, 5_000))
    def finish(self, run_ms):
        self.now += run_ms / 1000
        if self.running:
            self.agent.finish(self.running.pop(0), run_ms, self.now)
        for dispatch in self.agent.pop_expired(self.now):
            del self.waiting[dispatch.attempt]

    @stateful.rule(pick=st.integers(0, 100))
    def revoke(self, pick):
        job = f"job-{pick % (self.jobs + 1)}"
        dropped = self.agent.revoke(job, 1)
        expected = sorted(a.task for a in self.waiting if a.job == job)
        assert list(dropped) == expected
        for attempt in [a for a in self.waiting if a.job == job]:
            del self.waiting[attempt]

    @stateful.rule()
    def every_waiting_profile_is_served(self):
        """Every profile with queued attempts starts one within a bound."""
        unserved = set(self.waiting.values())
        for _ in range(MAX_ROUNDS):
            if not unserved:
                return
            if self.running:
                self.agent.finish(self.running.pop(0), 1, self.now)
            for dispatch in self.agent.start_next(self.now):
                unserved.discard(self.waiting.pop(dispatch.attempt))
                self.running.append(dispatch.attempt)
        assert not unserved

    @stateful.invariant()
    def limits_hold_and_nothing_leaks(self):
        load = self.agent.load()
        assert load.running == len(self.running) <= min(SLOTS, CONNECTIONS)
        assert load.queued == len(self.waiting)
        owned = sum(
            self.agent.load(entry).own for entry in ("entry-0", "entry-1")
        )
        assert owned == load.running + load.queued


TestScheduler = SchedulerMachine.TestCase
TestScheduler.settings = settings(
    derandomize=True, max_examples=60, stateful_step_count=30, deadline=None
)
