"""The part of the admin API that looks after the control replicas."""

from __future__ import annotations

import http
import typing as t

from aiohttp import web

from skylarkcleat.consensus import driver as driver_lib
from skylarkcleat.consensus import identity as identity_lib
from skylarkcleat.consensus import log as log_lib
from skylarkcleat.directory import admin_access
from skylarkcleat.directory import admin_problem
from skylarkcleat.directory import admin_report
from skylarkcleat.directory import options as options_lib


class ReplicaApi:
    """Shows a replica's part in the log, and changes who votes."""

    def __init__(
        self,
        log: driver_lib.LogDriver,
        operators: t.Sequence[options_lib.Operator],
    ) -> None:
        """Initializes the API.

        Args:
            log: The replica's log.
            operators: Who may ask.
        """
        self._log = log
        self._operators = operators

    def add_routes(self, app: web.Application) -> None:
        """Adds the API's routes to the admin application."""
        app.router.add_get("/v1/admin/replica", self._show)
        path = "/v1/admin/replicas/{name}/"
        app.router.add_post(path + "admit", self._admit)
        app.router.add_post(path + "expel", self._expel)

    async def _show(self, request: web.Request) -> web.Response:
        admin_access.authorize(request, self._operators)
        status = self._log.status
        return admin_report.create_response(
            {
                **status._asdict(),
                "identity": _name(status.identity),
                "voters": [_name(each) for each in status.voters],
                "learners": [_name(each) for each in status.learners],
            }
        )

    async def _admit(self, request: web.Request) -> web.Response:
        admin_access.authorize(request, self._operators)
        return _answer(await self._log.admit(request.match_info["name"]))

    async def _expel(self, request: web.Request) -> web.Response:
        admin_access.authorize(request, self._operators)
        return _answer(await self._log.expel(request.match_info["name"]))


def _name(identity: identity_lib.Identity) -> str:
    return identity.name


def _answer(
    result: log_lib.Applied | log_lib.NotLeader | log_lib.Uncertain,
) -> web.Response:
    if isinstance(result, log_lib.Applied):
        return admin_report.create_response({"index": result.index})
    members = {}
    if isinstance(result, log_lib.NotLeader):
        members["leader"] = result.leader
    raise admin_problem.ProblemError(
        http.HTTPStatus.SERVICE_UNAVAILABLE, result.detail, **members
    )
