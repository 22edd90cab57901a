"""The admin API of a control replica."""

from __future__ import annotations

import http
import typing as t

from aiohttp import web

from skylarkcleat import clock as clock_lib
from skylarkcleat.consensus import log as log_lib
from skylarkcleat.directory import admin_access
from skylarkcleat.directory import admin_change
from skylarkcleat.directory import admin_conditions
from skylarkcleat.directory import admin_forward
from skylarkcleat.directory import admin_problem
from skylarkcleat.directory import admin_report
from skylarkcleat.directory import command as command_lib
from skylarkcleat.directory import directory as directory_lib
from skylarkcleat.directory import freshness
from skylarkcleat.directory import metrics as metrics_lib
from skylarkcleat.directory import options as options_lib
from skylarkcleat.directory import result as result_lib
from skylarkcleat.directory import server as server_lib

# Larger request bodies are refused.
MAX_BODY_BYTES = 64 * 1024
DEFAULT_HISTORY_ENTRIES = 100
MAX_HISTORY_ENTRIES = 1_000

_Status = http.HTTPStatus
_Problem = admin_problem.ProblemError


class AdminApi:
    """Serves operators' requests; only the leading replica makes changes.

    A replica that follows forwards changes to the leader, so that operators
    may send them to any replica. Each replica answers reads itself, after a
    majority has confirmed that its state is current.
    """

    def __init__(
        self,
        options: options_lib.ControlOptions,
        log: log_lib.ReplicatedLog,
        directory: directory_lib.Directory,
        server: server_lib.ControlServer,
    ):
        """Creates the API of a replica.

        Args:
            options: The options from the settings.
            log: The replicated log whose commands the directory applies.
            directory: The replica's state.
            server: The replica's control server.
        """
        self._options = options
        self._log = log
        self._directory = directory
        self._server = server
        self._refusal_limiter = admin_access.RefusalRateLimiter()
        self._metrics = metrics_lib.Metrics(directory, server)
        self._forwarder = admin_forward.Forwarder(options.name, options.peers)

    def create_app(self) -> web.Application:
        """Returns the application that serves the API."""
        app = web.Application(
            middlewares=[admin_problem.answer_problems],
            client_max_size=MAX_BODY_BYTES,
        )
        app.cleanup_ctx.append(self._run_forwarder)
        app.add_routes(
            [
                web.get("/livez", self._answer_live),
                web.get("/readyz", self._answer_ready),
                web.get("/metrics", self._answer_metrics),
                web.get("/v1/admin/status", self._show_status),
                web.get("/v1/admin/profiles", self._list_profiles),
                web.get("/v1/admin/profiles/{name}", self._show_profile),
                web.put("/v1/admin/profiles/{name}", self._change),
                web.delete("/v1/admin/profiles/{name}", self._change),
                web.get("/v1/admin/history", self._list_history),
                web.get("/v1/admin/members", self._list_members),
                web.post("/v1/admin/members/{name}/drain", self._change),
            ]
        )
        return app

    async def _run_forwarder(
        self, app: web.Application
    ) -> t.AsyncIterator[None]:
        del app
        async with self._forwarder:
            yield

    async def _answer_live(self, request: web.Request) -> web.Response:
        del request
        return web.Response(text="ok\n")

    async def _answer_ready(self, request: web.Request) -> web.Response:
        del request
        age = self._server.measure_age()
        if age is None or age > freshness.CONFIG_LEASE_S:
            raise _Problem(
                _Status.SERVICE_UNAVAILABLE,
                f"{self._options.name} has no recent confirmation "
                "by a majority of the replicas",
                admin_forward.RETRY_AFTER,
            )
        return web.Response(text="ok\n")

    async def _answer_metrics(self, request: web.Request) -> web.Response:
        accepts = request.headers.getall("Accept", [])
        body, headers = self._metrics.render(accepts)
        return web.Response(body=body, headers=headers)

    async def _show_status(self, request: web.Request) -> web.Response:
        self._authorize(request)
        status = admin_report.describe_status(
            self._options.name,
            self._log.leader,
            self._log.is_repaired,
            self._server,
            self._directory.view,
        )
        return admin_report.create_response(status)

    async def _list_profiles(self, request: web.Request) -> web.Response:
        await self._prepare_read(request)
        profiles = sorted(self._directory.view.profiles.items())
        listed = [admin_report.describe_profile(item) for _, item in profiles]
        return admin_report.create_response({"profiles": listed})

    async def _show_profile(self, request: web.Request) -> web.Response:
        await self._prepare_read(request)
        name = request.match_info["name"]
        profile = self._directory.view.profiles.get(name)
        if profile is None:
            raise _Problem(_Status.NOT_FOUND, f"no profile is named {name!r}")
        response = admin_report.create_response(
            admin_report.describe_profile(profile)
        )
        etag = admin_conditions.format_etag(profile.version)
        response.headers["ETag"] = etag
        return response

    async def _list_history(self, request: web.Request) -> web.Response:
        await self._prepare_read(request)
        limit = _read_limit(request)
        profile = request.query.get("profile", "")
        subject = f"profile {profile}" if profile else ""
        entries = self._directory.history.find_entries(subject, limit)
        listed = [admin_report.describe_entry(entry) for entry in entries]
        return admin_report.create_response({"entries": listed})

    async def _list_members(self, request: web.Request) -> web.Response:
        await self._prepare_read(request)
        members = sorted(self._directory.view.members.items())
        listed = [admin_report.describe_member(item) for _, item in members]
        return admin_report.create_response({"members": listed})

    async def _change(self, request: web.Request) -> web.Response:
        if not self._server.is_leader:
            return await self._forwarder.forward(request, self._log.leader)
        try:
            operator = self._authorize(request)
        except _Problem as problem:
            await self._record_refusal(request, problem.detail)
            raise
        author = admin_conditions.read_author(request, operator)
        command = await admin_change.read_command(request, author)
        result = await self._propose(command)
        return admin_change.answer_result(request, result)

    async def _propose(self, command: command_lib.Command) -> t.Any:
        answer = await self._log.propose(command_lib.encode(command))
        if isinstance(answer, log_lib.Uncertain):
            raise admin_forward.create_uncertain_problem(
                "a majority of the replicas", answer.detail
            )
        if isinstance(answer, log_lib.NotLeader):
            raise _Problem(
                _Status.SERVICE_UNAVAILABLE,
                f"{self._options.name} does not lead: {answer.detail}",
                admin_forward.RETRY_AFTER,
                leader=answer.leader,
            )
        return result_lib.decode(answer.result)

    async def _record_refusal(self, request: web.Request, detail: str) -> None:
        if not self._refusal_limiter.try_acquire(clock_lib.read_monotonic()):
            return
        command = command_lib.RecordRefusal(
            command_lib.Author(request.remote or "unknown"),
            clock_lib.read_wall_ms(),
            admin_change.name_subject(request),
            detail,
        )
        await self._log.propose(command_lib.encode(command))

    async def _prepare_read(self, request: web.Request) -> None:
        self._authorize(request)
        fresh = await self._log.confirm()
        if isinstance(fresh, log_lib.NotLeader):
            raise _Problem(
                _Status.SERVICE_UNAVAILABLE,
                f"{self._options.name} can't confirm that its state is "
                f"current: {fresh.detail}",
                admin_forward.RETRY_AFTER,
                leader=fresh.leader,
            )

    def _authorize(self, request: web.Request) -> str:
        return admin_access.authorize(request, self._options.operators)


def create_admin_app(
    options: options_lib.ControlOptions,
    log: log_lib.ReplicatedLog,
    directory: directory_lib.Directory,
    server: server_lib.ControlServer,
) -> web.Application:
    """Returns the application that serves a replica's admin API.

    Args:
        options: The options from the settings.
        log: The replicated log whose commands the directory applies.
        directory: The replica's state.
        server: The replica's control server.
    """
    return AdminApi(options, log, directory, server).create_app()


def _read_limit(request: web.Request) -> int:
    text = request.query.get("limit", str(DEFAULT_HISTORY_ENTRIES))
    if not text.isdecimal() or not 1 <= int(text) <= MAX_HISTORY_ENTRIES:
        raise _Problem(
            _Status.BAD_REQUEST,
            f"limit must be from 1 to {MAX_HISTORY_ENTRIES}, is {text[:64]!r}",
        )
    return int(text)
