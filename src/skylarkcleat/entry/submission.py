"""Messages from the HTTP API to the entry's event loop task."""

from __future__ import annotations

import asyncio
import hashlib
import typing as t

from skylarkcleat.entry import request as request_lib
from skylarkcleat.model import failure as failure_lib
from skylarkcleat.model import job_id as job_id_lib
from skylarkcleat.protocol import claiming

_DIGEST_BYTES = 16

Outcome = claiming.Answers | failure_lib.Failure


class Submit(t.NamedTuple):
    """A job that a caller submits.

    Attributes:
        caller: Identifies the HTTP request; unique within this entry.
        job: The job's identifier.
        is_new: Whether the entry created the identifier, so that the job
            can't have been submitted before.
        work: The tasks and limits from the request's body.
        traceparent: The caller's W3C trace context.
        reply: Resolved with the outcome.
    """

    caller: str
    job: job_id_lib.JobId
    is_new: bool
    work: request_lib.Work
    traceparent: str
    reply: asyncio.Future[Outcome]


class CallerDisconnected(t.NamedTuple):
    """Reports that a caller closed its request before the outcome."""

    caller: str
    job: str


def digest_work(work: request_lib.Work) -> str:
    """Returns a digest that detects reuse of a job id for other work."""
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    digest.update(b"request" if work.single else b"job")
    for part in (work.profile.encode(), *work.payloads):
        digest.update(len(part).to_bytes(4))
        digest.update(part)
    return digest.hexdigest()
