"""Jobs as an entry and its agents would record them, on skewed clocks."""

from __future__ import annotations

import random
import typing as t

from skylarkcleat.model import cause as cause_lib
from skylarkcleat.timeline import clock as clock_lib
from skylarkcleat.timeline import delay as delay_lib
from skylarkcleat.timeline import ending as ending_lib
from skylarkcleat.timeline import event as event_lib
from skylarkcleat.timeline import incident as incident_lib
from skylarkcleat.timeline import kind as kind_lib
from skylarkcleat.timeline import recorder as recorder_lib

START_MS = 1_780_000_000_000
JOB = f"{START_MS >> 16:08x}-{START_MS & 0xFFFF:04x}-7000-8000-000000000001"
ENTRY = "entry-waycross-1"
AGENTS = ("agent-valdosta-1", "agent-valdosta-2", "agent-brunswick-1")
PROFILE = "votive-order"
IDEAL_MS = 110.0
DEADLINE_MS = 3_000.0
RUN_MS = 100.0
LONG_MS = 2_000.0

Kind = kind_lib.Kind


class Plan(t.NamedTuple):
    """What happens to a job: task 1 is held up in one step."""

    tasks: int = 6
    step: delay_lib.Step | None = None
    excess_ms: float = LONG_MS
    ahead: str = "stock-check"
    skews_ms: tuple[int, ...] = (0, 0, 0, 0)
    all_long: bool = False
    deadline_ms: float = DEADLINE_MS
    names_last: bool = False


class Node:
    """One process with a clock of its own."""

    def __init__(self, name: str, skew_ms: int) -> None:
        self.name = name
        self.clock = clock_lib.HybridClock()
        zone = name.split("-")[1]
        self.recorder = recorder_lib.Recorder(name, zone, self.clock)
        self._skew_ms = skew_ms

    def record(self, when_ms: float, kind: Kind, **details: t.Any) -> int:
        details.setdefault("job", JOB)
        self.recorder.record(kind, self._read_wall(when_ms), **details)
        return self.clock.last

    def receive(self, when_ms: float, stamp: int) -> None:
        self.clock.merge(stamp, self._read_wall(when_ms))

    def _read_wall(self, when_ms: float) -> int:
        return START_MS + self._skew_ms + int(when_ms)


def play(plan: Plan) -> tuple[event_lib.Event, ...]:
    """Returns what all the processes record of one job."""
    nodes = [
        Node(name, skew)
        for name, skew in zip((ENTRY, *AGENTS), plan.skews_ms, strict=True)
    ]
    entry = nodes[0]
    accept(entry, plan)
    claim_ms = 2.0 + get_excess(plan, delay_lib.Step.CLAIM)
    entry.record(
        claim_ms, Kind.CLAIMED, epoch=1, duration_ms=claim_ms, at_ms=claim_ms
    )
    moments = []
    for task in range(plan.tasks):
        agent = nodes[1 + task % len(AGENTS)]
        moments += run_task(entry, agent, plan, task, claim_ms)
    last_ms = claim_ms
    for at_ms, _, step in sorted(moments, key=lambda row: row[:2]):
        step(at_ms)
        last_ms = at_ms
    whole_ms = last_ms + 1 + get_excess(plan, delay_lib.Step.GATHER)
    finish(entry, plan, whole_ms, count=2 if plan.names_last else 0)
    return tuple(
        event for node in nodes for event in node.recorder.find_job(JOB)
    )


def accept(entry: Node, plan: Plan) -> None:
    entry.record(
        0.0,
        Kind.ACCEPTED,
        profile=PROFILE,
        profile_version=4,
        count=plan.tasks,
        expected_ms=IDEAL_MS,
        deadline_ms=plan.deadline_ms,
    )


