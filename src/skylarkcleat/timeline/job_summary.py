"""Writes the one sentence that a manager reads first."""

from __future__ import annotations

import collections.abc

from skylarkcleat.model import cause as cause_lib
from skylarkcleat.timeline import delay as delay_lib
from skylarkcleat.timeline import diagnosis as diagnosis_lib
from skylarkcleat.timeline import ending as ending_lib
from skylarkcleat.timeline import event as event_lib
from skylarkcleat.timeline import facts as facts_lib
from skylarkcleat.timeline import kind as kind_lib
from skylarkcleat.timeline import missing as missing_lib
from skylarkcleat.timeline import phrases

_FLOOD_TASKS = 16
_MAX_NAMES = 3

_ENDINGS = {
    ending_lib.Ending.ANSWERED: "it was answered once",
    ending_lib.Ending.NOT_RUN: "none of it ran",
    ending_lib.Ending.FAILED: "the caller got no answer",
    ending_lib.Ending.UNKNOWN: "whether all of it ran is not known",
}
_OPENINGS = {
    ending_lib.Ending.ANSWERED: "Answered on time",
    ending_lib.Ending.NOT_RUN: "Refused, not run",
    ending_lib.Ending.FAILED: "Failed",
    ending_lib.Ending.UNKNOWN: "Outcome unknown",
}

_UNSURE = frozenset(
    {
        cause_lib.Cause.NOT_KNOWN,
        cause_lib.Cause.ENTRY_LOST,
        cause_lib.Cause.WAITED_FOR_SLOT,
        cause_lib.Cause.RAN_LONG,
        cause_lib.Cause.DEADLINE_PASSED,
    }
)


def format_summary(
    facts: facts_lib.JobFacts, diagnosis: diagnosis_lib.Diagnosis
) -> str:
    """Returns opening, cause and ending, and what is missing if it matters.

    Args:
        facts: What is known of the job.
        diagnosis: Its cause, and what that rests on.
    """
    opening = _write_opening(facts, diagnosis.late_ms)
    parts = [f"{opening}: {_write_cause(facts, diagnosis)}"]
    if diagnosis.ending:
        parts.append(_write_ending(diagnosis))
    elif facts.events:
        parts.append(_write_progress(facts))
    if diagnosis.missing and diagnosis.cause in _UNSURE:
        parts.append(f"missing: {_write_missing(diagnosis.missing)}")
    return "; ".join(parts)


def _write_opening(facts: facts_lib.JobFacts, late_ms: float) -> str:
    finished = facts.finished
    if finished is None or finished.ending is None:
        return "No outcome on record"
    if not late_ms:
        return _OPENINGS[finished.ending]
    against = "its ideal"
    limit_ms = finished.expected_ms
    if finished.deadline_ms and finished.duration_ms > finished.deadline_ms:
        against = "its deadline"
        limit_ms = finished.deadline_ms
    limit = f"{against} of {phrases.format_ms(limit_ms)}"
    return f"Late by {phrases.format_ms(late_ms)} against {limit}"


def _write_cause(
    facts: facts_lib.JobFacts, diagnosis: diagnosis_lib.Diagnosis
) -> str:
    cause, delay = diagnosis.cause, diagnosis.delay
    if delay and delay.cause is cause and delay.attempts:
        return _write_delay(facts, delay)
    if delay and delay.cause is cause and delay.subject:
        return f"{phrases.PHRASES[cause]} (`{delay.subject}`)"
    if cause is cause_lib.Cause.RESUBMITTED:
        return _write_resubmission(facts)
    text = phrases.PHRASES[cause]
    where = _find_where(facts, cause)
    return f"{text} ({where})" if where else text


