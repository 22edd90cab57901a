"""Tracks until when a copy of the directory may be acted on."""

from __future__ import annotations

# A process that received no confirmation for this long takes no new work.
CONFIG_LEASE_S = 2.5
# The largest rate difference of two clocks, as a fraction of elapsed time.
MAX_CLOCK_DRIFT = 0.001


class Freshness:
    """Tracks how recent a copy is known to be, on the holder's clock.

    Times are in seconds of a clock that keeps running while the machine is
    suspended.

    Attributes:
        as_of: The copy holds every change that was accepted before this
            time; None before the first confirmation.
    """

    def __init__(
        self,
        lease_s: float = CONFIG_LEASE_S,
        drift: float = MAX_CLOCK_DRIFT,
    ):
        """Creates the state of a holder without a confirmed copy.

        Args:
            lease_s: How long after `as_of` the copy stays in force.
            drift: The clock drift to allow for.
        """
        self.as_of: float | None = None
        self._lease_s = lease_s * (1 - drift)
        self._drift = drift

    def renew(self, sent_at: float, age_s: float) -> None:
        """Renews the lease from an answer to a poll; `as_of` never decreases.

        Args:
            sent_at: When the poll was sent, not when the answer arrived: the
                answer may have been delayed in the network for any time.
            age_s: The age of the sender's copy when it answered.
        """
        as_of = sent_at - age_s * (1 + self._drift)
        if self.as_of is None or as_of > self.as_of:
            self.as_of = as_of

    def is_in_force(self, now: float) -> bool:
        """Returns whether the holder may take new work."""
        return self.measure_remaining(now) > 0

    def measure_remaining(self, now: float) -> float:
        """Returns how many more seconds the copy is in force; 0 if expired."""
        if self.as_of is None:
            return 0.0
        return max(0.0, self.as_of + self._lease_s - now)

    def measure_age(self, now: float) -> float | None:
        """Returns the copy's age in seconds; None if never confirmed."""
        return None if self.as_of is None else max(0.0, now - self.as_of)
