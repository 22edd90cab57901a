"""Serves callers, operators and the health check of a front."""

from __future__ import annotations

import asyncio
import math

from aiohttp import web

from skylarkcleat.front import service as service_lib
from skylarkcleat.platform import caller_address
from skylarkcleat.platform import configuration_body
from skylarkcleat.platform import evacuation_path
from skylarkcleat.platform import job_body
from skylarkcleat.platform import names
from skylarkcleat.protocol import scheduling

DEFAULT_CALLER_TIMEOUT_MS = 10_000
MAX_DIGITS = 9
MAX_READS = 8
"""How many configurations are read back at once: each read has a copy, of 1 MB
at most. Operators send as many orders at once."""

MAX_WRITES = 16
"""How many configurations wait for the log at once, which holds their bytes.
One more is refused, and not run."""

_JOB_STATES = (
    scheduling.Verdict.COMPLETED,
    scheduling.Verdict.FAILED,
    scheduling.Verdict.CANCELLED,
    scheduling.Verdict.QUEUED,
    scheduling.Verdict.RUNNING,
)
_STATUSES = {
    scheduling.Verdict.INVALID: 400,
    scheduling.Verdict.UNKNOWN_QUEUE: 404,
    scheduling.Verdict.UNKNOWN_JOB: 410,
    scheduling.Verdict.NOT_RUN: 503,
    scheduling.Verdict.UNCERTAIN: 504,
    scheduling.Verdict.ACCEPTED: 200,
}


class Ingress:
    """Translates HTTP requests into calls of a front."""

    def __init__(self, front: service_lib.FrontService) -> None:
        self._front = front
        self._reads = asyncio.Semaphore(MAX_READS)
        self._writes = 0

    async def handle_job(self, request: web.BaseRequest) -> web.Response:
        """Answers a caller's request about jobs."""
        if not _is_text(request.headers.get("Host", ""), request.path):
            return self._respond(400, {"error": "host or path is not UTF-8"})
        host = caller_address.read_host(request.headers.get("Host", ""))
        found = caller_address.split_path(request.path)
        if request.method == "POST":
            if found is None:
                return self._respond(404, {})
            return await self._submit(request, host, *found)
        if request.method not in ("GET", "DELETE"):
            return self._respond(405, {})
        path, job = found or (request.path, "")
        if not job and request.method == "DELETE":
            return self._respond(404, {})
        cancel = request.method == "DELETE"
        reply = await self._front.query(host, path, job, cancel)
        return self._translate(reply)

    async def handle_control(self, request: web.BaseRequest) -> web.Response:
        """Answers an operator."""
        place = (request.method, request.path)
        if place == ("POST", names.CONFIGURATION_PUT_PATH):
            return await self._put(request)
        if place == ("GET", names.CONFIGURATION_GET_PATH):
            return await self._get()
        order = evacuation_path.decode_path(request.path)
        if request.method == "POST" and order is not None:
            return self._translate(await self._front.order_zone(*order))
        return self._respond(404, {})

    async def handle_ready(self, request: web.BaseRequest) -> web.Response:
        """Answers the health check."""
        del request
        return self._respond(200 if self._front.is_ready else 503, {})

    async def _submit(
        self, request: web.BaseRequest, host: str, path: str, job_id: str
    ) -> web.Response:
        try:
            job = job_body.decode_job(job_id, await request.read())
        except job_body.JobError as error:
            return self._respond(400, {"error": str(error)})
        caller_timeout_ms = _read_caller_timeout(request)
        reply = await self._front.submit(host, path, job, caller_timeout_ms)
        return self._translate(reply)

    async def _put(self, request: web.BaseRequest) -> web.Response:
        body = await request.read()
        try:
            decoded = configuration_body.decode_configuration(body)
        except configuration_body.ConfigurationError as error:
            return self._respond(400, {"error": str(error)})
        if self._writes >= MAX_WRITES:
            return self._respond(503, {"error": "too many configurations"})
        self._writes += 1
        try:
            reply = await self._front.put_configuration(decoded)
        finally:
            self._writes -= 1
        return self._translate(reply)

    async def _get(self) -> web.Response:
        async with self._reads:
            found = await self._front.read_configuration()
        if found is None or not found.version:
            return self._respond(503, {})
        return web.Response(body=found.original, content_type=names.JSON)

    def _translate(self, reply: scheduling.Reply) -> web.Response:
        if reply.verdict in _JOB_STATES:
            return self._respond(200, {"state": reply.verdict.value})
        if reply.verdict is scheduling.Verdict.COUNTED:
            return self._respond(200, {"pending": reply.count})
        status = _STATUSES.get(reply.verdict, 503)
        response = self._respond(status, {"error": reply.detail})
        if status == 503:
            seconds = max(1, math.ceil(reply.retry_after_ms / 1000))
            response.headers["Retry-After"] = str(seconds)
        return response

    def _respond(self, status: int, body: dict[str, object]) -> web.Response:
        response = web.json_response(body, status=status)
        if self._front.is_draining:
            response.force_close()
        return response


def _is_text(*values: str) -> bool:
    """Returns whether values can be encoded; aiohttp keeps bytes that can't."""
    try:
        for value in values:
            value.encode()
    except UnicodeEncodeError:
        return False
    return True


def _read_caller_timeout(request: web.BaseRequest) -> int:
    text = request.headers.get(names.DEADLINE_HEADER, "")
    is_number = text.isascii() and text.isdigit() and len(text) <= MAX_DIGITS
    return int(text) if is_number else DEFAULT_CALLER_TIMEOUT_MS
