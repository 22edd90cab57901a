"""Diagnoses a job: one cause, and what it rests on."""

from __future__ import annotations

import collections.abc
import itertools
import typing as t

from skylarkcleat.model import cause as cause_lib
from skylarkcleat.timeline import delay as delay_lib
from skylarkcleat.timeline import ending as ending_lib
from skylarkcleat.timeline import facts as facts_lib
from skylarkcleat.timeline import kind as kind_lib
from skylarkcleat.timeline import lateness
from skylarkcleat.timeline import missing as missing_lib
from skylarkcleat.timeline import order

_EXCUSES = frozenset(
    {kind_lib.Kind.RETRIED, kind_lib.Kind.BROKEN, kind_lib.Kind.REFUSED}
)


class Diagnosis(t.NamedTuple):
    """The cause of a job's outcome, and what it rests on.

    Attributes:
        cause: One of the closed list.
        ending: What the caller was told; None if that is not known.
        late_ms: By how much the answer was late, in milliseconds; 0 if it
            was on time or is not known.
        delay: What held it up; None if nothing is known to have.
        missing: The evidence that is not at hand.
    """

    cause: cause_lib.Cause
    ending: ending_lib.Ending | None
    late_ms: float
    delay: delay_lib.Delay | None
    missing: tuple[missing_lib.Missing, ...]


def diagnose(
    facts: facts_lib.JobFacts,
    missing: collections.abc.Iterable[missing_lib.Missing] = (),
) -> Diagnosis:
    """Returns the one cause that the facts bear out.

    Args:
        facts: What is known of the job.
        missing: The processes that were asked in vain.
    """
    gone = {each.process: each for each in missing_lib.find_missing(facts)}
    gone.update({each.process: each for each in missing})
    late_ms = _get_late_ms(facts)
    delay = _find_delay(facts, late_ms)
    return Diagnosis(
        cause=_choose_cause(facts, delay, set(gone)),
        ending=facts.finished.ending if facts.finished else None,
        late_ms=late_ms,
        delay=delay,
        missing=tuple(gone[name] for name in sorted(gone)),
    )


def _get_late_ms(facts: facts_lib.JobFacts) -> float:
    finished = facts.finished
    if finished is None or finished.ending is not ending_lib.Ending.ANSWERED:
        return 0.0
    return lateness.get_late_ms(
        finished.duration_ms, finished.expected_ms, finished.deadline_ms
    )


def _find_delay(
    facts: facts_lib.JobFacts, late_ms: float
) -> delay_lib.Delay | None:
    if late_ms:
        return delay_lib.find_delay(facts)
    finished = facts.finished
    if finished and finished.cause is cause_lib.Cause.DEADLINE_PASSED:
        return delay_lib.find_unstarted(facts)
    return None


def _choose_cause(
    facts: facts_lib.JobFacts,
    delay: delay_lib.Delay | None,
    missing: set[str],
) -> cause_lib.Cause:
    if _is_started_twice(facts, complete=not missing):
        return cause_lib.Cause.STARTED_TWICE
    if facts.finished is None:
        return _choose_open_cause(facts, missing)
    if delay:
        return delay.cause
    if facts.finished.ending is not ending_lib.Ending.ANSWERED:
        return facts.finished.cause or cause_lib.Cause.NOT_KNOWN
    if facts.resubmitted:
        return cause_lib.Cause.RESUBMITTED
    return cause_lib.Cause.ON_TIME


def _choose_open_cause(
    facts: facts_lib.JobFacts, missing: set[str]
) -> cause_lib.Cause:
    if any(loss.peer == facts.entry for loss in facts.losses if facts.entry):
        return cause_lib.Cause.ENTRY_LOST
    if facts.events and facts.entry and facts.entry not in missing:
        return cause_lib.Cause.STILL_RUNNING
    return cause_lib.Cause.NOT_KNOWN


def _is_started_twice(facts: facts_lib.JobFacts, complete: bool) -> bool:
    """Tells whether a task started again that may have run before.

    An attempt that its agent refused reached no runner, and one that broke may
    be tried again where the profile allows it.

    Where evidence is missing, a later attempt may have been allowed. A retry
    that names no attempt allows one for each that was made before.
    """
    starts: dict[int, set[tuple[order.AttemptKey, str]]] = {}
    for event in facts.events:
        if event.kind is kind_lib.Kind.STARTED:
            place = order.get_attempt_key(event), event.process
            starts.setdefault(event.task, set()).add(place)
    repeated = [places for places in starts.values() if len(places) > 1]
    excused = {
        order.get_attempt_key(event)
        for event in facts.events
        if event.kind in _EXCUSES
    }
    for places in repeated:
        keys = sorted(key for key, _ in places)
        for before, after in itertools.pairwise(keys):
            whole_task = before._replace(epoch=0, number=0)
            allowed = bool({before, whole_task} & excused) or not complete
            if before == after or not allowed:
                return True
    return False
