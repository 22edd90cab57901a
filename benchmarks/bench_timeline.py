"""Measures what the account of outcomes costs, and works out its cost at scale.

Run `python benchmarks/bench_timeline.py`. Every figure is a slope over at
least three sizes, of processor time of this process unless said otherwise.
"""

from __future__ import annotations

import collections.abc
import gc
import statistics
import tempfile
import time
import tracemalloc
import typing as t

from benchmarks import account_scale
from skylarkcleat import logs
from skylarkcleat import metrics as metrics_lib
from skylarkcleat.model import cause as cause_lib
from skylarkcleat.model import member
from skylarkcleat.timeline import clock as clock_lib
from skylarkcleat.timeline import delay as delay_lib
from skylarkcleat.timeline import ending as ending_lib
from skylarkcleat.timeline import explanation
from skylarkcleat.timeline import incident as incident_lib
from skylarkcleat.timeline import incident_codec
from skylarkcleat.timeline import incident_store
from skylarkcleat.timeline import kind as kind_lib
from skylarkcleat.timeline import record_codec
from skylarkcleat.timeline import recorder as recorder_lib
from skylarkcleat.timeline import stored_record
from tests import timeline_cases as cases

REPEATS = 9
EVENT_SIZES = (20_000, 40_000, 80_000)
MEMORY_SIZES = (9_000, 18_000, 36_000)
CALL_SIZES = (5_000, 10_000, 20_000)
LOG_SIZES = (500, 1_000, 2_000)
TASK_SIZES = (30, 120, 480)
STORE_SIZES = (200, 400, 800)
OPEN_SIZES = (2_000, 4_000, 8_000)

Run = collections.abc.Callable[[int], object]


class Line(t.NamedTuple):
    """A straight line through measurements.

    Attributes:
        slope: What one more of the size costs.
        points: What was measured at each size.
    """

    slope: float
    points: tuple[float, ...]


def fit(sizes: tuple[int, ...], points: list[float]) -> Line:
    """Returns the line of least squares."""
    slope = statistics.linear_regression(sizes, points).slope
    return Line(slope, tuple(points))


def time_sizes(run: Run, sizes: tuple[int, ...]) -> Line:
    """Returns processor seconds by size, the best of several runs each."""
    best = dict.fromkeys(sizes, float("inf"))
    for _ in range(REPEATS):
        for size in sizes:
            gc.collect()
            begin = time.process_time()
            run(size)
            spent = time.process_time() - begin
            best[size] = min(best[size], spent)
    return fit(sizes, list(best.values()))


def create_recorder() -> recorder_lib.Recorder:
    """Returns a recorder whose rate is out of the way."""
    clock = clock_lib.HybridClock()
    return recorder_lib.Recorder("agent-a-1", "valdosta", clock, max_rate=1e12)


