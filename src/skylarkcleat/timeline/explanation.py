"""Explains one job: one cause in plain words, then the evidence."""

from __future__ import annotations

import collections.abc
import typing as t

from skylarkcleat.model import cause as cause_lib
from skylarkcleat.timeline import diagnosis as diagnosis_lib
from skylarkcleat.timeline import ending as ending_lib
from skylarkcleat.timeline import event as event_lib
from skylarkcleat.timeline import event_text
from skylarkcleat.timeline import facts as facts_lib
from skylarkcleat.timeline import incident as incident_lib
from skylarkcleat.timeline import job_summary
from skylarkcleat.timeline import missing as missing_lib


class Explanation(t.NamedTuple):
    """What is known of a job.

    Attributes:
        job: The job's identifier.
        cause: One of the closed list.
        ending: What the caller was told; None if that is not known.
        late_ms: By how much the answer was late, in milliseconds; 0 if it
            was on time or is not known.
        summary: The cause in one sentence, for a manager.
        lines: The time line, causes before effects.
        missing: The evidence that is not at hand.
    """

    job: str
    cause: cause_lib.Cause
    ending: ending_lib.Ending | None
    late_ms: float
    summary: str
    lines: tuple[event_text.Line, ...]
    missing: tuple[missing_lib.Missing, ...]


def explain(
    job: str,
    events: collections.abc.Iterable[event_lib.Event],
    missing: collections.abc.Iterable[missing_lib.Missing] = (),
    incidents: collections.abc.Iterable[incident_lib.Incident] = (),
) -> Explanation:
    """Explains a job from the events that are at hand.

    An incident that rests on more events than are left speaks for itself:
    its cause and sentence are kept, and its events join the time line.

    Args:
        job: The job's identifier.
        events: Of any jobs and processes, in any order, also repeated.
        missing: The processes that were asked in vain.
        incidents: What control keeps of the job.
    """
    reports = [each for each in incidents if each.job == job]
    rows = [*events, *(row for each in reports for row in each.events)]
    facts = facts_lib.gather_facts(job, rows)
    diagnosis = diagnosis_lib.diagnose(facts, missing)
    explained = Explanation(
        job=job,
        cause=diagnosis.cause,
        ending=diagnosis.ending,
        late_ms=diagnosis.late_ms,
        summary=job_summary.format_summary(facts, diagnosis),
        lines=event_text.format_events(facts.events),
        missing=diagnosis.missing,
    )
    best = max(reports, key=_weigh, default=None)
    if best is None or not _rests_on_more(best, facts):
        return explained
    return explained._replace(
        cause=best.cause,
        ending=best.ending,
        late_ms=best.late_ms,
        summary=best.summary,
    )


def _weigh(incident: incident_lib.Incident) -> tuple[bool, bool, int]:
    clear = incident.cause not in cause_lib.PROVISIONAL_CAUSES
    evidence = incident.omitted + len(incident.events)
    return incident.ending is not None, clear, evidence


def _rests_on_more(
    incident: incident_lib.Incident, facts: facts_lib.JobFacts
) -> bool:
    if incident.cause in cause_lib.PROVISIONAL_CAUSES and facts.finished:
        return not facts.attempts
    return incident.omitted + len(incident.events) > len(facts.events)
