"""Prediction of task durations, from those measured per runner and per queue.

Callers' estimates are wrong by a factor that differs by queue, and runners
differ in speed and may slow down at any time. Both factors are averaged over
the same durations, each corrected by the other, so that a slow runner doesn't
raise the factor of a queue. The averages are of logarithms, with exponentially
decreasing weights.
"""

from __future__ import annotations

import collections.abc
import math

_QUEUE_WEIGHT = 0.05
_RUNNER_WEIGHT = 0.3
_MAX_FACTOR = math.log(30)
_MIN_DURATION_S = 0.001
LATE_RATIO = 1.5
"""A run is late only beyond 1.5 times its expected duration: within a queue,
durations vary that much."""

SLOWNESS_DECAY_S = 6.0
"""After this time without a finished task, a runner's slowness starts to decay;
it halves, on the logarithmic scale, in every further such time."""


class RunnerSpeed:
    """How long tasks take on one runner, relative to the average runner.

    Attributes:
        failures: Consecutive failed runs since the last one that was done.
        failed_at: When the last run failed, in seconds.
    """

    def __init__(self) -> None:
        self._log_factor = 0.0
        self._samples = 0
        self._sampled_at = 0.0
        self.failures = 0
        self.failed_at = 0.0

    def record_failure(self, now: float) -> None:
        """Records that a run failed or could not start."""
        self.failures += 1
        self.failed_at = now

    def find_factor(self, now: float) -> float:
        """Returns the factor on durations; one above 1 decays while idle."""
        if self._log_factor <= 0:
            return math.exp(self._log_factor)
        idle_s = max(0.0, now - self._sampled_at - SLOWNESS_DECAY_S)
        return math.exp(self._log_factor * 0.5 ** (idle_s / SLOWNESS_DECAY_S))

    def find_decay_at(self, now: float) -> float:
        """Returns when the factor decays next without a finished task."""
        if self._log_factor <= 0:
            return math.inf
        return max(now, self._sampled_at + SLOWNESS_DECAY_S)

    def find_current_factor(
        self, now: float, lateness: collections.abc.Iterable[float]
    ) -> float:
        """Returns the factor on durations, raised for runs that are late.

        Detects a runner that turns slow before any of its runs has ended:
        until then there is no duration to record.

        Args:
            now: The time, in seconds.
            lateness: For each run that is under way, its age divided by its
                expected duration.
        """
        errors = [math.log(late) for late in lateness if late > 1]
        errors = [error for error in errors if error > math.log(LATE_RATIO)]
        late = min(sum(errors) * _RUNNER_WEIGHT, max(errors, default=0.0))
        return self.find_factor(now) * math.exp(min(late, _MAX_FACTOR))

    def record_duration(self, took_s: float, base_s: float, now: float) -> None:
        """Records the duration of a task on this runner.

        Args:
            took_s: The duration, in seconds.
            base_s: The expected duration on a runner of average speed, in
                seconds. The expected duration on this runner can't be used:
                many tasks end that started before the factor included the
                first of them.
            now: The time, in seconds.
        """
        self._samples += 1
        self._sampled_at = now
        weight = max(_RUNNER_WEIGHT, 1 / (1 + self._samples))
        self._log_factor += weight * (
            _find_log_ratio(took_s, base_s) - self._log_factor
        )


class EstimateFactors:
    """Corrects callers' estimates by a measured factor for each queue."""

    def __init__(self) -> None:
        self._log_factors: dict[str, float] = {}

    def predict_s(self, queue: str, estimate_ms: int) -> float:
        """Returns a task's expected duration on an average runner, in s."""
        factor = math.exp(self._log_factors.get(queue, 0.0))
        return max(estimate_ms, 1) / 1000 * factor

    def record_duration(
        self, queue: str, took_s: float, estimate_s: float
    ) -> None:
        """Records the duration of a task of a queue.

        Args:
            queue: The queue.
            took_s: The duration, in seconds.
            estimate_s: The caller's estimate times the runner's factor, in
                seconds.
        """
        known = self._log_factors.get(queue, 0.0)
        moved = _QUEUE_WEIGHT * (_find_log_ratio(took_s, estimate_s) - known)
        self._log_factors[queue] = known + moved


def _find_log_ratio(took_s: float, expected_s: float) -> float:
    ratio = max(took_s, _MIN_DURATION_S) / max(expected_s, _MIN_DURATION_S)
    return max(-_MAX_FACTOR, min(_MAX_FACTOR, math.log(ratio)))
