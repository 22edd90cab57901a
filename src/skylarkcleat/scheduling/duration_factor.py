"""The expected duration of tasks on a runner relative to the average one."""

from __future__ import annotations

import collections.abc
import math
import typing as t

from skylarkcleat.scheduling import cold_start as cold_start_lib
from skylarkcleat.scheduling import placed_run
from skylarkcleat.scheduling import speed as speed_lib

FACTOR_INTERVAL_S = 0.02
"""The interval at which a runner's duration factor is updated."""


class DurationFactor(t.NamedTuple):
    """A factor on durations, and how long it holds.

    Attributes:
        factor: The factor.
        due_at: From when on it may be out of date, in seconds.
    """

    factor: float
    due_at: float


def measure_factor(
    speed: speed_lib.RunnerSpeed,
    cold_start: cold_start_lib.ColdStart,
    runs: collections.abc.Collection[placed_run.PlacedRun],
    now: float,
) -> DurationFactor:
    """Returns a runner's factor, raised while its runs are late or it is cold.

    Args:
        speed: The measured speed of the runner.
        cold_start: Until when the runner is cold.
        runs: The runs there.
        now: The time, in seconds.
    """
    late_at = [
        placed_run.find_late_at(run) for run in runs if run.expected_s > 0
    ]
    next_late_at = min(late_at, default=math.inf)
    if next_late_at > now:
        factor = speed.find_factor(now)
    else:
        lateness = placed_run.list_lateness(runs, now)
        factor = speed.find_current_factor(now, lateness)
    factor *= cold_start.find_factor(now)
    decay_at = speed.find_decay_at(now)
    due_at = min(next_late_at, decay_at, cold_start.find_end(now))
    return DurationFactor(factor, max(due_at, now + FACTOR_INTERVAL_S))
