"""A manifest adds a queue that goes after all others."""

from __future__ import annotations

import asyncio
import collections
import pathlib
import sys
import time

from review.standins3 import fleet as fleet_lib

CALM_S = 6.0
AFTER_S = 45.0
DEADLINE_S = 1.5
PAUSE_S = 0.15
RESTART_S = 0.5
LEAST_URGENT = 9_007_199_254_740_991
USUAL = 4
ENDS_TO_COUNT = 3
MACHINES_TO_COUNT = 2


class Play:
    """The play of the case on one fleet."""

    def __init__(self, fleet: fleet_lib.Fleet) -> None:
        self._fleet = fleet
        self._callers: set[asyncio.Task[None]] = set()
        self._sent = 0
        self._routes = fleet_lib.ROUTES
        self.statuses: collections.Counter[int] = collections.Counter()
        self.ends: collections.Counter[str] = collections.Counter()

    async def run(
        self, routes: tuple[fleet_lib.Route, ...], for_s: float
    ) -> None:
        """Sends jobs to all queues, and restarts what has ended."""
        self._routes = routes
        self.statuses.clear()
        await asyncio.gather(
            self._send(time.monotonic() + for_s),
            self._restart_ended(time.monotonic() + for_s),
        )
        await asyncio.gather(*self._callers)

    async def _send(self, end: float) -> None:
        while time.monotonic() < end:
            caller = asyncio.create_task(self._call())
            self._callers.add(caller)
            caller.add_done_callback(self._callers.discard)
            await asyncio.sleep(PAUSE_S)

    async def _call(self) -> None:
        """Submits a job of a queue to a front, each in turn."""
        self._sent += 1
        fronts, routes = self._fleet.fronts, self._routes
        answer = await self._fleet.submit(
            fronts[self._sent // len(routes) % len(fronts)],
            fleet_lib.create_job_id(),
            2,
            200,
            DEADLINE_S,
            route=routes[self._sent % len(routes)],
        )
        self.statuses[answer.status] += 1

    async def _restart_ended(self, end: float) -> None:
        """Starts each process that has ended again, as the platform does."""
        while time.monotonic() < end:
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
    await play.run(fleet_lib.ROUTES, CALM_S)
    fleet.record(f"answers before the change, by status: {dict(play.statuses)}")

    priority = LEAST_URGENT if fleet_lib.has_trouble() else USUAL
    added = fleet_lib.Route(
        "r-5k2w8ux", "ficu95.example", "/zone417/", priority
    )
    routes = (*fleet_lib.ROUTES, added)
    await fleet.put(routes)
    await play.run(routes, AFTER_S)
    fleet.record(f"answers after the change, by status: {dict(play.statuses)}")
    for front in fleet.fronts:
        errors = front.list_lines("process:unexpected-error")
        found = sorted({line["error"] for line in errors})
        fleet.record(f"{front.ip} has logged {len(errors)} errors: {found}")

    fleet.record(f"processes that have ended by themselves: {dict(play.ends)}")
    counted = [ip for ip, ends in play.ends.items() if ends >= ENDS_TO_COUNT]
    if len(counted) < MACHINES_TO_COUNT:
        return ""
    return f"ended {ENDS_TO_COUNT} times or more by themselves: {counted}"


if __name__ == "__main__":
    folder = pathlib.Path(__file__).parent
    sys.exit(fleet_lib.run_case(folder, act))
