"""The rates at which agents complete an entry's work."""

from __future__ import annotations

import math

# The time constant of the decay: older work counts less. Rates are unknown
# until this long after the first completed task.
_DECAY_S = 3.0
_DECAY_MS = 1000 * _DECAY_S

# The lowest rate that estimates assume, in milliseconds of work a millisecond;
# it avoids a division by zero.
_MIN_RATE = 0.001


class _DecayedSum:
    """A sum of work that decays exponentially."""

    __slots__ = ("_at", "_sum_ms")

    def __init__(self):
        self._sum_ms = 0.0
        self._at = 0.0

    def add(self, work_ms: float, now: float) -> None:
        self._sum_ms = self.find(now) + work_ms
        self._at = now

    def find(self, now: float) -> float:
        return self._sum_ms * math.exp((self._at - now) / _DECAY_S)


class ServiceRate:
    """Recently completed work, in total and by profile."""

    def __init__(self):
        self._total = _DecayedSum()
        self._profiles: dict[str, _DecayedSum] = {}
        self._first_served_at: float | None = None

    def add(self, profile: str, work_ms: float, now: float) -> None:
        """Records a completed task.

        Args:
            profile: Its profile's name.
            work_ms: Its run time on a runner of speed 1, in milliseconds.
            now: The monotonic clock in seconds.
        """
        if self._first_served_at is None:
            self._first_served_at = now
        self._total.add(work_ms, now)
        served = self._profiles.get(profile)
        if served is None:
            served = self._profiles[profile] = _DecayedSum()
        served.add(work_ms, now)

    def find_drain_ms(self, backlog_ms: float, now: float) -> float:
        """Returns the expected time to serve a backlog, in milliseconds.

        Args:
            backlog_ms: Its run time on a runner of speed 1.
            now: The monotonic clock in seconds.

        Returns:
            0 while too little work was completed for an estimate.
        """
        if not self._has_history(now):
            return 0.0
        return backlog_ms / max(self._total.find(now) / _DECAY_MS, _MIN_RATE)

    def find_profile_drain_ms(
        self,
        profile: str,
        backlog_ms: float,
        share: float,
        capacity: float,
        now: float,
    ) -> float:
        """Returns the expected time to serve a profile's own backlog.

        Args:
            profile: The profile's name.
            backlog_ms: Its run time on a runner of speed 1.
            share: The fraction of service that the profile is guaranteed.
            capacity: The work that the agents could do for this entry, in
                milliseconds of work a millisecond.
            now: The monotonic clock in seconds.

        Returns:
            0 while too little work was completed for an estimate.
        """
        if not self._has_history(now):
            return 0.0
        served = self._profiles.get(profile)
        served_ms = served.find(now) if served else 0.0
        rate = max(self._total.find(now) / _DECAY_MS, capacity)
        rate = max(served_ms / _DECAY_MS, share * rate, _MIN_RATE)
        return backlog_ms / rate

    def _has_history(self, now: float) -> bool:
        return (
            self._first_served_at is not None
            and now - self._first_served_at >= _DECAY_S
        )
