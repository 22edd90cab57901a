"""What a front sends to the owner for its callers."""

from __future__ import annotations

import typing as t

from skylarkcleat.configuration import content
from skylarkcleat.front import requests as requests_lib
from skylarkcleat.front import target as target_lib
from skylarkcleat.protocol import scheduling

SUBMIT_MARGIN_S = 0.05
UNSENT_WORK_FRACTION = 0.4
"""A job waits for an owner for this fraction of its estimated work, a quarter
of its usual objective."""

GIVE_UP_WORK_FACTOR = 4.5
GIVE_UP_MIN_S = 0.2
"""A job whose owner is unresponsive is given up after about three times its
usual objective, estimated from its work: the owner knows it more exactly."""

QUERY_TIMEOUT_S = 1.0


FindQueue = t.Callable[[str, str], content.Queue | None]
"""Returns the queue of a host and a path."""


async def submit(
    requests: requests_lib.Requests,
    find_queue: FindQueue,
    host: str,
    path: str,
    job: scheduling.Job,
    caller_timeout_ms: int,
) -> scheduling.Reply:
    """Submits a job and returns a reply once it has ended or is refused."""
    first_queue: content.Queue | None = None

    def build(attempt: target_lib.SendAttempt) -> scheduling.Submit:
        nonlocal first_queue
        if not attempt.previous_term:
            first_queue = find_queue(host, path)
        return scheduling.Submit(
            attempt.number,
            host,
            path,
            job,
            round(attempt.age_s * 1000),
            caller_timeout_ms,
            attempt.term,
            attempt.previous_term,
            round(attempt.expires_in_s * 1000),
            round(attempt.earlier_expires_in_s * 1000),
            first_queue if attempt.previous_term else None,
            attempt.heartbeat.sent_at,
            round(attempt.heartbeat.age_s * 1000),
        )

    timeout_s = max(caller_timeout_ms / 1000 - SUBMIT_MARGIN_S, SUBMIT_MARGIN_S)
    work_s = sum(step.estimate_ms for step in job.steps) / 1000
    return await requests.call(
        build,
        timeout_s,
        min(UNSENT_WORK_FRACTION * work_s, timeout_s),
        GIVE_UP_WORK_FACTOR * work_s + GIVE_UP_MIN_S,
        job.id,
    )


async def query(
    requests: requests_lib.Requests,
    host: str,
    path: str,
    job: str,
    cancel: bool,
) -> scheduling.Reply:
    """Returns the state of a job or a queue."""

    def build(attempt: target_lib.SendAttempt) -> scheduling.JobRequest:
        return scheduling.JobRequest(
            attempt.number, host, path, job, cancel, attempt.term
        )

    timeout_s = QUERY_TIMEOUT_S
    return await requests.call(build, timeout_s, timeout_s, timeout_s)
