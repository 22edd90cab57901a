"""The part of the admin API that answers for outcomes."""

from __future__ import annotations

import http
import typing as t

from aiohttp import web

from skylarkcleat import clock as clock_lib
from skylarkcleat.control import investigation as investigation_lib
from skylarkcleat.directory import admin_access
from skylarkcleat.directory import admin_problem
from skylarkcleat.directory import admin_report
from skylarkcleat.directory import options as options_lib
from skylarkcleat.model import job_id as job_id_lib
from skylarkcleat.timeline import event_text
from skylarkcleat.timeline import explanation as explanation_lib
from skylarkcleat.timeline import summary as summary_lib

DEFAULT_EVENTS = 100
MOST_EVENTS = 512
MOST_MINUTES = 60 * 24 * 31
_DEFAULT_MINUTES = 60
_MS_PER_MINUTE = 60_000


class AccountApi:
    """Explains jobs, shows events and sums up what went wrong."""

    def __init__(
        self,
        investigation: investigation_lib.Investigation,
        operators: t.Sequence[options_lib.Operator],
    ) -> None:
        """Initializes the API.

        Args:
            investigation: Asks members and control replicas.
            operators: Who may ask.
        """
        self._investigation = investigation
        self._operators = operators

    def add_routes(self, app: web.Application) -> None:
        """Adds the API's routes to the admin application."""
        app.router.add_get("/v1/admin/jobs/{job}", self._explain)
        app.router.add_get("/v1/admin/events", self._list_events)
        app.router.add_get("/v1/admin/summary", self._summarize)

    async def _explain(self, request: web.Request) -> web.Response:
        admin_access.authorize(request, self._operators)
        try:
            job = job_id_lib.parse_job_id(request.match_info["job"]).text
        except job_id_lib.InvalidJobIdError as error:
            raise admin_problem.ProblemError(
                http.HTTPStatus.BAD_REQUEST, str(error)
            ) from error
        evidence = await self._investigation.gather(job)
        explanation = explanation_lib.explain(
            job, evidence.events, evidence.missing, evidence.incidents
        )
        return admin_report.create_response(_describe(explanation))

    async def _list_events(self, request: web.Request) -> web.Response:
        admin_access.authorize(request, self._operators)
        limit = _read_number(request, "limit", DEFAULT_EVENTS, MOST_EVENTS)
        events = await self._investigation.read_recent(limit)
        lines = event_text.format_events(events[-limit:])
        return admin_report.create_response(
            {
                "events": [
                    {**line._asdict(), "stamp": event.stamp, "job": event.job}
                    for line, event in zip(lines, events[-limit:], strict=True)
                ]
            }
        )

    async def _summarize(self, request: web.Request) -> web.Response:
        admin_access.authorize(request, self._operators)
        minutes = _read_number(
            request, "minutes", _DEFAULT_MINUTES, MOST_MINUTES
        )
        end_ms = clock_lib.read_wall_ms() + 1
        begin_ms = end_ms - minutes * _MS_PER_MINUTE
        incidents = await self._investigation.find_incidents(
            begin_ms=begin_ms, end_ms=end_ms
        )
        summary = summary_lib.summarize(incidents, begin_ms, end_ms)
        rows = [row._asdict() for row in summary.rows]
        return admin_report.create_response({**summary._asdict(), "rows": rows})


def _describe(explanation: explanation_lib.Explanation) -> dict[str, t.Any]:
    return {
        **explanation._asdict(),
        "lines": [line._asdict() for line in explanation.lines],
        "missing": [each._asdict() for each in explanation.missing],
    }


def _read_number(
    request: web.Request, name: str, default: int, most: int
) -> int:
    text = request.query.get(name, str(default))
    if not text.isdecimal() or not 1 <= int(text) <= most:
        raise admin_problem.ProblemError(
            http.HTTPStatus.BAD_REQUEST,
            f"{name} must be from 1 to {most}, is {text[:64]!r}",
        )
    return int(text)
