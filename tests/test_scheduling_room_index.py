"""The index of runners finds what a look at each of them would find."""

from __future__ import annotations

import random
import typing as t

import pytest
from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st

from skylarkcleat.configuration import content
from skylarkcleat.protocol import leasing
from skylarkcleat.protocol import scheduling
from skylarkcleat.scheduling import active_job
from skylarkcleat.scheduling import placed_run
from skylarkcleat.scheduling import placement
from skylarkcleat.scheduling import worker as worker_lib
from skylarkcleat.scheduling import workers as workers_lib
from skylarkcleat.wire import session as session_lib
from tests import scheduling_world

UPSTREAMS = ("desk", "office")
QUEUES = {
    name: content.Queue(name, "h", "/p/", name, 1500, 60, 0, 4, 1.6)
    for name in UPSTREAMS
}
MAX_VISITED_PER_TASK = 90
"""The most index entries and blocks that may be looked at for one task."""


def choose_by_search(
    workers: t.Iterable[worker_lib.Worker],
    job: active_job.ActiveJob,
    task: active_job.Task,
    base_s: float,
    now: float,
) -> str | None:
    """Returns the side process that a look at every worker would choose."""
    step = job.job.steps[task.step]
    best: tuple[float, int, str] | None = None
    for worker in workers:
        if not worker.is_open(now) or not worker.could_run(step):
            continue
        if worker.runner.upstream != job.queue.upstream:
            continue
        if not worker.fits(step):
            continue
        expected = base_s * worker.factor
        if placement.is_remote(worker, step):
            expected *= placement.REMOTE_FACTOR
        found = (expected, worker.order, worker.side)
        best = found if best is None else min(best, found)
    return best[2] if best else None


