"""Messages between an entry and an agent about one task's attempt."""

from __future__ import annotations

import typing as t

from skylarkcleat.model import failure as failure_lib
from skylarkcleat.wire import codec


class Attempt(t.NamedTuple):
    """Names one attempt at one task.

    Attributes:
        job: The job's identifier.
        task: The task's position in its job, from 0.
        epoch: The ownership epoch of the job under which it was sent.
        number: 1 for a task's first attempt.
    """

    job: str
    task: int
    epoch: int
    number: int


class Dispatch(t.NamedTuple):
    """Asks an agent to run a task.

    Attributes:
        attempt: Which attempt this is.
        incarnation: The agent incarnation that it is meant for.
        profile: The profile's name.
        profile_version: The profile version that the entry had in force.
        budget_ms: How long the work may still take, in milliseconds.
        size_ms: The run time expected on a runner of speed 1, in
            milliseconds; 0 if unknown.
        payload: The body of the POST to the runner.
        traceparent: The W3C trace context of the caller.
        repeatable: Whether another start is allowed after a failure: a
            single request with an idempotent profile.
        precedence_ms: How far ahead of a task that arrives now it is ordered
            within its profile, in milliseconds; negative is behind.
        revision: The directory's revision at the entry. An agent that knows
            less waits for it.
        action: Continues the job's action in the log; empty if it is not
            logged.
    """

    attempt: Attempt
    incarnation: int
    profile: str
    profile_version: int
    budget_ms: int
    size_ms: int
    payload: bytes
    traceparent: str = ""
    repeatable: bool = False
    precedence_ms: int = 0
    revision: int = 0
    action: str = ""


class Load(t.NamedTuple):
    """What an agent tells of itself with each result.

    Attributes:
        running: Tasks in slots.
        queued: Tasks that wait for a slot.
        queued_ms: Expected run time of the queued tasks, in milliseconds.
        own: How many of the running and queued tasks are from the entry
            that is told.
        excess_weight: Summed weights of the profiles that have queued tasks
            and use well over their guaranteed shares.
    """

    running: int
    queued: int
    queued_ms: int
    own: int = 0
    excess_weight: int = 0


class Answer(t.NamedTuple):
    """A runner's answer to a task that started.

    Attributes:
        attempt: Which attempt it answers.
        body: The runner's body, a JSON text.
        run_ms: The time from the start to the answer, in milliseconds.
        wait_ms: The time in the agent's queue, in milliseconds.
        load: The agent's load after the answer.
    """

    attempt: Attempt
    body: bytes
    run_ms: float
    wait_ms: float
    load: Load


class Refusal(t.NamedTuple):
    """Says that an attempt has not started and never will."""

    attempt: Attempt
    failure: failure_lib.Failure
    load: Load


@codec.sent_as("Breakdown")
class AttemptFailure(t.NamedTuple):
    """Says that an attempt started and has no answer."""

    attempt: Attempt
    failure: failure_lib.Failure
    run_ms: float
    load: Load


class Revoke(t.NamedTuple):
    """Asks an agent to drop a job's attempts that have not started.

    Attributes:
        job: The job's identifier.
        epoch: The ownership epoch of the sender.
        tasks: The tasks to drop; every task of the job if empty.
    """

    job: str
    epoch: int
    tasks: tuple[int, ...] = ()


class Revoked(t.NamedTuple):
    """Says which tasks were dropped before they started, for good."""

    job: str
    epoch: int
    tasks: tuple[int, ...]
    load: Load
