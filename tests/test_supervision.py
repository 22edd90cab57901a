"""Unexpected errors end one step, not the process."""

from __future__ import annotations

import asyncio

import eliot.testing
import pytest

from skylarkcleat import supervision


@pytest.fixture
def lines():
    logger = eliot.testing.MemoryLogger()
    eliot.add_destinations(logger.write)
    yield logger.messages
    eliot.remove_destination(logger.write)


def test_a_loop_that_fails_runs_again(lines, monkeypatch):
    monkeypatch.setattr(supervision, "RESTART_PAUSE_S", 0.0)
    passes = []

    async def work() -> None:
        passes.append(1)
        if len(passes) < 3:
            raise KeyError("odd")

    asyncio.run(supervision.keep_running("look around", work))
    assert len(passes) == 3
    found = [
        line
        for line in lines
        if line["message_type"] == supervision.UNEXPECTED_ERROR
    ]
    assert [line["step"] for line in found] == ["look around"] * 2
    assert "KeyError" in found[0]["trace"]


def test_a_loop_that_fails_all_the_time_ends_the_process(monkeypatch):
    monkeypatch.setattr(supervision, "RESTART_PAUSE_S", 0.0)
    passes = []

    async def work() -> None:
        passes.append(1)
        raise KeyError("odd")

    with pytest.raises(KeyError):
        asyncio.run(supervision.keep_running("look around", work))
    assert len(passes) == supervision.MAX_RESTARTS + 1


def test_an_error_of_a_background_task_is_logged(lines):
    async def fail() -> None:
        raise KeyError("odd")

    async def run() -> None:
        tasks = supervision.BackgroundTasks("call the runner")
        tasks.spawn(fail())
        await asyncio.sleep(0.01)

    asyncio.run(run())
    assert any(line.get("step") == "call the runner" for line in lines)