def record_events(size: int, recorder: recorder_lib.Recorder) -> None:
    """Records an agent's three events for each task of jobs of 20."""
    kinds = (
        kind_lib.Kind.QUEUED,
        kind_lib.Kind.STARTED,
        kind_lib.Kind.ANSWERED,
    )
    for number in range(size // 3):
        job = f"job-{number // account_scale.TASKS_PER_JOB}"
        for kind in kinds:
            recorder.record(
                kind,
                cases.START_MS + number,
                job,
                number % account_scale.TASKS_PER_JOB,
                1,
                1,
                "entry-a-1",
                profile="votive-order",
                duration_ms=100.0,
            )


def measure_event_bytes() -> Line:
    """Returns the memory that kept events take."""
    points = []
    for size in MEMORY_SIZES:
        gc.collect()
        tracemalloc.start()
        recorder = create_recorder()
        record_events(size, recorder)
        points.append(float(tracemalloc.get_traced_memory()[0]))
        tracemalloc.stop()
    return fit(MEMORY_SIZES, points)


def build_events(tasks: int) -> tuple[cases.event_lib.Event, ...]:
    """Returns the events of a late job, over all its processes."""
    plan = cases.Plan(tasks=tasks, step=delay_lib.Step.QUEUE, names_last=True)
    return cases.play(plan)


def create_incident(
    events: tuple[cases.event_lib.Event, ...],
) -> incident_lib.Incident:
    """Returns the incident of a late job."""
    late = incident_lib.Trouble.LATE
    return incident_lib.create_incident(
        cases.JOB, cases.ENTRY, cases.START_MS, late, events
    )


def measure_bytes(incident: incident_lib.Incident) -> int:
    """Returns what an incident takes on the wire and on the disk."""
    return len(incident_codec.pack_incidents([incident]))


def measure_head_bytes() -> float:
    """Returns what a record on the disk takes beyond the packed incident."""
    incident = create_incident(build_events(120))
    record = record_codec.encode_record(stored_record.encode(incident))
    return float(len(record) - measure_bytes(incident))


def time_by_tasks(
    run: collections.abc.Callable[[tuple[cases.event_lib.Event, ...]], object],
) -> Line:
    """Returns processor seconds by the tasks of a job."""
    jobs = {tasks: build_events(tasks) for tasks in TASK_SIZES}
    return time_sizes(lambda tasks: run(jobs[tasks]), TASK_SIZES)


def time_store() -> tuple[Line, Line, float]:
    """Returns processor and wall seconds by incidents, and bytes of one."""
    whole = create_incident(build_events(120))
    walls = []

    def append(size: int) -> None:
        with tempfile.TemporaryDirectory() as folder:
            store = incident_store.IncidentStore(folder, 1 << 40, 1 << 30)
            rows = [whole._replace(id=str(i)) for i in range(size)]
            with store:
                begin = time.perf_counter()
                for first in range(0, size, 64):
                    store.append(rows[first : first + 64], cases.START_MS)
                walls.append((size, time.perf_counter() - begin))

    spent = time_sizes(append, STORE_SIZES)
    wall = [min(w for n, w in walls if n == size) for size in STORE_SIZES]
    return spent, fit(STORE_SIZES, wall), float(measure_bytes(whole))


def time_start() -> Line:
    """Returns processor seconds to open a store, by incidents in it."""
    whole = create_incident(build_events(120))
    with tempfile.TemporaryDirectory() as folder:
        paths = {size: f"{folder}/{size}" for size in OPEN_SIZES}
        for size, path in paths.items():
            rows = [whole._replace(id=str(i)) for i in range(size)]
            with incident_store.IncidentStore(path, 1 << 40, 1 << 30) as store:
                store.append(rows, cases.START_MS)

        def open_store(size: int) -> None:
            with incident_store.IncidentStore(paths[size], 1 << 40, 1 << 30):
                pass

        return time_sizes(open_store, OPEN_SIZES)


def time_calls() -> dict[str, Line]:
    """Returns processor seconds by calls, of metrics and clock."""
    entry = metrics_lib.create_metrics(member.Role.ENTRY)
    agent = metrics_lib.create_metrics(member.Role.AGENT)
    clock = clock_lib.HybridClock()
    ending, cause = ending_lib.Ending.ANSWERED, cause_lib.Cause.ON_TIME

    def count_outcomes(size: int) -> None:
        for _ in range(size):
            entry.count_outcome("votive", ending, cause, 120.0, 100.0)

    def observe_tasks(size: int) -> None:
        for _ in range(size):
            agent.observe_task("votive", 20.0, 100.0)

    def merge_and_tick(size: int) -> None:
        for i in range(size):
            clock.merge(clock.last + 3, cases.START_MS + i)
            clock.tick(cases.START_MS + i)

    return {
        "metrics: count_outcome": time_sizes(count_outcomes, CALL_SIZES),
        "metrics: observe_task": time_sizes(observe_tasks, CALL_SIZES),
        "clock: merge and tick": time_sizes(merge_and_tick, CALL_SIZES),
    }


def time_logs() -> dict[str, Line]:
    """Returns processor seconds by jobs, logged and above the rate.

    The thread that writes the file counts as well.
    """
    with tempfile.TemporaryDirectory() as folder:
        path = f"{folder}/entry.log"

        def log_jobs(rate: float) -> Run:
            def run(size: int) -> None:
                with logs.create_log("info", path, "entry-a-1", rate) as log:
                    for _ in range(size):
                        action = log.start_job("job-1", "votive", 20, now=0.0)
                        if action:
                            logs.get_task_id(action)
                            action.finish()

            return run

        return {
            "log: job, start to finish": time_sizes(log_jobs(1e9), LOG_SIZES),
            "log: job above the rate": time_sizes(log_jobs(1.0), CALL_SIZES),
        }


def show(name: str, line: Line, sizes: tuple[int, ...], unit: str) -> None:
    """Prints a slope and what was measured at each size."""
    scale = {"us": 1e6, "bytes": 1.0}[unit]
    each = ", ".join(
        f"{size}: {point / size * scale:.2f}"
        for size, point in zip(sizes, line.points, strict=True)
    )
    print(f"{name:32} {line.slope * scale:9.2f} {unit} each  ({each})")


def main() -> None:
    """Measures everything and prints the cost at the largest size."""
    recorder = create_recorder()
    record_events(recorder_lib.DEFAULT_MAX_EVENTS, recorder)
    event = time_sizes(lambda size: record_events(size, recorder), EVENT_SIZES)
    show("recorder: event", event, EVENT_SIZES, "us")
    memory = measure_event_bytes()
    show("recorder: memory of an event", memory, MEMORY_SIZES, "bytes")
    calls = time_calls()
    for name, line in calls.items():
        show(name, line, CALL_SIZES, "us")
    for name, line in time_logs().items():
        show(name, line, CALL_SIZES if "above" in name else LOG_SIZES, "us")
    trouble = time_by_tasks(incident_lib.find_trouble)
    show("incident: is it one? by task", trouble, TASK_SIZES, "us")
    create = time_by_tasks(create_incident)
    show("incident: create, by task", create, TASK_SIZES, "us")
    explain = time_by_tasks(lambda rows: explanation.explain(cases.JOB, rows))
    show("explain, by task", explain, TASK_SIZES, "us")
    stored, wall, size = time_store()
    show("store: incident", stored, STORE_SIZES, "us")
    show("store: incident, wall time", wall, STORE_SIZES, "us")
    show("store: open, by incident", time_start(), OPEN_SIZES, "us")
    stripped = measure_bytes(
        incident_lib.strip_events(create_incident(build_events(120)))
    )
    print(f"incident: {size:.0f} bytes whole, {stripped} stripped")
    costs = account_scale.Costs(
        event_s=event.slope,
        event_bytes=memory.slope,
        outcome_s=calls["metrics: count_outcome"].slope,
        task_s=calls["metrics: observe_task"].slope,
        trouble_s=trouble.slope,
        create_s=create.slope,
        store_s=stored.slope,
        full_bytes=size,
        stripped_bytes=float(stripped),
        head_bytes=measure_head_bytes(),
    )
    for line in account_scale.work_out(costs):
        print(line)


if __name__ == "__main__":
    main()
