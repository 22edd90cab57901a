"""HTTP error responses as `application/problem+json` (RFC 9457)."""

from __future__ import annotations

import math

import msgspec
from aiohttp import web

from skylarkcleat.model import cause as cause_lib
from skylarkcleat.model import failure as failure_lib

CONTENT_TYPE = "application/problem+json"
_MS_PER_S = 1000
_BAD_GATEWAY = 502

_STATUS = {
    cause_lib.Cause.BAD_REQUEST: 400,
    cause_lib.Cause.UNKNOWN_PROFILE: 404,
    cause_lib.Cause.ID_CONFLICT: 409,
    cause_lib.Cause.ID_EXPIRED: 410,
    cause_lib.Cause.NO_UPSTREAM: 503,
    cause_lib.Cause.CONFIGURATION_STALE: 503,
    cause_lib.Cause.DRAINING: 503,
    cause_lib.Cause.CLAIM_UNAVAILABLE: 503,
    cause_lib.Cause.OVERLOADED: 429,
    cause_lib.Cause.DEADLINE_TOO_SHORT: 429,
    cause_lib.Cause.DEADLINE_PASSED: 504,
    cause_lib.Cause.RUNNER_SILENT: 504,
}
_NEEDS_RETRY_AFTER = frozenset({429, 503})
_DEFAULT_RETRY_AFTER_MS = 1000


def create_problem(
    failure: failure_lib.Failure, job: str, status: int = 0
) -> web.Response:
    """Returns the response that reports a failure to a caller.

    Args:
        failure: The failure.
        job: The job's identifier; empty if there is none.
        status: The HTTP status; 0 selects the default of the cause.
    """
    status = status or _STATUS.get(failure.cause, _BAD_GATEWAY)
    body = {
        "type": f"urn:skylarkcleat:cause:{failure.cause}",
        "title": failure.cause.replace("-", " "),
        "status": status,
        "detail": failure.detail,
        "outcome": failure.outcome,
        "cause": failure.cause,
        "step": failure.step,
        "peer": failure.peer,
        "job": job,
    }
    headers = {}
    if status in _NEEDS_RETRY_AFTER:
        wait_ms = failure.retry_after_ms or _DEFAULT_RETRY_AFTER_MS
        headers["Retry-After"] = str(math.ceil(wait_ms / _MS_PER_S))
    return web.Response(
        body=msgspec.json.encode(body),
        status=status,
        content_type=CONTENT_TYPE,
        headers=headers,
    )


def create_bad_request(
    detail: str, peer: str, step: str, status: int = 0
) -> web.Response:
    """Returns the response to a request that is no valid submission.

    Args:
        detail: Why the request is invalid.
        peer: The name of the process that refuses it.
        step: The processing step that refuses it.
        status: The HTTP status; 0 selects 400.
    """
    failure = failure_lib.Failure(
        failure_lib.Outcome.NOT_RUN,
        cause_lib.Cause.BAD_REQUEST,
        step,
        peer,
        detail,
    )
    return create_problem(failure, "", status)
