"""Standard scenarios: steady load, floods and faults on ten runners."""

from __future__ import annotations

import typing as t

from skylarkcleat.emulator import runner as runner_lib
from skylarkcleat.emulator import workload

PROFILES = ("orders", "stock", "fitting", "courier")
FLOOD = "flood"
RUNNERS = 10
SLOTS = 8

# Jobs that arrive during the warm-up are not measured.
WARM_UP_S = 10.0

# How many times the capacity of all runners arrives in a flood.
FLOOD_FACTOR = 10.0
FLOOD_START_S = 15.0


class Scenario(t.NamedTuple):
    """A run to measure.

    Attributes:
        jobs: The jobs in the order of their arrival.
        runners: The runners.
        faults: The faults of the run.
    """

    jobs: list[workload.JobSpec]
    runners: list[runner_lib.Runner]
    faults: runner_lib.Faults = runner_lib.NO_FAULTS

    def list_measured(self) -> list[workload.JobSpec]:
        """Returns the jobs after the warm-up."""
        return [job for job in self.jobs if job.at >= WARM_UP_S]


def create_steady(
    load: float,
    span_s: float,
    seed: int,
    declared: bool = True,
    faults: runner_lib.Faults = runner_lib.NO_FAULTS,
) -> Scenario:
    """Returns a run at a steady load.

    Args:
        load: The work that arrives, as a fraction of the fleet's capacity.
        span_s: How long jobs arrive, in seconds.
        seed: Makes the run reproducible.
        declared: Whether jobs declare their tasks' run times.
        faults: The faults of the run.
    """
    runners = runner_lib.create_runners(RUNNERS)
    streams = _create_streams(load, span_s, runners, declared)
    jobs = workload.create_jobs(streams, seed)
    return Scenario(jobs, runners, faults)


def create_flood(
    load: float,
    span_s: float,
    seed: int,
    urgency: int | None,
    entry_weights: tuple[float, ...] = (1.0, 1.0, 1.0),
) -> Scenario:
    """Returns a run with a flood of ten times the fleet's capacity.

    The flood's profile is named `flood` and has the same weight as others.

    Args:
        load: The work of the other profiles, as a fraction of the capacity.
        span_s: How long jobs arrive, in seconds.
        seed: Makes the run reproducible.
        urgency: The flood's urgency; None for the same run without it.
        entry_weights: How the flood spreads over the entries.
    """
    runners = runner_lib.create_runners(RUNNERS)
    streams = _create_streams(load, span_s, runners, True)
    if urgency is not None:
        flood = workload.Stream(
            workload.create_profile(FLOOD, urgency),
            FLOOD_FACTOR * find_capacity(runners),
            FLOOD_START_S,
            span_s,
            entry_weights=entry_weights,
        )
        streams.append(flood)
    return Scenario(workload.create_jobs(streams, seed), runners)


def create_burst(load: float, span_s: float, seed: int) -> Scenario:
    """Returns a steady run with five times the load for 2 s in the middle."""
    runners = runner_lib.create_runners(RUNNERS)
    streams = _create_streams(load, span_s, runners, True)
    middle = span_s / 2
    burst = workload.Stream(
        workload.create_profile("burst"),
        4 * load * find_capacity(runners),
        middle,
        middle + 2.0,
    )
    jobs = workload.create_jobs([*streams, burst], seed)
    return Scenario(jobs, runners)


def create_faults(span_s: float) -> dict[str, runner_lib.Faults]:
    """Returns faults of each kind, which begin mid-run, by name.

    Args:
        span_s: How long jobs arrive, in seconds.
    """
    middle = span_s / 2
    end = middle + 15.0
    return {
        "none": runner_lib.NO_FAULTS,
        "dead worker": runner_lib.Faults(
            crashes=(runner_lib.Crash(7, middle, middle + 2.0),)
        ),
        "straggler": runner_lib.Faults(
            slowdowns=(runner_lib.Slowdown(8, middle, end, 0.1),)
        ),
        "black hole": runner_lib.Faults(
            black_holes=(runner_lib.BlackHole(6, middle, end),)
        ),
        "flapping": runner_lib.Faults(
            black_holes=tuple(
                runner_lib.BlackHole(6, middle + 4.0 * i, middle + 4.0 * i + 2)
                for i in range(4)
            )
        ),
        "all fail": runner_lib.Faults(
            black_holes=tuple(
                runner_lib.BlackHole(i, middle, middle + 1.0)
                for i in range(RUNNERS)
            )
        ),
        "cancellations": runner_lib.Faults(
            mass_cancellations=(
                runner_lib.MassCancellation(middle, 0.5),
                runner_lib.MassCancellation(middle + 1.0, 0.5),
            )
        ),
        "entry lost": runner_lib.Faults(
            entry_losses=(runner_lib.EntryLoss(1, middle),)
        ),
    }


def find_capacity(runners: t.Sequence[runner_lib.Runner]) -> float:
    """Returns the work that runners can do, in seconds of work a second."""
    return SLOTS * sum(runner.speed for runner in runners)


def _create_streams(
    load: float,
    span_s: float,
    runners: t.Sequence[runner_lib.Runner],
    declared: bool,
) -> list[workload.Stream]:
    rate = load * find_capacity(runners) / len(PROFILES)
    return [
        workload.Stream(
            workload.create_profile(name), rate, 0.0, span_s, declared
        )
        for name in PROFILES
    ]
