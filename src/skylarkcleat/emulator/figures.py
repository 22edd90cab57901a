"""Metrics of runs: percentiles, ratios to ideals, impact of a flood."""

from __future__ import annotations

import math
import typing as t

from skylarkcleat.emulator import ideal
from skylarkcleat.emulator import scenarios
from skylarkcleat.emulator import simulation

PERCENTILES = (50.0, 99.0, 99.9)


class Ratios(t.NamedTuple):
    """A ratio at each of the percentiles reported."""

    p50: float
    p99: float
    p999: float


class Comparison(t.NamedTuple):
    """Response times of runs compared with ideal schedules.

    Attributes:
        central: Response time percentiles divided by those of the omniscient
            central queue for the same jobs.
        alone: Percentiles of the slowdowns: each job's response time divided
            by its response time alone on the idle fleet.
        central_alone: The same for the central queue.
    """

    central: Ratios
    alone: Ratios
    central_alone: Ratios


class FloodImpact(t.NamedTuple):
    """The effect of one profile's flood on the jobs of other profiles.

    Attributes:
        goodput: The fraction of jobs answered, divided by that without the
            flood.
        ratios: Response time percentiles divided by those without the flood.
        waste: The largest fraction of wasted messages in any run.
        jobs: How many jobs other profiles submitted.
    """

    goodput: float
    ratios: Ratios
    waste: float
    jobs: int


Run = tuple[simulation.Outcome, scenarios.Scenario]


def find_percentile(values: t.Sequence[float], percent: float) -> float:
    """Returns the nearest-rank percentile of a non-empty sequence."""
    ordered = sorted(values)
    rank = math.ceil(percent / 100 * len(ordered))
    return ordered[max(0, rank - 1)]


def find_ratios(values: t.Sequence[float], base: t.Sequence[float]) -> Ratios:
    """Returns percentiles of values divided by those of a base."""
    return Ratios(
        *(
            find_percentile(values, percent) / find_percentile(base, percent)
            for percent in PERCENTILES
        )
    )


def compare_runs(runs: t.Sequence[Run]) -> Comparison:
    """Compares the pooled response times of runs with the ideals.

    Args:
        runs: Each run's outcome and its scenario.
    """
    ours_s: list[float] = []
    central_s: list[float] = []
    alone_s: list[float] = []
    for outcome, run in runs:
        central = ideal.find_central_s(
            run.jobs, run.runners, simulation.SLOTS, run.faults
        )
        speeds = [runner.speed for runner in run.runners]
        for job in run.list_measured():
            if job.name not in outcome.responses:
                continue
            ours_s.append(outcome.responses[job.name])
            central_s.append(central[job.name])
            alone_s.append(ideal.find_alone_s(job, speeds, simulation.SLOTS))
    return Comparison(
        find_ratios(ours_s, central_s),
        _find_slowdowns(ours_s, alone_s),
        _find_slowdowns(central_s, alone_s),
    )


def compare_flood(
    with_flood: t.Sequence[Run], without_flood: t.Sequence[Run]
) -> FloodImpact:
    """Returns the effect of a flood on the jobs of other profiles.

    Args:
        with_flood: Runs with a flood.
        without_flood: The same runs without it.
    """
    with_flood_s, submitted = _list_other_responses(with_flood)
    without_flood_s, without_flood_submitted = _list_other_responses(
        without_flood
    )
    goodput = len(with_flood_s) / submitted
    return FloodImpact(
        goodput / (len(without_flood_s) / without_flood_submitted),
        find_ratios(with_flood_s, without_flood_s),
        max(outcome.find_waste() for outcome, _ in with_flood),
        submitted,
    )


def _list_other_responses(runs: t.Sequence[Run]) -> tuple[list[float], int]:
    """Returns response times and the number of other profiles' jobs."""
    answered_s = []
    submitted = 0
    for outcome, run in runs:
        for job in run.jobs:
            if job.profile.name == scenarios.FLOOD:
                continue
            if job.at < scenarios.FLOOD_START_S:
                continue
            submitted += 1
            if job.name in outcome.responses:
                answered_s.append(outcome.responses[job.name])
    return answered_s, submitted


def _find_slowdowns(
    values: t.Sequence[float], base: t.Sequence[float]
) -> Ratios:
    slowdowns = [a / b for a, b in zip(values, base, strict=True)]
    return Ratios(
        *(find_percentile(slowdowns, percent) for percent in PERCENTILES)
    )