def _write_delay(facts: facts_lib.JobFacts, delay: delay_lib.Delay) -> str:
    tasks = _write_tasks(facts, len(delay.attempts))
    place = _write_place(delay.attempts)
    amount = f" ({phrases.format_ms(delay.excess_ms)})"
    amount = amount if delay.excess_ms >= 1.0 else ""
    if delay.cause is cause_lib.Cause.QUEUED_BEHIND_OTHER_WORK:
        work = _write_work_ahead(delay)
        return f"{tasks} waited behind {work} on {place}{amount}"
    if delay.cause is cause_lib.Cause.QUEUED_BEHIND_OWN_WORK:
        own = f"other `{delay.subject}` tasks"
        return f"{tasks} waited behind {own} on {place}{amount}"
    if delay.cause is cause_lib.Cause.WAITED_FOR_SLOT:
        unknown = "whose work was ahead is not known"
        return f"{tasks} waited for a slot on {place}{amount}; {unknown}"
    if delay.step is delay_lib.Step.RETRY:
        first = phrases.PHRASES[delay.cause]
        return f"{tasks} had to be tried again{amount}, because {first}"
    return f"{tasks}: {phrases.PHRASES[delay.cause]}{amount}, on {place}"


def _write_tasks(facts: facts_lib.JobFacts, count: int) -> str:
    if facts.tasks:
        noun = "task" if facts.tasks == 1 else "tasks"
        return f"{count} of {facts.tasks} {noun}"
    return f"{count} task" if count == 1 else f"{count} tasks"


def _write_work_ahead(delay: delay_lib.Delay) -> str:
    ahead = max(
        (
            seen.count
            for each in delay.attempts
            for seen in (each.queued, each.received)
            if seen
        ),
        default=0,
    )
    if ahead >= _FLOOD_TASKS:
        return f"a flood of `{delay.subject}`"
    return f"`{delay.subject}`"


def _write_place(
    attempts: collections.abc.Sequence[facts_lib.AttemptFacts],
) -> str:
    zones = sorted({each.zone for each in attempts if each.zone})
    agents = sorted({each.agent for each in attempts if each.agent})
    if len(agents) == 1:
        where = f" in {_title(zones[0])}" if zones else ""
        return f"{agents[0]}{where}"
    if len(zones) == 1:
        return f"{_title(zones[0])}'s runners"
    if zones:
        return f"the runners of {', '.join(_title(zone) for zone in zones)}"
    return f"{len(agents)} runners" if agents else "the runners"


def _title(zone: str) -> str:
    return zone.replace("-", " ").title()


def _find_where(facts: facts_lib.JobFacts, cause: cause_lib.Cause) -> str:
    """Returns the tasks and agents at which a cause arose."""
    rows = [
        event
        for event in facts.events
        if event.cause is cause and event.task != event_lib.NO_TASK
    ]
    if not rows:
        return ""
    tasks = _write_tasks(facts, len({row.task for row in rows}))
    at_agent = {kind_lib.Kind.BROKEN, kind_lib.Kind.REFUSED}
    names = sorted(
        {row.process if row.kind in at_agent else row.peer for row in rows}
        - {""}
    )
    more = len(names) - _MAX_NAMES
    shown = ", ".join(names[:_MAX_NAMES]) + (f", {more} more" * (more > 0))
    return f"{tasks}, on {shown}" if shown else tasks


def _write_resubmission(facts: facts_lib.JobFacts) -> str:
    count = len(facts.resubmitted)
    times = "once more" if count == 1 else f"{count} times more"
    return f"it was submitted {times}, and nothing of it ran again"


def _write_ending(diagnosis: diagnosis_lib.Diagnosis) -> str:
    if diagnosis.cause is cause_lib.Cause.STARTED_TWICE:
        return f"the caller was told {diagnosis.ending.value!r}"
    return _ENDINGS[diagnosis.ending]


def _write_progress(facts: facts_lib.JobFacts) -> str:
    started = len({row.key.task for row in facts.attempts if row.started})
    answered = len(
        {
            row.key.task
            for row in facts.attempts
            if row.ended and row.ended.kind is kind_lib.Kind.ANSWERED
        }
    )
    tasks = _write_tasks(facts, started)
    return f"{tasks} known to have started, {answered} to have been answered"


def _write_missing(
    missing: collections.abc.Sequence[missing_lib.Missing],
) -> str:
    names = [f"{each.process} ({each.reason})" for each in missing]
    more = len(names) - _MAX_NAMES
    return ", ".join(names[:_MAX_NAMES]) + (f", {more} more" * (more > 0))