def finish(
    entry: Node,
    plan: Plan,
    whole_ms: float,
    ending: ending_lib.Ending = ending_lib.Ending.ANSWERED,
    cause: cause_lib.Cause | None = None,
    count: int = 0,
) -> None:
    entry.record(
        whole_ms,
        Kind.FINISHED,
        ending=ending,
        cause=cause,
        count=count,
        duration_ms=whole_ms,
        at_ms=whole_ms,
        expected_ms=IDEAL_MS,
        deadline_ms=plan.deadline_ms,
    )


def get_excess(plan: Plan, step: delay_lib.Step) -> float:
    return plan.excess_ms if plan.step is step else 0.0


def run_task(
    entry: Node, agent: Node, plan: Plan, task: int, claim_ms: float
) -> list[tuple[float, int, t.Callable[[float], None]]]:
    """Returns the moments of one task, each with what is recorded then."""
    slow = task == 1
    excess = {
        step: get_excess(plan, step) if slow else 0.0 for step in delay_lib.Step
    }
    run_ms = RUN_MS + excess[delay_lib.Step.RUN]
    if plan.all_long:
        run_ms = RUN_MS + plan.excess_ms
    wait_ms = excess[delay_lib.Step.QUEUE]
    sent_ms = claim_ms + 1 + excess[delay_lib.Step.DISPATCH]
    queued_ms = sent_ms + 1 + excess[delay_lib.Step.NETWORK]
    started_ms = queued_ms + wait_ms
    answered_ms = started_ms + run_ms
    names = {"task": task, "attempt": 1, "epoch": 1}
    stamps = {}

    def send(at_ms: float) -> None:
        stamps["sent"] = entry.record(
            at_ms,
            Kind.SENT,
            peer=agent.name,
            expected_ms=RUN_MS,
            at_ms=at_ms,
            **names,
        )

    def queue(at_ms: float) -> None:
        agent.receive(at_ms, stamps["sent"])
        agent.record(
            at_ms,
            Kind.QUEUED,
            peer=ENTRY,
            profile=PROFILE,
            count=90 if wait_ms else 0,
            subject=plan.ahead if wait_ms else "",
            **names,
        )

    def start(at_ms: float) -> None:
        agent.record(at_ms, Kind.STARTED, duration_ms=wait_ms, **names)

    def answer(at_ms: float) -> None:
        stamps["answered"] = agent.record(
            at_ms, Kind.ANSWERED, duration_ms=run_ms, **names
        )

    def receive(at_ms: float) -> None:
        entry.receive(at_ms, stamps["answered"])
        entry.record(
            at_ms,
            Kind.RECEIVED,
            peer=agent.name,
            duration_ms=run_ms,
            wait_ms=wait_ms,
            at_ms=at_ms,
            **names,
        )

    return [
        (sent_ms, 0, send),
        (queued_ms, 1, queue),
        (started_ms, 2, start),
        (answered_ms, 3, answer),
        (answered_ms + 1, 4, receive),
    ]


def shuffle(
    events: t.Iterable[event_lib.Event], seed: int
) -> list[event_lib.Event]:
    rows = list(events)
    random.Random(seed).shuffle(rows)
    return rows


def build_incident(number: int, wall_ms: int = START_MS, **values):
    job = f"job-{number}"
    base = incident_lib.Incident(
        id=f"{job}/entry/{number}",
        job=job,
        process="entry",
        wall_ms=wall_ms,
        trouble=incident_lib.Trouble.FAILED,
        cause=cause_lib.Cause.RUNNER_ERROR,
        profile="votive-order",
        ending=ending_lib.Ending.FAILED,
    )
    return base._replace(**values)


def build_late_incident(tasks: int) -> incident_lib.Incident:
    plan = Plan(tasks=tasks, step=delay_lib.Step.QUEUE, names_last=True)
    events = play(plan)
    trouble = incident_lib.find_trouble(events)
    return incident_lib.create_incident(
        JOB, ENTRY, START_MS + 9_000, trouble, events
    )
