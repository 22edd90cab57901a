"""Logs how loaded the owner here is, and when it becomes overloaded."""

from __future__ import annotations

import collections.abc

import eliot

from skylarkcleat import containment as containment_lib
from skylarkcleat.discovery import owner_load
from skylarkcleat.front import ownership as ownership_lib

INTERVAL_S = 1.0
"""The shortest time between two lines while it isn't overloaded anew."""


class LoadLog:
    """Measures the load of the owner here, and logs it.

    Args:
        load: Tells whether the owner is overloaded.
        ownership: The owner.
        count_sent: Returns the bytes that this front has sent so far.
    """

    def __init__(
        self,
        load: owner_load.OwnerLoad,
        ownership: ownership_lib.Ownership,
        count_sent: collections.abc.Callable[[], int],
    ) -> None:
        self._load = load
        self._ownership = ownership
        self._count_sent = count_sent
        self._containment = containment_lib.Containment()
        self._logged_at = float("-inf")

    def begin(self, now: float) -> None:
        """Begins a term."""
        self._load.begin(now, self._count_sent())

    def record(self, term: int, now: float) -> None:
        """Records the load up to now; to be called several times a second."""
        with self._containment.contain("record the load", now):
            self._record(term, now)

    def is_overloaded(self, now: float) -> bool:
        """Returns whether this front is to own the jobs only if it must."""
        with self._containment.contain("measure the load", now):
            return self._load.is_overloaded(now)
        return False

    def _record(self, term: int, now: float) -> None:
        is_congested = self._ownership.is_congested(now)
        use = owner_load.Use(self._count_sent(), is_congested)
        if self._load.record(use, now):
            self._write(owner_load.LAGGING, term, now)
        elif now - self._logged_at >= INTERVAL_S:
            self._logged_at = now
            self._write(owner_load.LOAD, term, now)

    def _write(self, kind: str, term: int, now: float) -> None:
        intake, wait_s = self._ownership.describe_intake(now)
        eliot.log_message(
            kind,
            term=term,
            jobs=self._ownership.count_jobs(),
            intake=intake,
            wait_ms=round(wait_s * 1000),
            link_share=round(self._load.link_share, 3),
            congested_share=round(self._load.congested_share, 3),
        )
