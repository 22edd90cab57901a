"""The last seconds of a front: when it refuses jobs and when it gives up."""

from __future__ import annotations

NOTICE_S = 2.2
"""The load balancer stops sending callers after two failed health checks, a
second apart."""

GRACE_FRACTION = 5 / 6
"""The fraction of the grace period after which open requests are ended."""

ANSWER_S = 0.001
"""The most processor time that one answer takes, on a VM of less than a
core."""

EXIT_S = 0.3
"""The time between the last answer and the end of the process."""


class Drain:
    """A planned stop, timed from the signal on.

    All that a front does before it ends takes place within one grace period,
    whatever it has to wait for meanwhile.

    Args:
        grace_s: How long after the signal the process is killed, in seconds.
        now: When the signal arrived, in seconds.
    """

    def __init__(self, grace_s: float, now: float) -> None:
        self._begun_at = now
        self._limit_s = grace_s * GRACE_FRACTION
        self._last_answer_s = grace_s - EXIT_S

    def find_age_s(self, now: float) -> float:
        """Returns the seconds since the signal."""
        return now - self._begun_at

    def is_closed(self, now: float) -> bool:
        """Returns whether new jobs are refused."""
        return self.find_age_s(now) > NOTICE_S

    def is_over(self, now: float, open_requests: int) -> bool:
        """Returns whether no request is open any more, or has to be ended."""
        is_idle = self.is_closed(now) and not open_requests
        return is_idle or self.find_age_s(now) > self._limit_s

    def count_excess(self, now: float, open_requests: int) -> int:
        """Returns how many open requests have to be ended now.

        The others can still be answered within the grace period if no reply
        comes for them.
        """
        left_s = max(0.0, self._last_answer_s - self.find_age_s(now))
        return max(0, open_requests - int(left_s / ANSWER_S))
