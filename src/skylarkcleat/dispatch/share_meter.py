"""Detection of profiles that use more than their guaranteed share."""

from __future__ import annotations

import math

# The time constant of the decay: older use counts less.
_DECAY_S = 3.0

# A profile is over its share when it uses more than this many times as much.
_OVER_SHARE_FACTOR = 1.5

# A profile that uses at most this fraction of the total is dropped, and has no
# part in the shares.
_ACTIVE_SHARE = 0.02


class _Usage:
    """A profile's use of the slots, which decays exponentially."""

    __slots__ = ("at", "sum_ms", "weight")

    def __init__(self):
        self.at = 0.0
        self.sum_ms = 0.0
        self.weight = 1

    def find(self, now: float) -> float:
        return self.sum_ms * math.exp((self.at - now) / _DECAY_S)


class ShareMeter:
    """Compares recent use of the slots with the profiles' weights."""

    def __init__(self):
        self._usages: dict[str, _Usage] = {}

    def add(self, profile: str, weight: int, run_ms: float, now: float) -> None:
        """Records that a task of a profile got a slot.

        Args:
            profile: The profile's name.
            weight: Its weight.
            run_ms: The task's expected run time in milliseconds.
            now: The monotonic clock in seconds.
        """
        usage = self._usages.get(profile)
        if usage is None:
            usage = self._usages[profile] = _Usage()
        usage.sum_ms = usage.find(now) + run_ms
        usage.at = now
        usage.weight = max(1, weight)

    def find_over_share(self, now: float) -> frozenset[str]:
        """Returns the profiles that are well over their shares.

        Args:
            now: The monotonic clock in seconds.
        """
        used = {name: usage.find(now) for name, usage in self._usages.items()}
        total = sum(used.values())
        active = [name for name in used if used[name] > _ACTIVE_SHARE * total]
        weights = sum(self._usages[name].weight for name in active)
        for name in used.keys() - set(active):
            del self._usages[name]
        return frozenset(
            name
            for name in active
            if used[name] * weights
            > _OVER_SHARE_FACTOR * self._usages[name].weight * total
        )
