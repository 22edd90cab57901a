"""Jobs that can never be done, beside bursts of ordinary jobs."""

from __future__ import annotations

import asyncio
import collections
import pathlib
import sys
import time
import typing as t

from review.standins3 import fleet as fleet_lib

PLAY_S = 88.0
CPU = 64_000
ORDINARY_PER_S = 9.0
BURST_X = 2.2
BURST_S = 7.0
CALM_S = 2.0
DEADLINE_S = 1.5
RESEND_S = 1.3
RESTART_S = 0.5

# One in 20 of the jobs of a burst, twice for 3 s.
HOPELESS_PER_S = 1.0
HOPELESS_S = 6.0
HOPELESS_STEP = {
    "task-count": 480,
    "cpu": 10_000_000,
    "mem-mb": 64,
    "estimated-ms": 9_007_199_254_740_991,
}
ENDS_TO_COUNT = 3
MACHINES_TO_COUNT = 2


class Play:
    """The play of the case on one fleet."""

    def __init__(self, fleet: fleet_lib.Fleet) -> None:
        self._fleet = fleet
        self._begun_at = time.monotonic()
        self._ordinary: collections.Counter[int] = collections.Counter()
        self._callers: set[asyncio.Task[None]] = set()
        self._sent = 0
        self.ends: collections.Counter[str] = collections.Counter()

    async def run(self) -> None:
        """Plays all parts at once."""
        await asyncio.gather(
            self._send_ordinary(), self._send_hopeless(), self._restart_ended()
        )
        for caller in self._callers:
            caller.cancel()
        self._fleet.record(
            f"ordinary jobs, first answers by status: {dict(self._ordinary)}"
        )

    @property
    def _age_s(self) -> float:
        return time.monotonic() - self._begun_at

    @property
    def _burst_age_s(self) -> float:
        """How long the present burst has lasted; it may be over."""
        return self._age_s % (BURST_S + CALM_S)

    async def _send_ordinary(self) -> None:
        while self._age_s < PLAY_S:
            is_burst = self._burst_age_s < BURST_S
            rate = ORDINARY_PER_S * (BURST_X if is_burst else 1.0)
            self._spawn(self._call_ordinary())
            await asyncio.sleep(1 / rate)

    async def _send_hopeless(self) -> None:
        while self._age_s < PLAY_S:
            if fleet_lib.has_trouble() and self._burst_age_s < HOPELESS_S:
                self._spawn(self._call_hopeless())
            await asyncio.sleep(1 / HOPELESS_PER_S)

    def _spawn(self, work: t.Coroutine[t.Any, t.Any, None]) -> None:
        caller = asyncio.create_task(work)
        self._callers.add(caller)
        caller.add_done_callback(self._callers.discard)

    def _choose_front(self) -> fleet_lib.Process:
        self._sent += 1
        return self._fleet.fronts[self._sent % len(self._fleet.fronts)]

    async def _call_ordinary(self) -> None:
        job = fleet_lib.create_job_id()
        answer = await self._fleet.submit(
            self._choose_front(), job, 2, 400, DEADLINE_S, cpu=20_000
        )
        self._ordinary[answer.status] += 1
        if answer.status in (0, 502, 504):
            await asyncio.sleep(RESEND_S)
            await self._fleet.submit(
                self._choose_front(), job, 2, 400, DEADLINE_S, cpu=20_000
            )

    async def _call_hopeless(self) -> None:
        """Sends a job of tasks that no runner has the cores for."""
        job = fleet_lib.create_job_id()
        front = self._choose_front()
        body = {"spec": "s", "steps": [HOPELESS_STEP], "best-effort": True}
        url = self._fleet.job_url(front, job)
        answer = await self._fleet.call("POST", url, body, DEADLINE_S)
        self._fleet.record(
            f"{front.ip} answers hopeless {job}: {answer.status}"
        )

    async def _restart_ended(self) -> None:
        """Starts each process that has ended again, as the platform does."""
        while self._age_s < PLAY_S:
            await asyncio.sleep(0.05)
            for process in (*self._fleet.fronts, *self._fleet.sides):
                if process.has_ended:
                    self.ends[process.ip] += 1
                    self._fleet.record(f"{process.ip} has ended by itself")
                    await asyncio.sleep(RESTART_S)
                    process.start()


async def act(fleet: fleet_lib.Fleet) -> str:
    """Plays the case; returns how the rule was broken."""
    play = Play(fleet)
    await play.run()
    for front in fleet.fronts:
        errors = front.list_lines("process:unexpected-error")
        fleet.record(f"{front.ip} has logged {len(errors)} errors")
    fleet.record(f"processes that have ended by themselves: {dict(play.ends)}")
    counted = [ip for ip, ends in play.ends.items() if ends >= ENDS_TO_COUNT]
    if len(counted) < MACHINES_TO_COUNT:
        return ""
    return f"ended {ENDS_TO_COUNT} times or more by themselves: {counted}"


if __name__ == "__main__":
    folder = pathlib.Path(__file__).parent
    sys.exit(fleet_lib.run_case(folder, act, sides=3, cpu=CPU))
