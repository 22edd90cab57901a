"""The side processes that a new owner must hear before it starts tasks.

A side process may run tasks of the previous owner until it has reported its
runs to the new one, or until its lease from the previous one has expired.
"""

from __future__ import annotations

import collections.abc

import eliot

from skylarkcleat.scheduling import lease

LOG_INTERVAL_S = 0.5
"""How often an owner that waits for side processes logs whom it waits for."""

LOGGED_NAMES = 4


class Settling:
    """Tracks the side processes that may run tasks of a previous owner.

    Args:
        settled_at: Until this time side processes that no front has named may
            run such tasks, in seconds.
        now: The time, in seconds.

    Attributes:
        settled_at: The same.
    """

    def __init__(self, settled_at: float, now: float) -> None:
        self.settled_at = settled_at
        self._unreported: dict[str, float] = {}
        self._waiting_since: float | None = now
        self._logged_at = now

    @property
    def sides(self) -> tuple[str, ...]:
        """The names of the side processes that have not reported."""
        return tuple(self._unreported)

    def is_settled(self, now: float) -> bool:
        """Returns whether every task that may be running is known."""
        return not self._unreported and now >= self.settled_at

    def expect(self, side: str, now: float) -> None:
        """Adds a side process that may run tasks of a previous owner."""
        self._unreported[side] = lease.find_expiry(now)
        if self._waiting_since is None:
            self._waiting_since = self._logged_at = now

    def record_report(self, side: str) -> None:
        """Records that a side process has reported all its runs."""
        self._unreported.pop(side, None)

    def expire(
        self, registered: collections.abc.Container[str], now: float
    ) -> list[str]:
        """Drops sides whose leases from a previous owner have expired.

        A side process that has registered may still extend the runs of that
        lease until it has reported, so it is kept.

        Returns:
            The names of those that were dropped.
        """
        expired = [
            side
            for side, until in self._unreported.items()
            if now >= until and side not in registered
        ]
        for side in expired:
            del self._unreported[side]
            eliot.log_message("owner:side-unheard", side=side)
        return expired

    def log_progress(
        self, registered: collections.abc.Container[str], now: float
    ) -> None:
        """Logs at intervals whom the owner waits for, and once that it ends."""
        if self._waiting_since is None:
            return
        waited_ms = round((now - self._waiting_since) * 1000)
        if self.is_settled(now):
            self._waiting_since = None
            eliot.log_message("owner:settled", waited_ms=waited_ms)
        elif now - self._logged_at >= LOG_INTERVAL_S:
            self._logged_at = now
            names = sorted(self._unreported)
            eliot.log_message(
                "owner:waiting",
                waited_ms=waited_ms,
                sides=len(names),
                registered=sum(name in registered for name in names),
                first=names[:LOGGED_NAMES],
            )
