"""Submissions that an owner has received and not yet taken up.

For more jobs than the owner has processor time for: in arrival order, each
would be taken up just before its caller leaves, and goodput would stay near
zero long after the load has fallen. So the newest are taken up first while the
queue is congested, and those that can't end in time any more are refused, which
costs a tenth of taking them up. The module does no I/O and reads no clock.
"""

from __future__ import annotations

import typing as t

from skylarkcleat.configuration import content
from skylarkcleat.protocol import scheduling
from skylarkcleat.wire import session as session_lib

CONGESTED_WAIT_S = 0.03
"""The intake is congested while its oldest submission has waited for longer:
half of the usual latency target of a queue."""


class Pending(t.NamedTuple):
    """A submission that waits to be taken up.

    Attributes:
        peer: The front that sent it.
        message: The submission.
        received_at: When the owner received it, in seconds.
        sent_at: When its caller sent it at the latest, in seconds.
        due_at: When it has to be taken up for the job to end in time.
    """

    peer: session_lib.Endpoint
    message: scheduling.Submit
    received_at: float
    sent_at: float
    due_at: float


_Key = tuple[session_lib.Endpoint, int]


class Intake:
    """Orders submissions, and tells which are too late to be of use."""

    def __init__(self) -> None:
        self._by_key: dict[_Key, Pending] = {}
        self._keys_by_job: dict[str, _Key] = {}

    def __len__(self) -> int:
        """Returns how many submissions wait."""
        return len(self._by_key)

    def add(self, pending: Pending) -> None:
        """Adds a submission; one that is sent again keeps its place."""
        key = (pending.peer, pending.message.request)
        known = self._by_key.get(key)
        if known is not None:
            pending = known._replace(message=pending.message)
        self._by_key[key] = pending
        self._keys_by_job[pending.message.job.id] = key

    def take(self, now: float) -> Pending | None:
        """Returns the submission to be taken up next; None without one."""
        if not self._by_key:
            return None
        if self.is_congested(now):
            return self._remove(next(reversed(self._by_key)))
        return self._remove(next(iter(self._by_key)))

    def take_late(self, now: float) -> list[Pending]:
        """Returns the submissions that are too late while it is congested.

        Without congestion there is time to take up late ones as well.
        """
        if not self.is_congested(now):
            return []
        late = [key for key, each in self._by_key.items() if now >= each.due_at]
        return [self._remove(key) for key in late]

    def take_job(self, job: str) -> Pending | None:
        """Returns a job's submission if it waits, to be taken up at once."""
        key = self._keys_by_job.get(job)
        return self._remove(key) if key is not None else None

    def discard(self, peer: session_lib.Endpoint, request: int) -> bool:
        """Removes a submission whose caller has gone; returns if it waited."""
        key = (peer, request)
        if key not in self._by_key:
            return False
        self._remove(key)
        return True

    def discard_front(self, name: str) -> None:
        """Removes the submissions of a front, which will send them again."""
        for key in [each for each in self._by_key if each[0].name == name]:
            self._remove(key)

    def clear(self) -> None:
        """Removes all submissions."""
        self._by_key.clear()
        self._keys_by_job.clear()

    def is_congested(self, now: float) -> bool:
        """Returns whether submissions come faster than they are taken up."""
        return self.find_wait_s(now) > CONGESTED_WAIT_S

    def find_wait_s(self, now: float) -> float:
        """Returns how long the oldest submission has waited, in seconds."""
        oldest = next(iter(self._by_key.values()), None)
        return now - oldest.received_at if oldest is not None else 0.0

    def _remove(self, key: _Key) -> Pending:
        pending = self._by_key.pop(key)
        job = pending.message.job.id
        if self._keys_by_job.get(job) == key:
            del self._keys_by_job[job]
        return pending


def create_pending(
    peer: session_lib.Endpoint,
    message: scheduling.Submit,
    queue: content.Queue | None,
    now: float,
) -> Pending:
    """Returns a submission that waits from now on.

    It is late once its work would end after its objective on an idle fleet.

    Args:
        peer: The front that sent it.
        message: The submission.
        queue: Its queue; None if it is unknown.
        now: The time, in seconds.
    """
    work_s = sum(step.estimate_ms for step in message.job.steps) / 1000
    slack_s = 0.0
    if queue is not None:
        slack_s = (queue.stretch - 1) * work_s + queue.latency_target_ms / 1000
    age_s = message.waited_ms / 1000 + message.find_transit_s(now)
    sent_at = now - age_s
    return Pending(peer, message, now, sent_at, sent_at + max(0.0, slack_s))
