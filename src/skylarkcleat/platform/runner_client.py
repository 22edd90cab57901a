"""Calls a runner over HTTP: starts, stops and probes."""

from __future__ import annotations

import asyncio
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

MAX_CONNECTIONS = 6
UNANSWERED = 0
"""The status of a call without an answer, which may have taken effect."""

CONFLICT = 409
OTHER_INSTANCE = 421
_FAILURES = (aiohttp.ClientError, TimeoutError, OSError)


class RunnerClient:
    """Holds the connections to one runner. A context manager."""

    def __init__(self, address: str) -> None:
        self._url = f"http://{address}"
        self._encoder = msgspec.json.Encoder()

    async def __aenter__(self) -> t.Self:
        connector = aiohttp.TCPConnector(
            limit=MAX_CONNECTIONS, keepalive_timeout=3600
        )
        self._session = aiohttp.ClientSession(
            connector=connector, auto_decompress=False
        )
        return self

    async def __aexit__(self, *_: object) -> None:
        await self._session.close()

    async def start(
        self, order: leasing.Start, deadline_ms: int, runner: str
    ) -> runner_body.Answer:
        """Starts a task.

        Args:
            order: The task to start.
            deadline_ms: Until when it may run, on the runner's clock.
            runner: The id of the expected runner.

        Returns:
            The answer; its status is `UNANSWERED` if there is none.
        """
        body = {
            "task": order.task,
            "run": order.run,
            "spec": order.spec,
            "deadline-ms": deadline_ms,
            "fencing-token": order.epoch,
        }
        return await self._call(names.START_PATH, body, runner)

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
    ) -> (
        runner_body.HoldAnswer
        | runner_body.Fenced
        | runner_body.OtherRunner
        | None
    ):
        """Requests the list of all runs and extends their deadline.

        Args:
            epoch: The fencing token; the runner refuses lower ones after it.
            last_seen: The runner deletes ends up to this number.
            deadline_ms: Until when they may run, on the runner's clock.
            wait_ms: How long to wait for an end, in milliseconds.
            runner: The id of the expected runner; empty for any.

        Returns:
            `FENCED` if the runner has seen a larger token; `OTHER_RUNNER` if
            it isn't the expected one; None if there is no readable answer.
        """
        body: dict[str, int] = {"fencing-token": epoch, "last-seen": last_seen}
        if deadline_ms is not None:
            body["deadline-ms"] = deadline_ms
        if wait_ms:
            body["wait-ms"] = wait_ms
        timeout = PROBE_TIMEOUT_S + wait_ms / 1000
        status, data = await self._post(names.HOLD_PATH, body, runner, timeout)
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
        self, path: str, body: dict[str, t.Any], runner: str
    ) -> runner_body.Answer:
        status, data = await self._post(path, body, runner, ORDER_TIMEOUT_S)
        return runner_body.decode_answer(status, data)

    async def _post(
        self, path: str, body: dict[str, t.Any], runner: str, timeout: float
    ) -> tuple[int, bytes]:
        headers = {"Content-Type": names.JSON}
        if runner:
            headers[names.EXPECTED_INSTANCE_HEADER] = runner
        try:
            async with asyncio.timeout(timeout):
                async with self._session.post(
                    self._url + path,
                    data=self._encoder.encode(body),
                    headers=headers,
                ) as response:
                    return response.status, await response.read()
        except _FAILURES:
            return UNANSWERED, b""
