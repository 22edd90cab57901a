"""The incident: a job that ended badly, with its evidence."""

from __future__ import annotations

import collections.abc
import enum
import typing as t

from skylarkcleat.model import cause as cause_lib
from skylarkcleat.timeline import diagnosis as diagnosis_lib
from skylarkcleat.timeline import ending as ending_lib
from skylarkcleat.timeline import event as event_lib
from skylarkcleat.timeline import facts as facts_lib
from skylarkcleat.timeline import job_summary
from skylarkcleat.timeline import kind as kind_lib
from skylarkcleat.timeline import lateness

MAX_FULL_TASKS = 4
MAX_EVENTS = 128


class Trouble(enum.StrEnum):
    """Why a job is kept as an incident."""

    LATE = "late"
    FAILED = "failed"
    UNKNOWN = "unknown"
    REFUSED = "refused"
    RESUBMITTED = "resubmitted"
    ENTRY_LOST = "entry-lost"


class Incident(t.NamedTuple):
    """What one process saw of a job that ended badly.

    Several processes may report the same job; `explain` takes the events of
    all of them together.

    Attributes:
        id: The same for the same job, process and evidence;
            `job/process/last stamp/number of events`.
        job: The job's identifier.
        process: The process that reports it.
        wall_ms: When it was reported, in milliseconds since the epoch.
        trouble: Why it is kept.
        cause: The cause as far as the reporter knew it.
        profile: The profile's name.
        ending: What the caller was told; None if that is not known.
        late_ms: By how much it was late, in milliseconds.
        summary: The cause in one sentence, from all that was at hand then.
        omitted: Events of the job that were left out.
        events: The events that the cause rests on, causes before effects.
    """

    id: str
    job: str
    process: str
    wall_ms: int
    trouble: Trouble
    cause: cause_lib.Cause
    profile: str = ""
    ending: ending_lib.Ending | None = None
    late_ms: float = 0.0
    summary: str = ""
    omitted: int = 0
    events: tuple[event_lib.Event, ...] = ()


def find_trouble(
    events: collections.abc.Iterable[event_lib.Event],
) -> Trouble | None:
    """Returns why a job is worth keeping, or None if it went well.

    Args:
        events: Of one job, as its entry recorded them.
    """
    rows = list(events)
    for row in reversed(rows):
        if row.kind is kind_lib.Kind.FINISHED:
            return _judge_finished(row, rows)
    if any(row.kind is kind_lib.Kind.RESUBMITTED for row in rows):
        return Trouble.RESUBMITTED
    return None


def create_incident(
    job: str,
    process: str,
    wall_ms: int,
    trouble: Trouble,
    events: collections.abc.Iterable[event_lib.Event],
) -> Incident:
    """Returns a compact incident.

    Args:
        job: The job's identifier.
        process: The name of the process that reports it.
        wall_ms: The wall clock, in milliseconds since the epoch.
        trouble: Why it is kept.
        events: All that is at hand, also of other processes.
    """
    facts = facts_lib.gather_facts(job, events)
    kept = choose_events(facts)
    last = facts.events[-1].stamp if facts.events else 0
    diagnosis = diagnosis_lib.diagnose(facts)
    return Incident(
        id=f"{job}/{process}/{last}/{len(facts.events)}",
        job=job,
        process=process,
        wall_ms=wall_ms,
        trouble=trouble,
        cause=diagnosis.cause,
        profile=facts.profile,
        ending=diagnosis.ending,
        late_ms=diagnosis.late_ms,
        summary=job_summary.format_summary(facts, diagnosis),
        omitted=len(facts.events) - len(kept),
        events=kept,
    )


def strip_events(incident: Incident) -> Incident:
    """Returns the incident with its cause but without its events."""
    omitted = incident.omitted + len(incident.events)
    return incident._replace(omitted=omitted, events=())


def choose_events(
    facts: facts_lib.JobFacts,
) -> tuple[event_lib.Event, ...]:
    """Returns the events that a cause rests on.

    Those are the ones of the job as a whole, those with a cause, and every
    event of the few tasks that took longest.
    """
    longest = _choose_tasks(facts)
    rows = [
        row
        for row in facts.events
        if row.task == event_lib.NO_TASK
        or row.cause is not None
        or row.task in longest
    ]
    if len(rows) <= MAX_EVENTS:
        return tuple(rows)
    half = MAX_EVENTS // 2
    return tuple(rows[:half] + rows[-half:])


def choose_witnesses(
    events: collections.abc.Iterable[event_lib.Event], job: str
) -> tuple[str, ...]:
    """Returns the agents worth asking for their events of a job.

    Args:
        events: What the entry recorded.
        job: The job's identifier.
    """
    facts = facts_lib.gather_facts(job, events)
    longest = _choose_tasks(facts)
    names = {
        each.agent
        for each in facts.attempts
        if each.key.task in longest and each.agent
    }
    return tuple(sorted(names))


def _choose_tasks(facts: facts_lib.JobFacts) -> set[int]:
    """Returns the slowest tasks, led by any without an answer, and a usual one.

    The usual one shows what the others are to be compared with.
    """

    def get_rank(attempt: facts_lib.AttemptFacts) -> tuple[bool, float]:
        received = attempt.received
        answered = received is not None and received.cause is None
        return not answered, received.at_ms if received else 0.0

    ranked = sorted(facts.latest_attempts, key=get_rank, reverse=True)
    chosen = ranked[: MAX_FULL_TASKS - 1] + ranked[len(ranked) // 2 :][:1]
    return {each.key.task for each in chosen}


def _judge_finished(
    finished: event_lib.Event, rows: list[event_lib.Event]
) -> Trouble | None:
    troubles = {
        ending_lib.Ending.NOT_RUN: Trouble.REFUSED,
        ending_lib.Ending.FAILED: Trouble.FAILED,
        ending_lib.Ending.UNKNOWN: Trouble.UNKNOWN,
    }
    if finished.ending in troubles:
        return troubles[finished.ending]
    late_ms = lateness.get_late_ms(
        finished.duration_ms, finished.expected_ms, finished.deadline_ms
    )
    if late_ms:
        return Trouble.LATE
    if any(row.kind is kind_lib.Kind.RESUBMITTED for row in rows):
        return Trouble.RESUBMITTED
    return None
