"""Callers of a front that stands still, beside two owners of the jobs.

A caller gives up and sends its job again to a front that follows the other
owner. The first front learns of that once it goes on.
"""

from __future__ import annotations

import asyncio
import typing as t

from tests import ownership_scenarios as scenarios_lib
from tests import ownership_world as world_lib

FROZEN_S = 2.6
GIVEN_UP_AFTER_S = 0.6
WORK_S = 3.0
LONG_S = 30.0


class PausedWorld(scenarios_lib.ScenarioWorld):
    """A world in which a caller leaves a front that stands still."""

    async def run_pause(self, sent_before_s: float) -> None:
        """Freezes a front that has a caller; the job goes on elsewhere.

        Args:
            sent_before_s: How long before the freeze the caller sends its
                job; negative if after its beginning.
        """
        await self._open()
        former = self._find_owner()
        claimant, frozen = [each for each in self._fronts if each != former]
        near, far = self._sides
        self._cut((former, near), (claimant, frozen, far), self.now + LONG_S)
        await asyncio.sleep(world_lib.TAKEOVER_S)
        job = self._create_job(WORK_S)
        frozen_at = self.now + 0.5
        thawed_at = frozen_at + FROZEN_S
        await asyncio.sleep(frozen_at - sent_before_s - self.now)
        if sent_before_s < 0:
            self.processes[frozen].freeze(thawed_at)
        first = self._call(frozen, job)
        await asyncio.sleep(frozen_at - self.now)
        self.processes[frozen].freeze(thawed_at)
        await asyncio.sleep(GIVEN_UP_AFTER_S)
        context = self.processes[frozen].context
        loop = asyncio.get_running_loop()
        loop.call_soon(first.cancel, context=context)
        await asyncio.sleep(world_lib.RESEND_S)
        self.late_verdicts.append((await self._call(former, job)).verdict)
        await asyncio.sleep(WORK_S)

    def _call(self, front: str, job: t.Any) -> asyncio.Task[t.Any]:
        submission = self.fronts[front].submit("h", "/p/", job, 9000)
        return self.processes[front].spawn(submission)


def simulate(
    seed: int, sent_before_s: float, monkeypatch: t.Any
) -> PausedWorld:
    """Simulates a caller that leaves a front that stands still."""
    world = PausedWorld(seed, world_lib.NO_FAULTS, sides=2)
    return world_lib.play(world, world.run_pause(sent_before_s), monkeypatch)
