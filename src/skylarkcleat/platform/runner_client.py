"""Calls a runner over one HTTP connection: starts, stops and probes."""

from __future__ import annotations

import asyncio
import types
import typing as t

import aiohttp
import eliot
import msgspec

from skylarkcleat.platform import names
from skylarkcleat.platform import runner_body
from skylarkcleat.protocol import leasing

PROBE_TIMEOUT_S = 0.2
"""The timeout of a probe, in addition to the time it waits for an end."""

ORDER_TIMEOUT_S = 0.1
"""The timeout of a start or stop within one VM, which takes under a
millisecond. After it the runner is probed for a task whose start got no answer,
and the task is started elsewhere."""

UNANSWERED = 0
"""The status of a call without an answer, which may have taken effect."""

NOT_SENT = -1
"""The status of a call whose connection was gone before it was sent."""

CONFLICT = 409
OTHER_INSTANCE = 421
_FAILURES = (aiohttp.ClientError, TimeoutError, OSError)


class ConnectionReplacedError(aiohttp.ClientConnectionError):
    """The connection that a call was meant for is gone."""


class RunnerClient:
    """Calls a runner over one connection at a time. A context manager.

    A connection that has ended is replaced by the next call, unless that call
    is meant for this very connection. Calls must not overlap.

    Attributes:
        connection: The number of the latest connection; 0 before the first.
    """

    def __init__(self, address: str) -> None:
        self.connection = 0
        self._url = f"http://{address}"
        self._encoder = msgspec.json.Encoder()

    async def __aenter__(self) -> t.Self:
        connector = aiohttp.TCPConnector(limit=1, keepalive_timeout=3600)
        tracing = aiohttp.TraceConfig()
        tracing.on_connection_create_start.append(self._begin_connection)
        self._session = aiohttp.ClientSession(
            connector=connector, auto_decompress=False, trace_configs=[tracing]
        )
        return self

    async def __aexit__(self, *_: object) -> None:
        await self._session.close()

    async def start(
        self,
        order: leasing.Start,
        deadline_ms: int,
        runner: str,
        connection: int,
    ) -> runner_body.Answer:
        """Starts a task.

        Args:
            order: The task to start.
            deadline_ms: Until when it may run, on the runner's clock.
            runner: The id of the expected runner.
            connection: The connection that it is meant for.

        Returns:
            The answer; its status is `UNANSWERED` if there is none, and
            `NOT_SENT` if the connection is gone.
        """
        body = {
            "task": order.task,
            "run": order.run,
            "spec": order.spec,
            "deadline-ms": deadline_ms,
            "fencing-token": order.epoch,
        }
        return await self._call(names.START_PATH, body, runner, connection)

    async def stop(
        self, order: leasing.Stop, runner: str
    ) -> runner_body.Answer:
        """Stops a run; its start is refused if it arrives later."""
        body = {
            "task": order.task,
            "run": order.run,
            "fencing-token": order.epoch,
        }
        return await self._call(names.STOP_PATH, body, runner)

    async def hold(
        self,
        epoch: int,
        last_seen: int,
        deadline_ms: int | None,
        wait_ms: int,
        runner: str,
        connection: int | None = None,
    ) -> (
        runner_body.HoldAnswer
        | runner_body.Fenced
        | runner_body.OtherRunner
        | runner_body.NotSent
        | None
    ):
        """Requests the list of all runs and extends their deadline.

        Args:
            epoch: The fencing token; the runner refuses lower ones after it.
            last_seen: The runner deletes ends up to this number.
            deadline_ms: Until when they may run, on the runner's clock.
            wait_ms: How long to wait for an end, in milliseconds.
            runner: The id of the expected runner; empty for any.
            connection: The connection that it is meant for; None for any.

        Returns:
            `FENCED` if the runner has seen a larger token; `OTHER_RUNNER` if
            it isn't the expected one; `NOT_SENT` if the connection is gone;
            None if there is no readable answer.
        """
        body: dict[str, int] = {"fencing-token": epoch, "last-seen": last_seen}
        if deadline_ms is not None:
            body["deadline-ms"] = deadline_ms
        if wait_ms:
            body["wait-ms"] = wait_ms
        timeout = PROBE_TIMEOUT_S + wait_ms / 1000
        status, data = await self._post(
            names.HOLD_PATH, body, runner, timeout, connection
        )
        if status == NOT_SENT:
            return runner_body.NOT_SENT
        if status == CONFLICT:
            return runner_body.FENCED
        if status == OTHER_INSTANCE:
            return runner_body.OTHER_RUNNER
        if status != 200:
            return None
        try:
            return runner_body.decode_hold_answer(data)
        except runner_body.RunnerError as error:
            eliot.log_message("side:runs-unreadable", reason=str(error))
            return None

    async def _call(
        self,
        path: str,
        body: dict[str, t.Any],
        runner: str,
        connection: int | None = None,
    ) -> runner_body.Answer:
        status, data = await self._post(
            path, body, runner, ORDER_TIMEOUT_S, connection
        )
        return runner_body.decode_answer(status, data)

    async def _post(
        self,
        path: str,
        body: dict[str, t.Any],
        runner: str,
        timeout: float,
        connection: int | None,
    ) -> tuple[int, bytes]:
        if connection not in (None, self.connection):
            return NOT_SENT, b""
        headers = {"Content-Type": names.JSON}
        if runner:
            headers[names.EXPECTED_INSTANCE_HEADER] = runner
        try:
            async with asyncio.timeout(timeout):
                async with self._session.post(
                    self._url + path,
                    data=self._encoder.encode(body),
                    headers=headers,
                    trace_request_ctx=connection,
                ) as response:
                    return response.status, await response.read()
        except ConnectionReplacedError:
            return NOT_SENT, b""
        except _FAILURES:
            return UNANSWERED, b""

    async def _begin_connection(
        self,
        session: aiohttp.ClientSession,
        context: types.SimpleNamespace,
        params: aiohttp.TraceConnectionCreateStartParams,
    ) -> None:
        """Counts a new connection, unless its call is meant for another."""
        del session, params
        if context.trace_request_ctx is not None:
            raise ConnectionReplacedError(
                f"connection {self.connection} to {self._url} is gone"
            )
        self.connection += 1
