"""Reproducible random workloads with true and declared run times.

True run times are log-uniform with a long tail. Declared ones are off by a
log-normal factor, which is larger for outliers.
"""

from __future__ import annotations

import bisect
import math
import random
import typing as t

from skylarkcleat.model import profile as profile_lib

MIN_RUN_MS = 50.0
MAX_RUN_MS = 1_000.0
MAX_TAIL_MS = 8_000.0
TAIL_FRACTION = 0.02
MAX_TASKS = 80
OUTLIER_FRACTION = 0.1
DECLARED_SIGMA = 0.4
OUTLIER_SIGMA = 1.5
UPSTREAM = "parts"


class JobSpec(t.NamedTuple):
    """A job of a workload.

    Attributes:
        name: The job's identifier.
        at: When it arrives, in seconds.
        entry: The position of the entry that it is submitted to.
        profile: The job's profile.
        runs_ms: Each task's true run time on a runner of speed 1.
        sizes_ms: Each task's declared run time; empty if none is declared.
    """

    name: str
    at: float
    entry: int
    profile: profile_lib.Profile
    runs_ms: tuple[float, ...]
    sizes_ms: tuple[int, ...]


class Stream(t.NamedTuple):
    """A stream of jobs of one profile.

    Attributes:
        profile: The profile.
        work_rate: The work that arrives, in seconds of work a second.
        start: When it begins, in seconds.
        end: When it ends, in seconds.
        declared: Whether jobs declare their tasks' run times.
        entry_weights: The relative rates of its jobs at the entries.
        max_tasks: The most tasks of a job.
    """

    profile: profile_lib.Profile
    work_rate: float
    start: float
    end: float
    declared: bool = True
    entry_weights: tuple[float, ...] = (1.0, 1.0, 1.0)
    max_tasks: int = MAX_TASKS


def create_profile(
    name: str, urgency: int = 5, weight: int = 10, deadline_ms: int = 30_000
) -> profile_lib.Profile:
    """Returns a profile for a workload."""
    return profile_lib.Profile(
        name,
        1,
        (UPSTREAM,),
        urgency=urgency,
        weight=weight,
        deadline_ms=deadline_ms,
    )


def create_jobs(streams: t.Sequence[Stream], seed: int) -> list[JobSpec]:
    """Returns the jobs of all streams in the order of their arrival.

    Each stream has its own random generator, so that adding a stream doesn't
    change the jobs of the others.

    Args:
        streams: The streams.
        seed: Makes the jobs reproducible.
    """
    jobs = []
    for stream in streams:
        rng = random.Random(f"{seed}/{stream.profile.name}/{stream.start}")
        jobs.extend(_create_stream_jobs(stream, rng))
    return sorted(jobs, key=lambda job: (job.at, job.name))


def find_mean_job_s(max_tasks: int) -> float:
    """Returns a job's mean work: seconds of run time at speed 1."""
    tasks = (max_tasks - 1) / math.log(max_tasks) if max_tasks > 1 else 1.0
    body = _find_log_uniform_mean(MIN_RUN_MS, MAX_RUN_MS)
    tail = _find_log_uniform_mean(MAX_RUN_MS, MAX_TAIL_MS)
    return tasks * (body * (1 - TAIL_FRACTION) + tail * TAIL_FRACTION) / 1000


def _create_stream_jobs(
    stream: Stream, rng: random.Random
) -> t.Iterator[JobSpec]:
    rate = stream.work_rate / find_mean_job_s(stream.max_tasks)
    bounds = [
        sum(stream.entry_weights[: i + 1])
        for i in range(len(stream.entry_weights))
    ]
    at = stream.start + rng.expovariate(rate)
    serial = 0
    while at < stream.end:
        serial += 1
        tasks = min(stream.max_tasks, int(stream.max_tasks ** rng.random()))
        runs_ms = tuple(_draw_run_ms(rng) for _ in range(tasks))
        sizes_ms = tuple(_draw_size_ms(run_ms, rng) for run_ms in runs_ms)
        entry = bisect.bisect(bounds, rng.random() * bounds[-1])
        yield JobSpec(
            f"{stream.profile.name}-{stream.start:g}-{serial}",
            at,
            entry,
            stream.profile,
            runs_ms,
            sizes_ms if stream.declared else (),
        )
        at += rng.expovariate(rate)


def _draw_run_ms(rng: random.Random) -> float:
    if rng.random() < TAIL_FRACTION:
        return MAX_RUN_MS * (MAX_TAIL_MS / MAX_RUN_MS) ** rng.random()
    return MIN_RUN_MS * (MAX_RUN_MS / MIN_RUN_MS) ** rng.random()


def _draw_size_ms(run_ms: float, rng: random.Random) -> int:
    is_outlier = rng.random() < OUTLIER_FRACTION
    sigma = OUTLIER_SIGMA if is_outlier else DECLARED_SIGMA
    return max(1, round(run_ms * rng.lognormvariate(0.0, sigma)))


def _find_log_uniform_mean(low: float, high: float) -> float:
    return (high - low) / math.log(high / low)