def has_room_by_search(
    workers: t.Iterable[worker_lib.Worker],
    job: active_job.ActiveJob,
    now: float,
) -> bool:
    """Returns whether a job fits, after a look at every worker."""
    step = job.job.steps[0]
    fitting = [
        worker
        for worker in workers
        if worker.is_open(now)
        and worker.runner.upstream == job.queue.upstream
        and worker.could_run(step)
    ]
    room = sum(worker.count_room(step) for worker in fitting)
    whole = sum(worker.runner.cpu // step.cpu for worker in fitting)
    return not room < len(job.tasks) <= whole // 2


class Fleet(stateful.RuleBasedStateMachine):
    """Random events on an owner's side processes."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.workers = workers_lib.Workers((), 0.0, self.now)
        self.count = 0

    def pick(self, number: int) -> worker_lib.Worker | None:
        sides = sorted(self.workers.by_side)
        if not sides:
            return None
        return self.workers.by_side[sides[number % len(sides)]]

    @stateful.rule(
        number=st.integers(0, 5),
        cores=st.integers(1, 4),
        upstream=st.sampled_from(UPSTREAMS),
        rack=st.sampled_from(("r1", "r2")),
    )
    def register(
        self, number: int, cores: int, upstream: str, rack: str
    ) -> None:
        self.count += 1
        side = f"side-{number}"
        runner = leasing.Runner(
            f"i-{number}", 1, upstream, cores * 1000, 9999, 0, (rack,), False
        )
        register = leasing.Register(side, "z", self.count, runner, self.now)
        worker = self.workers.register(
            session_lib.Endpoint(side, 1), register, self.now
        )
        worker.open_at = self.now
        self.workers.record_report(worker)

    @stateful.rule(
        number=st.integers(0, 5),
        event=st.sampled_from(("drain", "shrink", "hang", "answer", "leave")),
    )
    def change(self, number: int, event: str) -> None:
        worker = self.pick(number)
        if worker is None:
            return
        if event == "drain":
            worker.runner = worker.runner._replace(draining=True)
        elif event == "shrink":
            worker.runner = worker.runner._replace(cpu=1000)
        elif event == "hang":
            worker.unresponsive_since = self.now
        elif event == "answer":
            worker.unresponsive_since = None
        else:
            self.workers.remove(worker, "test", self.now)

    @stateful.rule(gap_s=st.sampled_from((0.001, 0.03, 0.2, 7.0)))
    def wait(self, gap_s: float) -> None:
        self.now += gap_s
        for worker in self.workers.by_side.values():
            worker.granted_at = self.now

    @stateful.rule(number=st.integers(0, 5))
    def pause(self, number: int) -> None:
        worker = self.pick(number)
        if worker is not None:
            worker.record_refusal("room", self.now)

    @stateful.rule(
        upstream=st.sampled_from(UPSTREAMS),
        cpu=st.sampled_from((500, 1000, 2500)),
        width=st.integers(1, 6),
        rack=st.sampled_from(("", "r1")),
        estimate_ms=st.sampled_from((50, 1000)),
    )
    def place(
        self, upstream: str, cpu: int, width: int, rack: str, estimate_ms: int
    ) -> None:
        self.count += 1
        step = scheduling.Step(width, cpu, 1, 0, estimate_ms, data_rack=rack)
        job = active_job.ActiveJob(
            scheduling.Job(f"{self.count:016x}", "", (step,)),
            QUEUES[upstream],
            self.now,
            (estimate_ms / 1000,),
        )
        rooms = self.workers.find_rooms(upstream, self.now)
        workers = self.workers.by_side.values()
        assert placement.has_room(
            job, job.tasks, rooms, self.now
        ) == has_room_by_search(workers, job, self.now)
        for task in job.tasks:
            rooms = self.workers.find_rooms(upstream, self.now)
            expected = choose_by_search(workers, job, task, 0.1, self.now)
            choice = placement.choose_worker(job, task, 0.1, rooms, self.now)
            assert (choice[0].side if choice else None) == expected
            if choice is None:
                return
            choice[0].add(
                placed_run.PlacedRun(task.name, 1, step, self.now, choice[1])
            )

    @stateful.rule(
        number=st.integers(0, 5), slower=st.sampled_from((0.5, 1.0, 6.0))
    )
    def end(self, number: int, slower: float) -> None:
        worker = self.pick(number)
        if worker is None or not worker.runs:
            return
        placed = worker.remove(min(worker.runs), 1)
        worker.record_duration(slower, 1.0, self.now)
        listed = [each for each, _ in self.workers.list_runs(placed.task)]
        assert worker not in listed

    @stateful.invariant()
    def factors_are_current(self) -> None:
        for upstream in UPSTREAMS:
            self.workers.find_rooms(upstream, self.now)
        for worker in self.workers.by_side.values():
            if not worker.may_open or self.now < worker.factor_due_at:
                continue
            pytest.fail(f"the factor of {worker.side} is out of date")

    @stateful.invariant()
    def runs_are_found(self) -> None:
        for worker in self.workers.by_side.values():
            for task in worker.runs:
                found = [each for each, _ in self.workers.list_runs(task)]
                assert worker in found


TestFleet = Fleet.TestCase
TestFleet.settings = settings(
    max_examples=60, stateful_step_count=40, deadline=None, derandomize=True
)


@pytest.mark.parametrize("runners", [11, 160, 1000])
def test_a_choice_looks_at_few_runners(runners: int) -> None:
    rate = runners / 11 * 0.9
    load = scheduling_world.Load(rate=rate, length_s=1.0, runners=runners)
    world = scheduling_world.Simulation(load).play()
    rooms = world.owner.find_rooms(scheduling_world.UPSTREAM, 30.0)
    assert rooms.visited / len(world.runs) <= MAX_VISITED_PER_TASK


def test_blocks_split_and_empty() -> None:
    draw = random.Random(1)
    workers = workers_lib.Workers((), 0.0, 0.0)
    for number in range(300):
        runner = leasing.Runner(
            f"i-{number}", 1, "desk", 4000, 99, 0, (), False
        )
        register = leasing.Register(f"s-{number}", "z", 1, runner, 0.0)
        peer = session_lib.Endpoint(register.side, 1)
        worker = workers.register(peer, register, 0.0)
        workers.record_report(worker)
        worker.factor = draw.uniform(0.5, 2.0)
        worker.factor_due_at = 1e9
    rooms = workers.find_rooms("desk", 1.0)
    factors = [worker.factor for worker in rooms.find(1000)]
    assert factors == sorted(factors)
    assert len(factors) == len(rooms) == 300
    for worker in list(workers.by_side.values()):
        workers.remove(worker, "test", 1.0)
    assert not list(workers.find_rooms("desk", 1.0).find(0))
