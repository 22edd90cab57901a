"""Hands incidents to control at least once, within a budget of bytes."""

from __future__ import annotations

import collections.abc
import typing as t

from skylarkcleat.timeline import incident as incident_lib
from skylarkcleat.timeline import incident_codec
from skylarkcleat.timeline import rate as rate_lib

DEFAULT_BYTES_PER_S = 2_048.0
DEFAULT_BURST_BYTES = 262_144.0
FULL_SHARE = 0.5
MIN_INCIDENT_BYTES = 256
MAX_PENDING = 2_048
MAX_BATCH = 64
RESEND_AFTER_S = 2.0


class Batch(t.NamedTuple):
    """Incidents that are due for control.

    Attributes:
        incidents: At most `MAX_BATCH`.
        unrecorded: Incidents left out since the start of the process.
    """

    incidents: tuple[incident_lib.Incident, ...]
    unrecorded: int


class Reporter:
    """Decides which incidents go to control, how full, and when again.

    While more than `FULL_SHARE` of the budget is left, an incident goes with
    its events; below that with its cause alone; and when nothing is left it
    is counted and not sent. What was sent is sent again until acknowledged.

    Attributes:
        stripped: Incidents that went without their events.
        unrecorded: Incidents that were not sent at all.
    """

    def __init__(
        self,
        bytes_per_s: float = DEFAULT_BYTES_PER_S,
        burst_bytes: float = DEFAULT_BURST_BYTES,
        max_pending: int = MAX_PENDING,
    ) -> None:
        """Creates a reporter with nothing to say.

        Args:
            bytes_per_s: What incidents may cost on the wire, over time.
            burst_bytes: What may be saved up for a bad minute.
            max_pending: The most incidents that wait for control.
        """
        self.stripped = 0
        self.unrecorded = 0
        self._bucket = rate_lib.TokenBucket(bytes_per_s, burst_bytes)
        self._max_pending = max_pending
        self._waiting: dict[str, incident_lib.Incident] = {}
        self._sent_at: dict[str, float] = {}

    @property
    def pending(self) -> int:
        """Incidents that control has not acknowledged."""
        return len(self._waiting)

    def has_room(self, now: float) -> bool:
        """Tells whether an incident made now would go to control at all.

        Args:
            now: Seconds of a monotonic clock.
        """
        self._bucket.refill(now)
        full = len(self._waiting) >= self._max_pending
        return not full and self._bucket.tokens >= MIN_INCIDENT_BYTES

    def leave_out(self) -> None:
        """Counts an incident that was not made for lack of room."""
        self.unrecorded += 1

    def report(self, incident: incident_lib.Incident, now: float) -> None:
        """Takes an incident in, whole, stripped or as a count.

        Args:
            incident: What happened.
            now: Seconds of a monotonic clock.
        """
        if incident.id in self._waiting:
            return
        if len(self._waiting) >= self._max_pending:
            self.unrecorded += 1
            return
        size = len(incident_codec.pack_incidents([incident]))
        self._bucket.refill(now)
        reserve = self._bucket.burst * (1.0 - FULL_SHARE)
        if self._bucket.tokens - size < reserve:
            incident = incident_lib.strip_events(incident)
            size = len(incident_codec.pack_incidents([incident]))
            self.stripped += 1
        if not self._bucket.take(now, size):
            self.stripped -= 1
            self.unrecorded += 1
            return
        self._waiting[incident.id] = incident

    def take_due(self, now: float) -> Batch | None:
        """Returns what to send now, or None if nothing is due.

        Args:
            now: Seconds of a monotonic clock.
        """
        due = []
        for id_, incident in self._waiting.items():
            sent_at = self._sent_at.get(id_)
            if sent_at is None or now - sent_at >= RESEND_AFTER_S:
                due.append(incident)
                if len(due) == MAX_BATCH:
                    break
        if not due:
            return None
        for incident in due:
            self._sent_at[incident.id] = now
        return Batch(tuple(due), self.unrecorded)

    def acknowledge(self, ids: collections.abc.Iterable[str]) -> None:
        """Forgets incidents that control has on its disk."""
        for id_ in ids:
            self._waiting.pop(id_, None)
            self._sent_at.pop(id_, None)
