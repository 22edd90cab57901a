"""Authenticates operators of the admin API and limits recorded refusals."""

from __future__ import annotations

import hashlib
import hmac
import http
import typing as t

from aiohttp import web

from skylarkcleat.directory import admin_problem
from skylarkcleat.directory import options as options_lib

_SCHEME = "Bearer "


def authorize(
    request: web.Request, operators: t.Iterable[options_lib.Operator]
) -> str:
    """Returns the name of the operator whose token a request carries.

    Raises:
        admin_problem.ProblemError: It carries none, or an unknown one.
    """
    header = request.headers.get("Authorization", "")
    if not header.startswith(_SCHEME):
        raise _refuse("the request carries no operator's token")
    token = header.removeprefix(_SCHEME).encode()
    digest = hashlib.sha256(token).hexdigest()
    found = ""
    # Compares with every operator, so that the time taken does not reveal
    # which one matches.
    for operator in operators:
        if hmac.compare_digest(digest, operator.token_sha256):
            found = operator.name
    if not found:
        raise _refuse("the request's token is not that of an operator")
    return found


def _refuse(detail: str) -> admin_problem.ProblemError:
    return admin_problem.ProblemError(
        http.HTTPStatus.UNAUTHORIZED, detail, {"WWW-Authenticate": "Bearer"}
    )


class RefusalRateLimiter:
    """Limits how many refused requests are recorded, as a token bucket.

    Without it, anyone without a token could fill the replicated log.
    """

    def __init__(self, per_s: float = 1.0, burst: int = 10):
        """Creates a limiter with all of its burst available.

        Args:
            per_s: How many refusals per second may be recorded.
            burst: How many may be recorded at once.
        """
        self._per_s = per_s
        self._burst = burst
        self._left = float(burst)
        self._spent_at: float | None = None

    def try_acquire(self, now: float) -> bool:
        """Returns whether one more refusal may be recorded, and counts it.

        Args:
            now: The monotonic clock, in seconds.
        """
        if self._spent_at is not None:
            refill = (now - self._spent_at) * self._per_s
            self._left = min(float(self._burst), self._left + refill)
        self._spent_at = now
        if self._left < 1:
            return False
        self._left -= 1
        return True
