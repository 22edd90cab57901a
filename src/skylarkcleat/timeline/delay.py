"""Where the time of a late job went."""

from __future__ import annotations

import collections
import collections.abc
import enum
import statistics
import typing as t

from skylarkcleat.model import cause as cause_lib
from skylarkcleat.timeline import event as event_lib
from skylarkcleat.timeline import facts as facts_lib

_KNOWN_SHARE = 0.5
_SAME_SHARE = 0.5
_LONG_FACTOR = 1.5
_LEAST_RUNS = 2


class Step(enum.StrEnum):
    """A stretch of a job's way."""

    CLAIM = "claim"
    DISPATCH = "dispatch"
    RETRY = "retry"
    NETWORK = "network"
    QUEUE = "queue"
    RUN = "run"
    GATHER = "gather"


class Delay(t.NamedTuple):
    """The step that cost a job most, and whose doing it was.

    Attributes:
        cause: One of the closed list; `NOT_KNOWN` if most of the time is not
            accounted for.
        step: The step.
        excess_ms: What the step took beyond its ideal, in milliseconds.
        attempts: The attempts that were held up by it.
        subject: The profile that was ahead, of a queue.
    """

    cause: cause_lib.Cause
    step: Step
    excess_ms: float
    attempts: tuple[facts_lib.AttemptFacts, ...] = ()
    subject: str = ""


def find_delay(facts: facts_lib.JobFacts) -> Delay:
    """Returns what held up a job that took longer than its ideal."""
    finished = facts.finished
    last = _find_last(facts)
    if finished is None or last is None:
        return Delay(cause_lib.Cause.NOT_KNOWN, Step.GATHER, 0.0)
    steps = _measure_steps(facts, last)
    step = max(steps, key=lambda each: steps[each])
    over_ms = finished.duration_ms - finished.expected_ms
    if sum(steps.values()) < over_ms * _KNOWN_SHARE:
        return Delay(cause_lib.Cause.NOT_KNOWN, step, steps[step])
    delay = _put_down(facts, last, step, steps[step])
    if delay.cause is not cause_lib.Cause.QUEUED_BEHIND_OWN_WORK:
        return delay
    return _find_straggler(facts, last, steps) or delay


def find_unstarted(facts: facts_lib.JobFacts) -> Delay:
    """Returns what held up a job whose deadline passed without an answer."""
    waiting = [each for each in facts.latest_attempts if _is_waiting(each)]
    running = [each for each in facts.latest_attempts if _is_running(each)]
    if waiting and len(waiting) >= len(running):
        longest = max(each.wait_ms for each in waiting)
        return _blame_queue(facts, waiting, longest)
    if running:
        return _blame_run(facts, running[0], 0.0)
    if len(facts.latest_attempts) < facts.tasks and facts.finished.subject:
        return _create_queue_delay(facts, (), 0.0, facts.finished.subject)
    return Delay(cause_lib.Cause.DEADLINE_PASSED, Step.GATHER, 0.0)


def _find_last(facts: facts_lib.JobFacts) -> facts_lib.AttemptFacts | None:
    """Returns the attempt that the answer waited for, None if unknown."""
    received = [each for each in facts.attempts if each.received]
    if facts.finished and facts.finished.count:
        task = facts.finished.count - 1
        received = [each for each in received if each.key.task == task]
    elif len({each.key.task for each in received}) != facts.tasks:
        return None
    return max(received, key=lambda each: each.received.at_ms, default=None)


def _measure_steps(
    facts: facts_lib.JobFacts, last: facts_lib.AttemptFacts
) -> dict[Step, float]:
    """Returns the time beyond the ideal of each step of the last task."""
    steps = {Step.RUN: _get_run_excess(facts, last), Step.QUEUE: last.wait_ms}
    claim_ms = facts.claimed.at_ms if facts.claimed else 0.0
    steps[Step.CLAIM] = claim_ms
    steps[Step.GATHER] = facts.finished.duration_ms - last.received.at_ms
    if last.sent is None:
        return steps
    way_ms = last.received.at_ms - last.sent.at_ms
    steps[Step.NETWORK] = way_ms - last.wait_ms - last.run_ms
    first = _find_first(facts, last)
    steps[Step.RETRY] = last.sent.at_ms - first.at_ms
    if facts.claimed:
        steps[Step.DISPATCH] = first.at_ms - claim_ms
    return steps


def _find_first(
    facts: facts_lib.JobFacts, last: facts_lib.AttemptFacts
) -> event_lib.Event:
    for each in facts.attempts:
        if each.key.task == last.key.task and each.sent:
            return each.sent
    return last.sent


def _get_run_excess(
    facts: facts_lib.JobFacts, attempt: facts_lib.AttemptFacts
) -> float:
    expected_ms = attempt.expected_ms or _get_usual_run(facts, attempt)
    return max(0.0, attempt.run_ms - expected_ms)


def _get_usual_run(
    facts: facts_lib.JobFacts, attempt: facts_lib.AttemptFacts
) -> float:
    runs = [each.run_ms for each in facts.attempts if each.run_ms]
    if attempt.run_ms in runs:
        runs.remove(attempt.run_ms)
    return statistics.median(runs) if runs else 0.0


