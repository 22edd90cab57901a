from __future__ import annotations

import asyncio
import contextlib
import json

import pytest

from skylarkcleat import web
from skylarkcleat.agent import runner as runner_lib
from skylarkcleat.model import cause as cause_lib
from skylarkcleat.model import failure as failure_lib
from skylarkcleat.protocol import dispatching
from skylarkcleat.standin import runner as standin
from tests import fleet as fleet_lib

Cause = cause_lib.Cause
Outcome = failure_lib.Outcome


def _create_dispatch(payload, budget_ms=5000):
    return dispatching.Dispatch(
        attempt=dispatching.Attempt("job", 0, 1, 1),
        incarnation=1,
        profile="votive-order",
        profile_version=1,
        budget_ms=budget_ms,
        size_ms=0,
        payload=json.dumps(payload).encode(),
        traceparent="00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01",
    )


@contextlib.asynccontextmanager
async def _open_runner(silence_timeout_ms=5000, connections=64):
    server = standin.Runner()
    async with web.Server(server.create_app(), "127.0.0.1", 0) as listening:
        url = f"http://127.0.0.1:{listening.port}/run"
        async with runner_lib.create_runner(
            url, connections, 500, silence_timeout_ms
        ) as runner:
            yield runner, server


def test_answer_body_is_returned_unchanged():
    async def run():
        async with _open_runner() as (runner, server):
            result = await runner.run(_create_dispatch({"echo": 1}))
            assert result.body == b'{"echo": 1}'
            assert server.starts == {"job/0": 1}

    asyncio.run(run())


@pytest.mark.parametrize(
    ("payload", "cause", "outcome"),
    [
        ({"status": 500}, Cause.RUNNER_ERROR, Outcome.FAILED),
        ({"status": 404}, Cause.RUNNER_ERROR, Outcome.FAILED),
        ({"garbage": True}, Cause.RUNNER_GARBAGE, Outcome.FAILED),
        ({"half": True}, Cause.RUNNER_GARBAGE, Outcome.UNKNOWN),
        ({"silent": True}, Cause.RUNNER_SILENT, Outcome.UNKNOWN),
    ],
)
def test_runner_failures_map_to_cause_and_outcome(payload, cause, outcome):
    async def run():
        async with _open_runner(silence_timeout_ms=300) as (runner, _):
            result = await runner.run(_create_dispatch(payload))
            assert result.failure.cause is cause
            assert result.failure.outcome is outcome
            assert result.failure.step == "run"

    asyncio.run(run())


def test_refused_connection_is_reported_as_not_run():
    async def run():
        url = f"http://127.0.0.1:{fleet_lib.find_port()}/run"
        async with runner_lib.create_runner(url, 8, 500, 500) as runner:
            result = await runner.run(_create_dispatch({}))
            assert result.failure.cause is Cause.RUNNER_UNREACHABLE
            assert result.failure.outcome is Outcome.NOT_RUN

    asyncio.run(run())


def test_runner_connection_limit_is_never_exceeded():
    async def run():
        async with _open_runner(connections=4) as (runner, server):
            dispatch = _create_dispatch({"sleep_ms": 20})
            await asyncio.gather(*(runner.run(dispatch) for _ in range(20)))
            assert server.most_running <= 4

    asyncio.run(run())


def test_traceparent_is_forwarded_to_the_runner():
    dispatch = _create_dispatch({})
    headers = runner_lib._create_headers(dispatch)
    assert headers["traceparent"] == dispatch.traceparent
