"""Messages between the callers' interface and the entry's task."""

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
    """A caller's job.

    Attributes:
        caller: Names the caller among those of this entry.
        job: The job's identifier.
        is_new: Whether the entry made the identifier, so that nobody can
            have submitted the job before.
        work: What the caller wants done.
        traceparent: The caller's W3C trace context.
        reply: Gets the outcome.
    """

    caller: str
    job: job_id_lib.JobId
    is_new: bool
    work: request_lib.Work
    traceparent: str
    reply: asyncio.Future[Outcome]


class CallerDisconnected(t.NamedTuple):
    """A caller that no longer waits."""

    caller: str
    job: str


def digest_work(work: request_lib.Work) -> str:
    """Returns what tells different work under one identifier apart."""
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    digest.update(b"request" if work.single else b"job")
    for part in (work.profile.encode(), *work.payloads):
        digest.update(len(part).to_bytes(4))
        digest.update(part)
    return digest.hexdigest()