def _put_down(
    facts: facts_lib.JobFacts,
    last: facts_lib.AttemptFacts,
    step: Step,
    excess_ms: float,
) -> Delay:
    if step is Step.QUEUE:
        bound = last.wait_ms * _SAME_SHARE
        held = [each for each in facts.attempts if each.wait_ms > bound]
        return _blame_queue(facts, held, excess_ms)
    if step is Step.RUN:
        return _blame_run(facts, last, excess_ms)
    if step is Step.RETRY:
        cause = _find_retry_cause(facts, last)
        return Delay(cause, step, excess_ms, (last,))
    if step is Step.DISPATCH and _find_first(facts, last).wait_ms:
        return _blame_entry_queue(facts, last, excess_ms)
    causes = {
        Step.CLAIM: cause_lib.Cause.CLAIM_SLOW,
        Step.NETWORK: cause_lib.Cause.NETWORK_SLOW,
    }
    cause = causes.get(step, cause_lib.Cause.ENTRY_BUSY)
    return Delay(cause, step, excess_ms, (last,))


def _find_straggler(
    facts: facts_lib.JobFacts,
    last: facts_lib.AttemptFacts,
    steps: dict[Step, float],
) -> Delay | None:
    """Returns the slow run, if it made the tasks behind it wait as well."""
    runs = [
        (each.agent == last.agent, each.run_ms)
        for each in facts.attempts
        if each.run_ms
    ]
    here = [run_ms for is_here, run_ms in runs if is_here]
    elsewhere = [run_ms for is_here, run_ms in runs if not is_here]
    if len(here) < _LEAST_RUNS or not elsewhere:
        return None
    if min(here) * _SAME_SHARE < statistics.median(elsewhere):
        return None
    blamed = _blame_run(facts, last, steps[Step.RUN])
    slow = blamed.cause is cause_lib.Cause.STRAGGLING_RUNNER
    return blamed if slow else None


def _find_retry_cause(
    facts: facts_lib.JobFacts, last: facts_lib.AttemptFacts
) -> cause_lib.Cause:
    for event in facts.events:
        same = event.task == last.key.task and event.attempt
        if same and event.cause is not None:
            return event.cause
    return cause_lib.Cause.NOT_KNOWN


def _blame_entry_queue(
    facts: facts_lib.JobFacts,
    last: facts_lib.AttemptFacts,
    excess_ms: float,
) -> Delay:
    """Puts a wait at the entry down to the profile that was served then."""
    bound = _find_first(facts, last).wait_ms * _SAME_SHARE
    sent = [each for each in facts.attempts if each.sent]
    held = tuple(each for each in sent if each.sent.wait_ms > bound)
    return _create_queue_delay(facts, held, excess_ms, facts.finished.subject)


def _blame_queue(
    facts: facts_lib.JobFacts,
    held: collections.abc.Iterable[facts_lib.AttemptFacts],
    excess_ms: float,
) -> Delay:
    held = tuple(held)
    ahead = collections.Counter(
        subject for each in held if (subject := _get_subject(each))
    )
    subject = min(ahead, key=lambda name: (-ahead[name], name), default="")
    return _create_queue_delay(facts, held, excess_ms, subject)


def _create_queue_delay(
    facts: facts_lib.JobFacts,
    held: tuple[facts_lib.AttemptFacts, ...],
    excess_ms: float,
    subject: str,
) -> Delay:
    if not subject:
        cause = cause_lib.Cause.WAITED_FOR_SLOT
        return Delay(cause, Step.QUEUE, excess_ms, held)
    cause = cause_lib.Cause.QUEUED_BEHIND_OTHER_WORK
    if subject == facts.profile:
        cause = cause_lib.Cause.QUEUED_BEHIND_OWN_WORK
    return Delay(cause, Step.QUEUE, excess_ms, held, subject)


def _get_subject(attempt: facts_lib.AttemptFacts) -> str:
    seen = (attempt.started, attempt.queued, attempt.received)
    names = (event.subject for event in seen if event and event.subject)
    return next(names, "")


def _blame_run(
    facts: facts_lib.JobFacts,
    attempt: facts_lib.AttemptFacts,
    excess_ms: float,
) -> Delay:
    others = [
        each
        for each in facts.attempts
        if each.run_ms and each.key != attempt.key
    ]
    elsewhere = [each for each in others if each.agent != attempt.agent]
    cause = cause_lib.Cause.RAN_LONG
    if elsewhere:
        cause = _compare_runs(attempt, elsewhere)
    return Delay(cause, Step.RUN, excess_ms, (attempt,))


def _compare_runs(
    attempt: facts_lib.AttemptFacts,
    others: list[facts_lib.AttemptFacts],
) -> cause_lib.Cause:
    usual = statistics.median(each.run_ms for each in others)
    expected = attempt.expected_ms
    if expected and usual > expected * _LONG_FACTOR:
        return cause_lib.Cause.LONGER_THAN_DECLARED
    if attempt.run_ms > usual * _LONG_FACTOR or not attempt.run_ms:
        return cause_lib.Cause.STRAGGLING_RUNNER
    return cause_lib.Cause.RAN_LONG


def _is_waiting(attempt: facts_lib.AttemptFacts) -> bool:
    passed = cause_lib.Cause.DEADLINE_PASSED
    for seen in (attempt.refused, attempt.received):
        if seen and seen.cause is passed and not attempt.run_ms:
            return True
    return bool(attempt.queued and not attempt.started and not attempt.received)


def _is_running(attempt: facts_lib.AttemptFacts) -> bool:
    return bool(attempt.started and not attempt.ended)
