"""The HTTP API for callers: jobs, single requests, health and metrics."""

from __future__ import annotations

import asyncio
import itertools
import typing as t

import msgspec
from aiohttp import web

from skylarkcleat import clock as clock_lib
from skylarkcleat import web as web_lib
from skylarkcleat.entry import admission as admission_lib
from skylarkcleat.entry import gauges as gauges_lib
from skylarkcleat.entry import problem as problem_lib
from skylarkcleat.entry import process as process_lib
from skylarkcleat.entry import request as request_lib
from skylarkcleat.entry import submission as submission_lib
from skylarkcleat.model import failure as failure_lib
from skylarkcleat.model import job_id as job_id_lib

KEY_HEADER = "Idempotency-Key"
JOB_HEADER = "Skylarkcleat-Job"
TRACE_HEADER = "traceparent"
MAX_TRACE_CHARACTERS = 512
_STEP = "accept"
_READY = 200
_NOT_READY = 503
_TOO_LARGE = 413

_Parse = t.Callable[[bytes], request_lib.Work]


class HttpApi:
    """Accepts submissions over HTTP and responds with their outcome."""

    def __init__(
        self,
        name: str,
        mailbox: asyncio.Queue,
        process: process_lib.EntryProcess,
        admission: admission_lib.Admission,
        gauges: gauges_lib.EntryGauges,
        max_body_bytes: int,
    ) -> None:
        """Initializes the API.

        Args:
            name: The entry's member name.
            mailbox: Receives the submissions.
            process: The entry's task; provides the counts in `/readyz`.
            admission: Reports whether the entry accepts new work.
            gauges: The metrics served at `/metrics`.
            max_body_bytes: The largest body of a submission; a larger one is
                refused with status 413.
        """
        self._name = name
        self._mailbox = mailbox
        self._process = process
        self._admission = admission
        self._gauges = gauges
        self._max_body_bytes = max_body_bytes
        self._callers = itertools.count(1)

    def create_app(self) -> web.Application:
        """Returns the HTTP application."""
        app = web.Application(client_max_size=self._max_body_bytes)
        app.router.add_post("/v1/jobs", self._submit_job)
        app.router.add_post("/v1/requests", self._submit_request)
        app.router.add_get("/livez", web_lib.answer_live)
        app.router.add_get("/readyz", self._answer_ready)
        app.router.add_get("/metrics", self._answer_metrics)
        return app

    async def _submit_job(self, request: web.Request) -> web.Response:
        return await self._submit(request, request_lib.parse_job)

    async def _submit_request(self, request: web.Request) -> web.Response:
        return await self._submit(request, request_lib.parse_request)

    async def _submit(
        self, request: web.Request, parse: _Parse
    ) -> web.Response:
        try:
            work = parse(await request.read())
            key = _read_key(request)
        except (
            request_lib.InvalidBodyError,
            job_id_lib.InvalidJobIdError,
        ) as error:
            return problem_lib.create_bad_request(str(error), self._name, _STEP)
        except web.HTTPRequestEntityTooLarge:
            return problem_lib.create_bad_request(
                f"the body is over {self._max_body_bytes} bytes",
                self._name,
                _STEP,
                _TOO_LARGE,
            )
        job = key or job_id_lib.create_job_id(clock_lib.read_wall_ms())
        trace = request.headers.get(TRACE_HEADER, "")[:MAX_TRACE_CHARACTERS]
        outcome = await self._run(job, key is None, work, trace)
        response = _create_response(outcome, work, job.text)
        response.headers[JOB_HEADER] = job.text
        return response

    async def _run(
        self,
        job: job_id_lib.JobId,
        is_new: bool,
        work: request_lib.Work,
        trace: str,
    ) -> submission_lib.Outcome:
        caller = str(next(self._callers))
        reply = asyncio.get_running_loop().create_future()
        self._mailbox.put_nowait(
            submission_lib.Submit(caller, job, is_new, work, trace, reply)
        )
        try:
            return await reply
        except asyncio.CancelledError:
            self._mailbox.put_nowait(
                submission_lib.CallerDisconnected(caller, job.text)
            )
            raise

    async def _answer_ready(self, _: web.Request) -> web.Response:
        is_ready = self._admission.is_ready()
        body = {
            "ready": is_ready,
            "agents": self._process.agent_count,
            "jobs": self._process.job_count,
        }
        status = _READY if is_ready else _NOT_READY
        return web.json_response(body, status=status)

    async def _answer_metrics(self, request: web.Request) -> web.Response:
        self._gauges.update()
        accepts = request.headers.getall("Accept", [])
        body, headers = self._gauges.metrics.render(accepts)
        return web.Response(body=body, headers=headers)


def _read_key(request: web.Request) -> job_id_lib.JobId | None:
    text = request.headers.get(KEY_HEADER)
    return None if text is None else job_id_lib.parse_job_id(text)


def _create_response(
    outcome: submission_lib.Outcome, work: request_lib.Work, job: str
) -> web.Response:
    if isinstance(outcome, failure_lib.Failure):
        return problem_lib.create_problem(outcome, job)
    answers = [msgspec.Raw(body) for body in outcome.bodies]
    body = {"answer": answers[0]} if work.single else {"answers": answers}
    return web.Response(
        body=msgspec.json.encode(body), content_type="application/json"
    )
