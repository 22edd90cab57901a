"""The rates at which an entry's work is served."""

from __future__ import annotations

import math

_DECAY_S = 3.0
_DECAY_MS = 1000 * _DECAY_S
_MIN_RATE = 0.001


class _DecayedSum:
    """A decayed sum of work."""

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
    """Work served of late, in all and by profile."""

    def __init__(self):
        self._total = _DecayedSum()
        self._profiles: dict[str, _DecayedSum] = {}
        self._first_served_at: float | None = None

    def add(self, profile: str, work_ms: float, now: float) -> None:
        """Takes in a served task.

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
        """Returns how long a backlog takes to be served, in milliseconds.

        Args:
            backlog_ms: Its run time on a runner of speed 1.
            now: The monotonic clock in seconds.

        Returns:
            0 while too little was served to tell.
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
        """Returns how long a profile's own backlog takes to be served.

        Args:
            profile: The profile's name.
            backlog_ms: Its run time on a runner of speed 1.
            share: The part of the service that the profile is guaranteed.
            capacity: The work that agents could do for the entry, in
                milliseconds of speed 1 a millisecond.
            now: The monotonic clock in seconds.

        Returns:
            0 while too little was served to tell.
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
