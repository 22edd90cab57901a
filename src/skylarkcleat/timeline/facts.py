"""What a job's events say, sorted by what they are of."""

from __future__ import annotations

import collections
import collections.abc
import typing as t

from skylarkcleat.model import cause as cause_lib
from skylarkcleat.timeline import event as event_lib
from skylarkcleat.timeline import kind as kind_lib
from skylarkcleat.timeline import order

_ENTRY_KINDS = frozenset(
    {
        kind_lib.Kind.ACCEPTED,
        kind_lib.Kind.CLAIMED,
        kind_lib.Kind.TAKEN_OVER,
        kind_lib.Kind.SENT,
        kind_lib.Kind.RECEIVED,
        kind_lib.Kind.RETRIED,
        kind_lib.Kind.FINISHED,
    }
)


class AttemptFacts(t.NamedTuple):
    """What is known of one attempt; None where nothing is.

    Attributes:
        key: Which attempt it is.
        sent: At the entry.
        queued: At the agent.
        started: At the agent.
        ended: `ANSWERED` or `BROKEN` at the agent.
        refused: `REFUSED` or `REVOKED` at the agent.
        received: At the entry.
    """

    key: order.AttemptKey
    sent: event_lib.Event | None = None
    queued: event_lib.Event | None = None
    started: event_lib.Event | None = None
    ended: event_lib.Event | None = None
    refused: event_lib.Event | None = None
    received: event_lib.Event | None = None

    @property
    def agent(self) -> str:
        """The agent's name; empty if it is not known."""
        seen = self.queued or self.started or self.ended or self.refused
        if seen:
            return seen.process
        entry_side = self.sent or self.received
        return entry_side.peer if entry_side else ""

    @property
    def zone(self) -> str:
        """The agent's availability zone; empty if it is not known."""
        seen = self.queued or self.started or self.ended or self.refused
        return seen.zone if seen else ""

    @property
    def wait_ms(self) -> float:
        """The time in the agent's queue, in milliseconds; 0 if unknown."""
        if self.started:
            return self.started.duration_ms
        if self.received:
            return self.received.wait_ms
        return self.refused.wait_ms if self.refused else 0.0

    @property
    def run_ms(self) -> float:
        """The time on the runner, in milliseconds; 0 if unknown."""
        seen = self.ended or self.received
        return seen.duration_ms if seen else 0.0

    @property
    def expected_ms(self) -> float:
        """The run time expected, in milliseconds; 0 if unknown."""
        for seen in (self.sent, self.queued, self.started):
            if seen and seen.expected_ms:
                return seen.expected_ms
        return 0.0


class JobFacts(t.NamedTuple):
    """What is known of one job.

    Attributes:
        job: The job's identifier.
        events: Every event of the job, causes before effects.
        entry: The entry that answers for it; empty if it is not known.
        accepted: By the entry that the caller reached; None if unknown.
        claimed: The latest claim or take-over; None if unknown.
        finished: How it ended for the caller; None if unknown.
        resubmitted: Each further submission that was stopped from running.
        losses: Each process that was found lost while it had to do with it.
        attempts: By task, epoch and number.
    """

    job: str
    events: tuple[event_lib.Event, ...]
    entry: str
    accepted: event_lib.Event | None
    claimed: event_lib.Event | None
    finished: event_lib.Event | None
    resubmitted: tuple[event_lib.Event, ...]
    losses: tuple[event_lib.Event, ...]
    attempts: tuple[AttemptFacts, ...]

    @property
    def profile(self) -> str:
        """The profile's name; empty if it is not known."""
        names = (event.profile for event in self.events if event.profile)
        return next(names, "")

    @property
    def tasks(self) -> int:
        """How many tasks it has; 0 if that is not known."""
        return self.accepted.count if self.accepted else 0

    @property
    def latest_attempts(self) -> list[AttemptFacts]:
        """The last attempt at each task."""
        return list({each.key.task: each for each in self.attempts}.values())


def gather_facts(
    job: str, events: collections.abc.Iterable[event_lib.Event]
) -> JobFacts:
    """Returns what the events say of a job.

    Args:
        job: The job's identifier.
        events: Of any jobs and processes, in any order, also repeated.
    """
    rows = order.order_events(event for event in events if event.job == job)
    by_kind: dict[kind_lib.Kind, list[event_lib.Event]]
    by_kind = collections.defaultdict(list)
    for row in rows:
        by_kind[row.kind].append(row)
    claims = by_kind[kind_lib.Kind.CLAIMED] + by_kind[kind_lib.Kind.TAKEN_OVER]
    claimed = max(claims, key=lambda row: row.epoch, default=None)
    finished = _choose_finished(by_kind[kind_lib.Kind.FINISHED], claimed)
    accepted = _choose_accepted(by_kind[kind_lib.Kind.ACCEPTED], claims)
    return JobFacts(
        job=job,
        events=tuple(rows),
        entry=_find_entry(rows, claimed or accepted or finished),
        accepted=accepted,
        claimed=claimed,
        finished=finished,
        resubmitted=tuple(by_kind[kind_lib.Kind.RESUBMITTED]),
        losses=tuple(by_kind[kind_lib.Kind.LOST]),
        attempts=_gather_attempts(rows),
    )


def _choose_finished(
    rows: list[event_lib.Event], claimed: event_lib.Event | None
) -> event_lib.Event | None:
    """Prefers the owner's word over that of an entry that was asked again.

    A caller that hung up there may have had its answer elsewhere.
    """
    owned = [
        row
        for row in rows
        if claimed
        and row.process == claimed.process
        and row.cause is not cause_lib.Cause.CANCELLED
    ]
    candidates = owned or rows
    return candidates[-1] if candidates else None


def _choose_accepted(
    rows: list[event_lib.Event], claims: list[event_lib.Event]
) -> event_lib.Event | None:
    owners = {claim.process for claim in claims}
    owned = [row for row in rows if row.process in owners]
    candidates = owned or rows
    return candidates[0] if candidates else None


def _find_entry(
    rows: list[event_lib.Event], known: event_lib.Event | None
) -> str:
    if known:
        return known.process
    for row in rows:
        if row.kind in _ENTRY_KINDS:
            return row.process
    return next((row.peer for row in rows if row.attempt and row.peer), "")


def _gather_attempts(
    rows: list[event_lib.Event],
) -> tuple[AttemptFacts, ...]:
    fields = {
        kind_lib.Kind.SENT: "sent",
        kind_lib.Kind.QUEUED: "queued",
        kind_lib.Kind.STARTED: "started",
        kind_lib.Kind.ANSWERED: "ended",
        kind_lib.Kind.BROKEN: "ended",
        kind_lib.Kind.REFUSED: "refused",
        kind_lib.Kind.REVOKED: "refused",
        kind_lib.Kind.RECEIVED: "received",
    }
    found: dict[order.AttemptKey, dict[str, event_lib.Event]] = {}
    for row in rows:
        if row.attempt and row.kind in fields:
            key = order.get_attempt_key(row)
            found.setdefault(key, {}).setdefault(fields[row.kind], row)
    return tuple(AttemptFacts(key, **found[key]) for key in sorted(found))
