"""Simulation of loads on an owner, with runners of different speed.

Time is virtual: events run in the order of their times, without waiting. Jobs
arrive at random, and each earns its value if it ends within its objective.
"""

from __future__ import annotations

import heapq
import itertools
import math
import random
import typing as t

from skylarkcleat.configuration import content
from skylarkcleat.protocol import leasing
from skylarkcleat.protocol import reporting
from skylarkcleat.protocol import scheduling
from skylarkcleat.scheduling import owner as owner_lib
from skylarkcleat.scheduling import policy as policy_lib
from skylarkcleat.scheduling import predecessor as predecessor_lib
from skylarkcleat.wire import session as session_lib

FRONT = session_lib.Endpoint("front", 1)
UPSTREAM = "desk"
ORDER_S = 0.0015
REPORT_S = 0.003
STOP_S = 0.05
TICK_S = 0.02
RENEW_S = 0.15
SILENT_S = 0.025
"""A side process misses two probes in this time once its runner is down."""


class JobClass(t.NamedTuple):
    """One class of jobs, as the deployments' pages describe them.

    Attributes:
        name: Its name.
        per_s: The mean number of jobs that arrive per second.
        width: The mean number of tasks of a job.
        work_s: The mean duration of a task on a runner of speed 1.
        value: What a job earns that ends in time.
        priority: The priority of its queue.
    """

    name: str
    per_s: float
    width: float
    work_s: float
    value: float
    priority: int


JOB_CLASSES = (
    JobClass("stock", 17.2, 8, 0.12, 0.0291, 0),
    JobClass("fit", 3.12, 4, 1.8, 0.16, 2),
    JobClass("quote", 50.0, 2, 0.4, 0.01, 1),
)


class Burst(t.NamedTuple):
    """A higher arrival rate of one class for a while."""

    kind: str
    at: float
    for_s: float
    factor: float


class Fault(t.NamedTuple):
    """Runners that are slow or fail tasks for a while.

    Attributes:
        runners: The numbers of the runners.
        at: When it begins, in seconds.
        for_s: How long it lasts, in seconds.
        slower: The factor on the duration of tasks.
        fails: Whether every task that they start fails.
    """

    runners: tuple[int, ...]
    at: float
    for_s: float
    slower: float = 1.0
    fails: bool = False


class DeadlyTasks(t.NamedTuple):
    """A fraction of one class's jobs whose first task crashes its runners.

    Attributes:
        kind: The class.
        share: The fraction of its jobs.
        at: When it begins, in seconds.
        for_s: How long it lasts, in seconds.
        crash_s: How long after its start the runner crashes, in seconds.
        down_s: How long a runner is down, in seconds.
        lost_s: How long after the crash its side process gives up the runs.
    """

    kind: str
    share: float
    at: float
    for_s: float
    crash_s: float = 0.005
    down_s: float = 3.0
    lost_s: float = 0.9


class Load(t.NamedTuple):
    """The parameters of a simulation.

    Attributes:
        rate: The factor on all arrival rates.
        length_s: For how many seconds jobs arrive.
        speeds: Factors on task durations, assigned to runners in turn.
        sizes: Factors on runners' capacities, assigned in turn.
        runners: The number of runners.
        bursts: Bursts of arrivals.
        faults: Faults of runners.
        deadly: Tasks that crash their runners, if any do.
        joining: From when to when the runners join, one after another, in
            seconds; jobs arrive from the beginning.
        seed: The seed of the random numbers.
        policy: What an operator may choose.
    """

    rate: float = 1.0
    length_s: float = 30.0
    speeds: tuple[float, ...] = (0.6, 1.0, 1.6)
    sizes: tuple[float, ...] = (1.0, 1.0, 1.5)
    runners: int = 11
    bursts: tuple[Burst, ...] = ()
    faults: tuple[Fault, ...] = ()
    deadly: DeadlyTasks | None = None
    joining: tuple[float, float] = (0.0, 0.0)
    seed: int = 1
    policy: policy_lib.Policy = policy_lib.DEFAULT


class Outcome(t.NamedTuple):
    """How one job ended, when it was submitted and whether it could be done.

    `work_s` is the sum of its tasks' durations on a runner of speed 1.
    """

    kind: JobClass
    verdict: scheduling.Verdict
    took_s: float
    objective_s: float
    width: int
    at: float
    is_deadly: bool = False
    work_s: float = 0.0


