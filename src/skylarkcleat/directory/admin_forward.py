"""Forwards an operator's change to the leading control replica."""

from __future__ import annotations

import http
import types
import typing as t

import aiohttp
from aiohttp import web

from skylarkcleat.directory import admin_problem
from skylarkcleat.directory import options as options_lib

# After this long without an answer, the outcome is reported as uncertain.
TIMEOUT_S = 10.0
RETRY_AFTER = types.MappingProxyType({"Retry-After": "1"})

# Marks a forwarded request. It is not forwarded again, so that replicas that
# disagree about the leader do not forward it in a loop.
_FORWARDED = "X-Forwarded-By"
_REQUEST_HEADERS = (
    "Authorization",
    "Content-Type",
    "Idempotency-Key",
    "If-Match",
    "If-None-Match",
    "X-Reason",
)
_RESPONSE_HEADERS = ("Content-Type", "ETag", "Retry-After", "WWW-Authenticate")


class Forwarder:
    """Owns the connections to the other replicas' admin APIs.

    Use it in an `async with` block.
    """

    def __init__(self, name: str, peers: t.Iterable[options_lib.ControlPeer]):
        """Creates a forwarder.

        Args:
            name: This replica's name.
            peers: The other replicas.
        """
        self._name = name
        self._urls = {peer.name: peer.admin_url for peer in peers}

    async def __aenter__(self) -> Forwarder:
        timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
        self._session = aiohttp.ClientSession(timeout=timeout)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        await self._session.close()

    async def forward(self, request: web.Request, leader: str) -> web.Response:
        """Returns the leader's answer to a request.

        Raises:
            admin_problem.ProblemError: There is no leader to forward to, or
                it did not answer.
        """
        self._check(request, leader)
        url = self._urls[leader].rstrip("/") + request.raw_path
        headers = _pick(request.headers, _REQUEST_HEADERS)
        headers[_FORWARDED] = self._name
        try:
            async with self._session.request(
                request.method,
                url,
                headers=headers,
                data=await request.read(),
            ) as response:
                return web.Response(
                    body=await response.read(),
                    status=response.status,
                    headers=_pick(response.headers, _RESPONSE_HEADERS),
                )
        except aiohttp.ClientConnectorError as error:
            raise admin_problem.ProblemError(
                http.HTTPStatus.SERVICE_UNAVAILABLE,
                f"leader {leader} at {url} can't be reached: {error}",
                RETRY_AFTER,
                leader=leader,
            ) from error
        except (aiohttp.ClientError, TimeoutError) as error:
            raise create_uncertain_problem(
                f"leader {leader}", str(error)
            ) from error

    def _check(self, request: web.Request, leader: str) -> None:
        if not leader:
            detail = "no control replica is known to lead"
        elif _FORWARDED in request.headers:
            detail = f"{self._name} does not lead any more"
        elif leader not in self._urls:
            detail = f"leader {leader!r} is not in the settings"
        else:
            return
        raise admin_problem.ProblemError(
            http.HTTPStatus.SERVICE_UNAVAILABLE,
            detail,
            RETRY_AFTER,
            leader=leader,
        )


def create_uncertain_problem(
    peer: str, detail: str
) -> admin_problem.ProblemError:
    """Returns the problem for a change that may still take effect.

    Args:
        peer: What did not answer.
        detail: What was observed.
    """
    return admin_problem.ProblemError(
        http.HTTPStatus.GATEWAY_TIMEOUT,
        f"{peer} did not answer in time, and the change may still take effect; "
        f"send it again with the same Idempotency-Key: {detail}",
        RETRY_AFTER,
    )


def _pick(
    headers: t.Mapping[str, str], names: t.Iterable[str]
) -> dict[str, str]:
    return {name: headers[name] for name in names if name in headers}
