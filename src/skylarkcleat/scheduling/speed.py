"""How long tasks take: learned for each runner and each queue.

Estimates are off by a factor that differs by queue, and runners differ in
speed and may slow down at any time. Both factors are learned from the same
durations, so that a slow runner doesn't make a queue look long.
"""

from __future__ import annotations

import collections.abc
import math

_QUEUE_WEIGHT = 0.05
_RUNNER_WEIGHT = 0.3
_MAX_FACTOR = math.log(30)
_MIN_DURATION_S = 0.001
_LATE_LOG_RATIO = math.log(1.5)
"""A run that takes less than half as long again as expected is not late: a
queue's own durations spread as much."""

SLOWNESS_DECAY_S = 6.0
"""After this time without a task, a slow runner counts half as slow."""


class RunnerSpeed:
    """How much longer one runner takes than others.

    Attributes:
        failures: Failed runs since the last one that was done.
        failed_at: When the last run failed, in seconds.
    """

    def __init__(self) -> None:
        self._log_factor = 0.0
        self._samples = 0
        self._sampled_at = 0.0
        self.failures = 0
        self.failed_at = 0.0

    def record_failure(self, now: float) -> None:
        """Takes in that a run failed or could not start."""
        self.failures += 1
        self.failed_at = now

    def find_factor(self, now: float) -> float:
        """Returns the factor on durations; a slow one is forgotten."""
        if self._log_factor <= 0:
            return math.exp(self._log_factor)
        idle_s = max(0.0, now - self._sampled_at - SLOWNESS_DECAY_S)
        return math.exp(self._log_factor * 0.5 ** (idle_s / SLOWNESS_DECAY_S))

    def find_current_factor(
        self, now: float, lateness: collections.abc.Iterable[float]
    ) -> float:
        """Returns the factor on durations, with what runs late counted.

        Answers a runner that turns slow: nothing ends there for a while, so
        that nothing would be learned.

        Args:
            now: The time, in seconds.
            lateness: Of each run that is under way, the time that it has taken
                over the time that it was expected to take.
        """
        errors = [math.log(late) for late in lateness if late > 1]
        errors = [error for error in errors if error > _LATE_LOG_RATIO]
        late = min(sum(errors) * _RUNNER_WEIGHT, max(errors, default=0.0))
        return self.find_factor(now) * math.exp(min(late, _MAX_FACTOR))

    def record_duration(self, took_s: float, base_s: float, now: float) -> None:
        """Takes in a duration.

        Args:
            took_s: How long a task took, in seconds.
            base_s: How long it was expected to take on a runner of average
                speed. What was expected here says nothing: many tasks end that
                began before the first of them was learned from.
            now: The time, in seconds.
        """
        self._samples += 1
        self._sampled_at = now
        weight = max(_RUNNER_WEIGHT, 1 / (1 + self._samples))
        self._log_factor += weight * (
            _find_log_ratio(took_s, base_s) - self._log_factor
        )


class EstimateFactors:
    """How far the estimates of each queue are off."""

    def __init__(self) -> None:
        self._log_factors: dict[str, float] = {}

    def predict_s(self, queue: str, estimate_ms: int) -> float:
        """Returns a task's expected seconds on a runner of average speed."""
        factor = math.exp(self._log_factors.get(queue, 0.0))
        return max(estimate_ms, 1) / 1000 * factor

    def record_duration(
        self, queue: str, took_s: float, estimate_s: float
    ) -> None:
        """Takes in a duration.

        Args:
            queue: The queue.
            took_s: How long a task took, in seconds.
            estimate_s: How long it would take by its estimate on that runner.
        """
        known = self._log_factors.get(queue, 0.0)
        moved = _QUEUE_WEIGHT * (_find_log_ratio(took_s, estimate_s) - known)
        self._log_factors[queue] = known + moved


def _find_log_ratio(took_s: float, expected_s: float) -> float:
    ratio = max(took_s, _MIN_DURATION_S) / max(expected_s, _MIN_DURATION_S)
    return max(-_MAX_FACTOR, min(_MAX_FACTOR, math.log(ratio)))
