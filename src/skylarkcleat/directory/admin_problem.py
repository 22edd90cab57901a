"""Reports failed admin requests as problem details (RFC 9457)."""

from __future__ import annotations

import http
import typing as t

import msgspec
from aiohttp import web

CONTENT_TYPE = "application/problem+json"

_Handler = t.Callable[[web.Request], t.Awaitable[web.StreamResponse]]


class BodyFault(t.NamedTuple):
    """One fault in a request's body.

    Attributes:
        key: The path of the key, such as `upstreams.0`; empty for the
            whole body.
        detail: What is wrong with it.
    """

    key: str
    detail: str


class ProblemError(Exception):
    """A failure that is reported to the operator as a problem."""

    def __init__(
        self,
        status: http.HTTPStatus,
        detail: str,
        headers: t.Mapping[str, str] | None = None,
        **members: t.Any,
    ):
        """Creates a problem.

        Args:
            status: The status of the response.
            detail: One sentence for the operator.
            headers: Additional headers of the response.
            **members: Additional members of the problem object.
        """
        super().__init__(detail)
        self.status = status
        self.detail = detail
        self.headers = dict(headers or {})
        self.members = members


@web.middleware
async def answer_problems(
    request: web.Request, handler: _Handler
) -> web.StreamResponse:
    """Converts errors that a handler raises into problem responses."""
    try:
        return await handler(request)
    except ProblemError as problem:
        return _create_response(request, problem)
    except web.HTTPException as error:
        if error.status < http.HTTPStatus.BAD_REQUEST:
            raise
        headers = {
            name: error.headers[name]
            for name in ("Allow",)
            if name in error.headers
        }
        status = http.HTTPStatus(error.status)
        detail = f"{request.method} {request.path}: {error.reason}"
        return _create_response(request, ProblemError(status, detail, headers))


def _create_response(
    request: web.Request, problem: ProblemError
) -> web.Response:
    members = {
        "type": "about:blank",
        "title": problem.status.phrase,
        "status": problem.status.value,
        "detail": problem.detail,
        "instance": request.path,
        **problem.members,
    }
    return web.Response(
        body=msgspec.json.encode(members),
        status=problem.status,
        headers=problem.headers,
        content_type=CONTENT_TYPE,
    )
