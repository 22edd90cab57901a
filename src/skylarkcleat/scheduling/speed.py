"""How long tasks take: learned for each runner and each queue.

Estimates are off by a factor that differs by queue, and runners differ in
speed and may slow down at any time. Both factors are learned from the same
durations, so that a slow runner doesn't make a queue look long.
"""

from __future__ import annotations

import math

_QUEUE_WEIGHT = 0.05
_RUNNER_WEIGHT = 0.2
_MAX_FACTOR = math.log(30)
FORGET_S = 6.0
"""After this time without a task, a slow runner counts half as slow."""


class Speed:
    """How much longer one runner takes than others.

    Attributes:
        failures: Failed runs since the last one that was done.
        failed_at: When the last run failed, in seconds.
    """

    def __init__(self) -> None:
        self._log = 0.0
        self._samples = 0
        self._seen_at = 0.0
        self.failures = 0
        self.failed_at = 0.0

    def note_failure(self, now: float) -> None:
        """Takes in that a run failed or could not start."""
        self.failures += 1
        self.failed_at = now

    def find_factor(self, now: float) -> float:
        """Returns the factor on durations; a slow one is forgotten."""
        if self._log <= 0:
            return math.exp(self._log)
        idle_s = max(0.0, now - self._seen_at - FORGET_S)
        return math.exp(self._log * 0.5 ** (idle_s / FORGET_S))

    def learn(self, error: float, now: float) -> None:
        """Takes in the logarithm of a duration over its expectation."""
        self._samples += 1
        self._seen_at = now
        weight = max(_RUNNER_WEIGHT, 1 / (1 + self._samples))
        moved = self._log + weight * error
        self._log = max(-_MAX_FACTOR, min(_MAX_FACTOR, moved))


class Estimates:
    """How far the estimates of each queue are off."""

    def __init__(self) -> None:
        self._logs: dict[str, float] = {}

    def expect(self, queue: str, estimate_ms: int) -> float:
        """Returns a task's expected seconds on a runner of middling speed."""
        factor = math.exp(self._logs.get(queue, 0.0))
        return max(estimate_ms, 1) / 1000 * factor

    def learn(self, queue: str, error: float) -> None:
        """Takes in the logarithm of a duration over its expectation."""
        moved = self._logs.get(queue, 0.0) + _QUEUE_WEIGHT * error
        self._logs[queue] = max(-_MAX_FACTOR, min(_MAX_FACTOR, moved))
