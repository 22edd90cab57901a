"""Messages between an entry and an agent about attempts at tasks.

An entry accepts jobs and sends their tasks; an agent queues tasks and runs
them on the runner beside it.
"""

from __future__ import annotations

import typing as t

from skylarkcleat.model import failure as failure_lib
from skylarkcleat.wire import codec


class Attempt(t.NamedTuple):
    """Identifies one attempt at one task.

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
        incarnation: The agent incarnation that it is addressed to.
        profile: The profile's name.
        profile_version: The profile version that the entry had in force.
        budget_ms: The time left until the deadline, in milliseconds.
        size_ms: The run time expected on a runner of speed 1, in
            milliseconds; 0 if unknown.
        payload: The body of the POST to the runner.
        traceparent: The W3C trace context of the caller.
        repeatable: Whether another start is allowed after a failure: a
            single request with an idempotent profile.
        precedence_ms: How far ahead of a task that arrives now it is queued
            within its profile, in milliseconds; negative is behind.
        revision: The directory's revision at the entry. An agent that has an
            earlier one waits for it.
        action: Identifies the job's eliot action, which the agent continues
            in the log; empty if the job is not logged.
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
    """An agent's load, which it reports with each result.

    Attributes:
        running: Tasks in slots.
        queued: Tasks that wait for a slot.
        queued_ms: Expected run time of the queued tasks, in milliseconds.
        own: How many of the running and queued tasks come from the entry
            that receives the report.
        excess_weight: Summed weights of the profiles that have queued tasks
            and use well over their guaranteed shares of the slots.
    """

    running: int
    queued: int
    queued_ms: int
    own: int = 0
    excess_weight: int = 0


class Answer(t.NamedTuple):
    """Carries a runner's answer to a task.

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
    """Reports that an attempt has not started and never will."""

    attempt: Attempt
    failure: failure_lib.Failure
    load: Load


@codec.sent_as("Breakdown")
class AttemptFailure(t.NamedTuple):
    """Reports that an attempt started but has no answer."""

    attempt: Attempt
    failure: failure_lib.Failure
    run_ms: float
    load: Load


class Revoke(t.NamedTuple):
    """Asks an agent to drop attempts at a job's tasks that have not started.

    Attributes:
        job: The job's identifier.
        epoch: The ownership epoch of the sender.
        tasks: The tasks to drop; every task of the job if empty.
    """

    job: str
    epoch: int
    tasks: tuple[int, ...] = ()


class Revoked(t.NamedTuple):
    """Reports which tasks were dropped and will never start."""

    job: str
    epoch: int
    tasks: tuple[int, ...]
    load: Load
