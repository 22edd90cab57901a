"""HTTP client that runs tasks on the runner beside the agent."""

from __future__ import annotations

import typing as t

import aiohttp
import msgspec

from skylarkcleat import clock as clock_lib
from skylarkcleat.model import cause as cause_lib
from skylarkcleat.model import failure as failure_lib
from skylarkcleat.protocol import dispatching

# A longer answer fails the task.
MAX_ANSWER_BYTES = 1 << 20
_MS_PER_S = 1000
_STEP = "run"
_SERVER_ERROR = 500


class Completed(t.NamedTuple):
    """A run that the runner answered.

    Attributes:
        body: The answer, a JSON document.
        run_ms: The duration of the request, in milliseconds.
    """

    body: bytes
    run_ms: float


class RunFailure(t.NamedTuple):
    """A run that ended without a valid answer.

    Attributes:
        failure: The reason; its outcome is `NOT_RUN` only if no connection
            could be opened.
        run_ms: The duration of the request, in milliseconds.
    """

    failure: failure_lib.Failure
    run_ms: float


class Runner:
    """HTTP client of one runner; an async context manager.

    Entering opens the connection pool, and leaving closes it.
    """

    def __init__(
        self,
        url: str,
        connections: int,
        connect_timeout_s: float,
        silence_timeout_s: float,
    ) -> None:
        """Initializes the client without connecting.

        Args:
            url: The URL that each task is posted to.
            connections: The maximum number of concurrent connections.
            connect_timeout_s: The timeout to open a connection, in seconds.
            silence_timeout_s: The timeout of a whole request, in seconds, if
                the task's own budget is longer.
        """
        self._url = url
        self._connections = connections
        self._connect_timeout_s = connect_timeout_s
        self._silence_timeout_s = silence_timeout_s
        self._session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> t.Self:
        """Opens the connection pool."""
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=self._connections),
            auto_decompress=False,
        )
        return self

    async def __aexit__(self, *_: object) -> None:
        """Closes the connections."""
        await self._session.close()

    async def run(
        self, dispatch: dispatching.Dispatch
    ) -> Completed | RunFailure:
        """Posts a task and returns the answer or the failure."""
        started = clock_lib.read_monotonic()
        result = await self._post(dispatch)
        run_ms = (clock_lib.read_monotonic() - started) * _MS_PER_S
        if isinstance(result, failure_lib.Failure):
            return RunFailure(result, run_ms)
        return Completed(result, run_ms)

    async def _post(
        self, dispatch: dispatching.Dispatch
    ) -> bytes | failure_lib.Failure:
        try:
            async with self._session.post(
                self._url,
                data=dispatch.payload,
                headers=_create_headers(dispatch),
                timeout=self._create_timeout(dispatch),
                allow_redirects=False,
            ) as response:
                return await self._read(response)
        except aiohttp.ClientConnectorError as error:
            return self._create_unreachable_failure(error)
        except TimeoutError as error:
            if isinstance(error, aiohttp.ConnectionTimeoutError):
                return self._create_unreachable_failure(error)
            return self._create_failure(
                failure_lib.Outcome.UNKNOWN,
                cause_lib.Cause.RUNNER_SILENT,
                "the runner gave no answer in time",
            )
        except (aiohttp.ClientError, OSError, ValueError) as error:
            return self._create_failure(
                failure_lib.Outcome.UNKNOWN,
                cause_lib.Cause.RUNNER_GARBAGE,
                f"the runner's answer broke off or is not HTTP: {error}",
            )

    async def _read(
        self, response: aiohttp.ClientResponse
    ) -> bytes | failure_lib.Failure:
        if response.status >= _SERVER_ERROR or not response.ok:
            return self._create_failure(
                failure_lib.Outcome.FAILED,
                cause_lib.Cause.RUNNER_ERROR,
                f"the runner answered with status {response.status}",
            )
        body = await _read_bounded(response)
        if body is None:
            return self._create_failure(
                failure_lib.Outcome.FAILED,
                cause_lib.Cause.RUNNER_GARBAGE,
                f"the runner's answer is over {MAX_ANSWER_BYTES} bytes",
            )
        try:
            msgspec.json.decode(body)
        except msgspec.DecodeError as error:
            return self._create_failure(
                failure_lib.Outcome.FAILED,
                cause_lib.Cause.RUNNER_GARBAGE,
                f"the runner's answer is not JSON: {error}",
            )
        return body

    def _create_timeout(
        self, dispatch: dispatching.Dispatch
    ) -> aiohttp.ClientTimeout:
        budget_s = dispatch.budget_ms / _MS_PER_S
        return aiohttp.ClientTimeout(
            total=min(budget_s, self._silence_timeout_s),
            sock_connect=self._connect_timeout_s,
        )

    def _create_unreachable_failure(
        self, error: Exception
    ) -> failure_lib.Failure:
        return self._create_failure(
            failure_lib.Outcome.NOT_RUN,
            cause_lib.Cause.RUNNER_UNREACHABLE,
            f"no connection to the runner could be opened: {error}",
        )

    def _create_failure(
        self,
        outcome: failure_lib.Outcome,
        cause: cause_lib.Cause,
        detail: str,
    ) -> failure_lib.Failure:
        return failure_lib.Failure(outcome, cause, _STEP, self._url, detail)


async def _read_bounded(response: aiohttp.ClientResponse) -> bytes | None:
    body = await response.content.read(MAX_ANSWER_BYTES + 1)
    while len(body) <= MAX_ANSWER_BYTES:
        chunk = await response.content.read(MAX_ANSWER_BYTES + 1)
        if not chunk:
            return body
        body += chunk
    return None


def _create_headers(dispatch: dispatching.Dispatch) -> dict[str, str]:
    attempt = dispatch.attempt
    headers = {
        "Content-Type": "application/json",
        "Skylarkcleat-Task": f"{attempt.job}/{attempt.task}",
    }
    if dispatch.traceparent:
        headers["traceparent"] = dispatch.traceparent
    return headers


def create_runner(
    url: str,
    connections: int,
    connect_timeout_ms: int,
    silence_timeout_ms: int,
) -> Runner:
    """Creates a client of the runner at a URL."""
    return Runner(
        url,
        connections,
        connect_timeout_ms / _MS_PER_S,
        silence_timeout_ms / _MS_PER_S,
    )
