"""Outlier detection: ejects failing agents, probes and readmits them.

An agent stands here for itself and the runner beside it. One whose attempts
fail clearly more often than those of its pool is ejected for some time. It is
then sent one attempt at a time as a probe, and readmitted after successes.
"""

from __future__ import annotations

import enum
import random

# An agent is ejected after this many failures in a row, if its score is also
# more than twice the median of its pool.
EJECT_AFTER_FAILURES = 3

# The first ejection lasts about this long, and each further one twice as long
# as the one before, up to the maximum.
BASE_EJECTION_S = 1.0
MAX_EJECTION_S = 30.0

# A probed agent is readmitted after this many successes in a row.
PROBES_TO_READMIT = 3

# After this many successes in a row the next ejection is short again.
SUCCESSES_TO_RESET_BACKOFF = 50

# The weight of the latest outcome in the moving average of failures.
SCORE_SMOOTHING = 0.25

# Even without failures in a row an agent is ejected when its score exceeds
# the median of its pool by more than this.
_MAX_EXCESS_SCORE = 0.55


class HealthState(enum.StrEnum):
    """Whether an agent may be sent work."""

    HEALTHY = "healthy"
    EJECTED = "ejected"
    PROBING = "probing"


class Health:
    """An entry's estimate of one agent's health.

    Attributes:
        score: A moving average of failures, from 0 to 1.
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
        """Returns the state; an ejection that is over becomes probing.

        Args:
            now: The monotonic clock in seconds.
        """
        if self._state is HealthState.EJECTED and now >= self._ejected_until:
            self._state = HealthState.PROBING
            self._consecutive_successes = 0
        return self._state

    def record_success(self) -> None:
        """Records a successful attempt."""
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
        """Records a failed attempt; ejects the agent if it is an outlier.

        Args:
            now: The monotonic clock in seconds.
            median_score: The median score of the agents in its pool.
            may_eject: Whether the pool may lose another agent; without it only
                a probed agent is ejected.
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