class Simulation:
    """Runs an owner and its runners under a load."""

    def __init__(self, load: Load) -> None:
        self.load = load
        self.random = random.Random(load.seed)
        self.outcomes: list[Outcome] = []
        self.runs: list[tuple[float, float, int, str, str]] = []
        self.owner = owner_lib.Owner(
            FRONT, predecessor_lib.Predecessor(), 0.0, load.policy
        )
        self._events: list[tuple[float, int, t.Callable[[float], None]]] = []
        self._count = itertools.count()
        self._requests: dict[int, tuple[JobClass, float, float, int, str]] = {}
        self._works: dict[str, list[float]] = {}
        self._epochs: dict[int, int] = {}
        self._ends: dict[int, int] = {}
        self._failing: set[str] = set()
        self._running: set[tuple[int, str, int]] = set()
        self._down_until = [0.0] * load.runners
        self._deadly: set[str] = set()
        self.crashes: dict[str, int] = {}
        self._queues = {kind.name: _create_queue(kind) for kind in JOB_CLASSES}

    def play(self) -> Simulation:
        for runner in range(self.load.runners):
            self._at(self._find_joining_at(runner), self._join(runner))
        for kind in JOB_CLASSES:
            self._at(self._draw_gap(kind, 0.0), self._arrive(kind))
        self._at(0.0, self._tick)
        while self._events:
            now, _, act = heapq.heappop(self._events)
            if now > self.load.length_s + 20:
                break
            act(now)
            self.owner.place(now)
            self._deliver(now)
        return self

    def find_value_share(self, kind: str = "") -> float:
        """Returns the share of the jobs' total value that was earned.

        A late job earns a fifth of its value up to 3 times its objective.
        """
        earned = possible = 0.0
        for each in self.outcomes:
            if each.is_deadly or (kind and each.kind.name != kind):
                continue
            possible += each.kind.value
            if each.verdict is not scheduling.Verdict.COMPLETED:
                continue
            if each.took_s <= each.objective_s:
                earned += each.kind.value
            elif each.took_s <= 3 * each.objective_s:
                earned += 0.2 * each.kind.value
        return earned / possible if possible else 1.0

    def find_service_share(self, kind: str = "") -> float:
        """Returns the share of jobs that ended within 3 times the objective."""
        chosen = [
            each
            for each in self.outcomes
            if kind in ("", each.kind.name) and not each.is_deadly
        ]
        served = [
            each
            for each in chosen
            if each.verdict is scheduling.Verdict.COMPLETED
            and each.took_s <= 3 * each.objective_s
        ]
        return len(served) / max(len(chosen), 1)

    def _at(self, when: float, act: t.Callable[[float], None]) -> None:
        heapq.heappush(self._events, (when, next(self._count), act))

    def _find_joining_at(self, runner: int) -> float:
        begin, end = self.load.joining
        return begin + (end - begin) * runner / self.load.runners

    def _join(self, runner: int) -> t.Callable[[float], None]:
        def act(now: float) -> None:
            self._register(runner, now)
            self._at(now + RENEW_S, self._renew(runner))

        return act

    def _register(self, runner: int, now: float = 0.0) -> None:
        size = self.load.sizes[runner % len(self.load.sizes)]
        epoch = self._epochs.get(runner, 0) + 100
        described = leasing.Runner(
            f"i-{runner}-{epoch}",
            epoch,
            UPSTREAM,
            round(64000 * size),
            round(262144 * size),
            0,
            ("a", f"r1-{runner // 3}"),
            False,
        )
        peer = session_lib.Endpoint(f"side-{runner}", 1)
        register = leasing.Register(peer.name, "z", epoch, described, now)
        self.owner.register(peer, register, now)
        self.owner.workers[peer.name].open_at = now
        self._epochs[runner] = epoch
        self._ends[runner] = 0
        report = reporting.Report(epoch, (), ())
        self.owner.handle_side_report(peer.name, report, now)

    def _renew(self, runner: int) -> t.Callable[[float], None]:
        def act(now: float) -> None:
            peer = session_lib.Endpoint(f"side-{runner}", 1)
            renew = leasing.Renew(self._epochs[runner], now, None)
            self.owner.renew(peer, renew, now)
            self._at(now + RENEW_S, self._renew(runner))

        return act

    def _tick(self, now: float) -> None:
        self.owner.tick(now)
        self._at(now + TICK_S, self._tick)

    def _draw_gap(self, kind: JobClass, now: float) -> float:
        rate = kind.per_s * self.load.rate
        for burst in self.load.bursts:
            if burst.kind == kind.name and (
                burst.at <= now < burst.at + burst.for_s
            ):
                rate *= burst.factor
        return now + self.random.expovariate(rate)

    def _arrive(self, kind: JobClass) -> t.Callable[[float], None]:
        def act(now: float) -> None:
            if now < self.load.length_s:
                self._submit(kind, now)
                self._at(self._draw_gap(kind, now), self._arrive(kind))

        return act

    def _submit(self, kind: JobClass, now: float) -> None:
        draw = self.random
        width = max(1, round(_draw_spread(draw, kind.width, 0.4)))
        width = min(width, round(4 * kind.width))
        work_s = min(_draw_spread(draw, kind.work_s, 0.4), 4 * kind.work_s)
        works = [_draw_spread(draw, work_s, 0.15) for _ in range(width)]
        estimate_ms = round(1000 * _draw_spread(draw, work_s, 0.4))
        cpu = min(round(_draw_spread(draw, 6200, 0.2)), 9400)
        job_id = f"{next(self._count):016x}"
        step = scheduling.Step(width, cpu, 64, 0, max(estimate_ms, 1))
        job = scheduling.Job(job_id, "spec", (step,))
        number = next(self._count)
        objective_s = 1.6 * max(works) + 0.06
        self._requests[number] = (kind, now, objective_s, width, job_id)
        self._works[job_id] = works
        deadly = self.load.deadly
        if deadly is not None and deadly.kind == kind.name:
            is_time = deadly.at <= now < deadly.at + deadly.for_s
            if is_time and draw.random() < deadly.share:
                self._deadly.add(job_id)
        submit = scheduling.Submit(number, "h", "/p/", job, 4, 10_000, 1)
        self.owner.submit(FRONT, submit, self._queues[kind.name], now)

    def _deliver(self, now: float) -> None:
        for outgoing in self.owner.outbox.take():
            message = outgoing.message
            if isinstance(message, scheduling.Reply):
                kind, begun, objective_s, width, job = self._requests.pop(
                    message.request
                )
                self.outcomes.append(
                    Outcome(
                        kind,
                        message.verdict,
                        now - begun,
                        objective_s,
                        width,
                        begun,
                        job in self._deadly,
                        sum(self._works[job]),
                    )
                )
            elif isinstance(message, leasing.Start):
                runner = int(outgoing.peer.name.partition("-")[2])
                self._start(runner, message, now + ORDER_S)
            elif isinstance(message, leasing.Stop):
                runner = int(outgoing.peer.name.partition("-")[2])
                stopped = leasing.Ending.STOPPED
                end = self._end(runner, message, stopped)
                self._at(now + ORDER_S + STOP_S, end)

    def _start(self, runner: int, start: leasing.Start, now: float) -> None:
        job_id, _, _, index = start.task.split(".")
        if now < self._down_until[runner]:
            self._running.add((runner, start.task, start.run))
            return
        if job_id in self._deadly and index == "0":
            crash_at = now + self.load.deadly.crash_s
            self._at(crash_at, self._crash(runner, start.task))
        factor = self.load.speeds[runner % len(self.load.speeds)]
        took_s = self._works[job_id][int(index)] * factor
        ending = leasing.Ending.DONE
        for fault in self.load.faults:
            inside = fault.at <= now < fault.at + fault.for_s
            if runner in fault.runners and inside:
                took_s *= fault.slower
                if fault.fails:
                    ending = leasing.Ending.FAILED
                    took_s = 0.005
        self._running.add((runner, start.task, start.run))
        self.runs.append((now, now + took_s, runner, start.task, ending))
        self._at(now + took_s + REPORT_S, self._end(runner, start, ending))

    def _crash(self, runner: int, task: str) -> t.Callable[[float], None]:
        def act(now: float) -> None:
            if now < self._down_until[runner]:
                return
            deadly = self.load.deadly
            self.crashes[task] = self.crashes.get(task, 0) + 1
            self._down_until[runner] = now + deadly.down_s
            self._at(now + SILENT_S, self._fall_silent(runner))
            self._at(now + deadly.lost_s, self._give_up(runner))
            self._at(now + deadly.down_s, self._come_back(runner))

        return act

    def _fall_silent(self, runner: int) -> t.Callable[[float], None]:
        def act(now: float) -> None:
            message = reporting.RunnerUnresponsive(self._epochs[runner], True)
            self.owner.handle_side_report(f"side-{runner}", message, now)

        return act

    def _give_up(self, runner: int) -> t.Callable[[float], None]:
        def act(now: float) -> None:
            lost = [key for key in self._running if key[0] == runner]
            self._running.difference_update(lost)
            runs = tuple(
                leasing.Run(task, run, 1, 1, 0) for _, task, run in lost
            )
            message = reporting.RunnerLost(self._epochs[runner], runs)
            self.owner.handle_side_report(f"side-{runner}", message, now)

        return act

    def _come_back(self, runner: int) -> t.Callable[[float], None]:
        def act(now: float) -> None:
            self._register(runner, now)

        return act

    def _end(
        self,
        runner: int,
        start: leasing.Start | leasing.Stop,
        ending: leasing.Ending,
    ) -> t.Callable[[float], None]:
        def act(now: float) -> None:
            key = (runner, start.task, start.run)
            is_down = now < self._down_until[runner]
            if key not in self._running or is_down:
                return
            self._running.remove(key)
            self._ends[runner] += 1
            end = leasing.End(self._ends[runner], start.task, start.run, ending)
            ended = reporting.Ended(start.epoch, (end,))
            self.owner.handle_side_report(f"side-{runner}", ended, now)

        return act


def _create_queue(kind: JobClass) -> content.Queue:
    return content.Queue(
        kind.name, "h", "/p/", UPSTREAM, 1500, 60, kind.priority, 4, 1.6
    )


def _draw_spread(draw: random.Random, mean: float, spread: float) -> float:
    sigma = math.sqrt(math.log(1 + spread * spread))
    return mean * math.exp(draw.gauss(-sigma * sigma / 2, sigma))


def describe(world: Simulation) -> str:
    """Returns the shares of each class, for the message of a failed test."""
    lines = [f"all: value {world.find_value_share():.3f}"]
    for kind in JOB_CLASSES:
        value = world.find_value_share(kind.name)
        served = world.find_service_share(kind.name)
        lines.append(f"{kind.name}: value {value:.3f} served {served:.3f}")
    return "; ".join(lines)
