"""Tests that a task set ends with its block and passes on failures."""

from __future__ import annotations

import asyncio

import pytest

from skylarkcleat.directory import _tasks


async def drop_first_cancellation():
    try:
        await asyncio.Event().wait()
    except asyncio.CancelledError:
        await asyncio.Event().wait()


async def fail():
    raise OSError("the disk is full")


def test_a_task_that_drops_a_cancellation_is_cancelled_again():
    async def main():
        async with _tasks.TaskSet() as tasks:
            tasks.start(drop_first_cancellation())
            await asyncio.sleep(0)

    asyncio.run(main())


def test_a_failed_task_ends_the_block_with_its_failure():
    async def main():
        async with _tasks.TaskSet() as tasks:
            tasks.start(fail())
            await asyncio.Event().wait()

    with pytest.raises(OSError, match="the disk is full"):
        asyncio.run(main())


def test_an_external_cancellation_propagates():
    async def enter():
        async with _tasks.TaskSet() as tasks:
            tasks.start(drop_first_cancellation())
            await asyncio.Event().wait()

    async def main():
        task = asyncio.create_task(enter())
        await asyncio.sleep(0)
        task.cancel()
        await asyncio.wait([task])
        assert task.cancelled()

    asyncio.run(main())
