"""Ejection of bad workers: found fast, probed gently, let back."""

from __future__ import annotations

import enum
import random

EJECT_AFTER_FAILURES = 3
BASE_EJECTION_S = 1.0
MAX_EJECTION_S = 30.0
PROBES_TO_READMIT = 3
SUCCESSES_TO_RESET_BACKOFF = 50
SCORE_SMOOTHING = 0.25
_MAX_EXCESS_SCORE = 0.55


class HealthState(enum.StrEnum):
    """Whether a worker takes work."""

    HEALTHY = "healthy"
    EJECTED = "ejected"
    PROBING = "probing"


class Health:
    """What an entry holds of one worker's health.

    Attributes:
        score: The recent share of failures, from 0 to 1.
    """

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._state = HealthState.HEALTHY
        self._ejected_until = 0.0
        self._ejections = 0
        self._consecutive_successes = 0
        self._consecutive_failures = 0
        self.score = 0.0

    def find_state(self, now: float) -> HealthState:
        """Returns the state, after an ejection that is over has ended.

        Args:
            now: The monotonic clock in seconds.
        """
        if self._state is HealthState.EJECTED and now >= self._ejected_until:
            self._state = HealthState.PROBING
            self._consecutive_successes = 0
        return self._state

    def record_success(self) -> None:
        """Takes in an answer."""
        self.score -= self.score * SCORE_SMOOTHING
        self._consecutive_failures = 0
        self._consecutive_successes += 1
        if self._consecutive_successes < PROBES_TO_READMIT:
            return
        if self._state is HealthState.PROBING:
            self._state = HealthState.HEALTHY
            self.score = 0.0
        elif self._consecutive_successes >= SUCCESSES_TO_RESET_BACKOFF:
            self._ejections = 0

    def record_failure(
        self, now: float, median_score: float, may_eject: bool
    ) -> None:
        """Takes in a failure, and ejects the worker if it is worse than most.

        Args:
            now: The monotonic clock in seconds.
            median_score: The median score of the workers in its pool.
            may_eject: Whether the pool can do without the worker.
        """
        self.score += (1 - self.score) * SCORE_SMOOTHING
        self._consecutive_failures += 1
        self._consecutive_successes = 0
        probing = self._state is HealthState.PROBING
        if probing or (may_eject and self._is_worse_than_median(median_score)):
            self._eject(now)

    def _is_worse_than_median(self, median_score: float) -> bool:
        if self._state is not HealthState.HEALTHY:
            return False
        is_failing_repeatedly = (
            self._consecutive_failures >= EJECT_AFTER_FAILURES
            and self.score > 2 * median_score
        )
        return (
            is_failing_repeatedly
            or self.score - median_score > _MAX_EXCESS_SCORE
        )

    def _eject(self, now: float) -> None:
        ejection_s = min(MAX_EJECTION_S, BASE_EJECTION_S * 2**self._ejections)
        self._ejected_until = now + ejection_s * self._rng.uniform(0.8, 1.2)
        self._ejections += 1
        self._consecutive_failures = 0
        self._state = HealthState.EJECTED
