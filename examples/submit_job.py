"""Submits a job, and submits it again under its id while that may help."""

from __future__ import annotations

import asyncio
import sys

import skylarkcleat

ENTRY = "http://127.0.0.1:8080"
MAX_TRIES = 3


async def submit_order(lots: list[int]) -> skylarkcleat.JobResult | None:
    """Returns the answers to an order of some lots, or None."""
    tasks = [{"sleep_ms": 50, "echo": lot} for lot in lots]
    job = ""
    async with skylarkcleat.create_client(ENTRY) as client:
        for _ in range(MAX_TRIES):
            result = await client.submit_job("votive-order", tasks, job)
            if isinstance(result, skylarkcleat.JobResult):
                return result
            print(f"{result.failure.outcome}: {result.failure.detail}")
            if result.failure.outcome is not skylarkcleat.Outcome.UNKNOWN:
                return None
            job = result.job
    return None


if __name__ == "__main__":
    answered = asyncio.run(submit_order([7, 8, 9]))
    print(answered)
    sys.exit(0 if answered else 1)
