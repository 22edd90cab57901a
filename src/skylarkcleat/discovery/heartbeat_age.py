"""How old an owner's heartbeats are when they are handled.

A heartbeat tells when it was sent, on the owner's clock. The least time between
that and its handling shows how the two clocks differ; what a later one takes
beyond it, it has waited: in a link, or in a process that stood still.
"""

from __future__ import annotations

from skylarkcleat.scheduling import lease


class HeartbeatAge:
    """Measures the heartbeats of the owner in one term."""

    def __init__(self) -> None:
        self._term = 0
        self._least_s = 0.0
        self._measured_at = 0.0

    def measure(self, term: int, sent_at: float, now: float) -> float:
        """Returns how long a heartbeat has waited, in seconds.

        The first one of a term is taken for new.
        """
        took_s = now - sent_at
        if term != self._term:
            self._term = term
            self._least_s = took_s
        # The clocks may have drifted apart since.
        drift_s = lease.CLOCK_DRIFT * (now - self._measured_at)
        self._least_s = min(self._least_s + drift_s, took_s)
        self._measured_at = now
        return took_s - self._least_s
