"""A client of an entry, for services in Python."""

from __future__ import annotations

import typing as t

import aiohttp
import msgspec

from skylarkcleat import clock as clock_lib
from skylarkcleat.model import cause as cause_lib
from skylarkcleat.model import failure as failure_lib
from skylarkcleat.model import job_id as job_id_lib

_STEP = "submit"
_OK = 200
_MS_PER_S = 1000


class JobResult(t.NamedTuple):
    """A job's answers.

    Attributes:
        job: The job's identifier.
        answers: Each task's answer, in the order of the tasks.
    """

    job: str
    answers: list[t.Any]


class JobFailure(t.NamedTuple):
    """A job without answers.

    Attributes:
        job: The job's identifier, to submit it again with.
        failure: What is known of it.
    """

    job: str
    failure: failure_lib.Failure


class _Problem(t.TypedDict):
    outcome: str
    cause: str
    step: str
    peer: str
    detail: str


_PROBLEM = msgspec.json.Decoder(_Problem)


class Client:
    """Submits work to entries. A context manager that owns connections.

    Attributes:
        url: The entry's or balancer's base URL.
    """

    def __init__(self, url: str) -> None:
        """Initializes a client; entering it opens its connection pool.

        Args:
            url: Such as `http://127.0.0.1:8080`.
        """
        self.url = url.rstrip("/")
        self._session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> t.Self:
        """Opens the connection pool."""
        self._session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=None)
        )
        return self

    async def __aexit__(self, *_: object) -> None:
        """Closes the connections."""
        await self._session.close()

    async def submit_job(
        self,
        profile: str,
        tasks: t.Sequence[t.Any],
        job: str = "",
        deadline_ms: int = 0,
        sizes_ms: t.Sequence[int] = (),
    ) -> JobResult | JobFailure:
        """Submits a job and waits for its end.

        A job whose failure has the outcome `unknown` may be submitted again
        under the same identifier: no task of it starts twice.

        Args:
            profile: The profile's name.
            tasks: One payload for each task, of any JSON type.
            job: The identifier of an earlier submission; empty for a new job.
            deadline_ms: How long to wait; 0 leaves it to the profile.
            sizes_ms: The run time expected of each task on a runner of
                speed 1, in milliseconds; empty if it is not known.
        """
        body = {"profile": profile, "tasks": tasks}
        if sizes_ms:
            body["sizes_ms"] = sizes_ms
        result = await self._submit("/v1/jobs", body, job, deadline_ms)
        if isinstance(result, JobFailure):
            return result
        return JobResult(result.job, result.answers["answers"])

    async def submit_request(
        self,
        profile: str,
        task: t.Any,
        job: str = "",
        deadline_ms: int = 0,
    ) -> JobResult | JobFailure:
        """Submits a single request; its one answer is `answers[0]`."""
        body = {"profile": profile, "task": task}
        result = await self._submit("/v1/requests", body, job, deadline_ms)
        if isinstance(result, JobFailure):
            return result
        return JobResult(result.job, [result.answers["answer"]])

    async def _submit(
        self, path: str, body: dict[str, t.Any], job: str, deadline_ms: int
    ) -> t.Any:
        job = job or job_id_lib.create_job_id(clock_lib.read_wall_ms()).text
        if deadline_ms:
            body["deadline_ms"] = deadline_ms
        try:
            async with self._session.post(
                self.url + path,
                data=msgspec.json.encode(body),
                headers={"Idempotency-Key": job},
            ) as response:
                data = await response.read()
        except aiohttp.ClientConnectorError as error:
            return self._fail(
                job,
                failure_lib.Outcome.NOT_RUN,
                cause_lib.Cause.ENTRY_LOST,
                f"no connection to the entry could be opened: {error}",
            )
        except (aiohttp.ClientError, OSError) as error:
            return self._fail(
                job,
                failure_lib.Outcome.UNKNOWN,
                cause_lib.Cause.ENTRY_LOST,
                f"the entry's answer broke off: {error}",
            )
        if response.status == _OK:
            return JobResult(job, msgspec.json.decode(data))
        return JobFailure(job, self._read_problem(response, data))

    def _read_problem(
        self, response: aiohttp.ClientResponse, data: bytes
    ) -> failure_lib.Failure:
        retry_after_s = int(response.headers.get("Retry-After", "0"))
        try:
            problem = _PROBLEM.decode(data)
            outcome = failure_lib.Outcome(problem["outcome"])
            cause = cause_lib.Cause(problem["cause"])
        except (msgspec.MsgspecError, ValueError):
            return failure_lib.Failure(
                failure_lib.Outcome.UNKNOWN,
                cause_lib.Cause.ENTRY_LOST,
                _STEP,
                self.url,
                f"status {response.status} without a problem in its body",
                retry_after_s * _MS_PER_S,
            )
        return failure_lib.Failure(
            outcome,
            cause,
            problem["step"],
            problem["peer"],
            problem["detail"],
            retry_after_s * _MS_PER_S,
        )

    def _fail(
        self,
        job: str,
        outcome: failure_lib.Outcome,
        cause: cause_lib.Cause,
        detail: str,
    ) -> JobFailure:
        failure = failure_lib.Failure(outcome, cause, _STEP, self.url, detail)
        return JobFailure(job, failure)


def create_client(url: str) -> Client:
    """Returns a client of the entry or balancer at a URL."""
    return Client(url)
