"""Side processes that come shortly before an owner is lost, in a simulation.

The front that takes over may have missed their names: it stood still, its link
held messages back, or the owner did not hear it. The tasks of one job run on
the new runners, since the others are busy until just after the loss.
"""

from __future__ import annotations

import asyncio
import enum
import typing as t

from tests import ownership_scenarios as scenarios_lib
from tests import ownership_world as world_lib

SIDES = 6
OLD = 3
"""How many of the side processes are there from the beginning."""

TASKS_PER_RUNNER = 4
FILLED_S = 4.0
"""How long the old runners are busy."""

WORK_S = 2.0
LOSS_BEFORE_S = 0.3
"""How long before they are free again the owner is lost."""

SUBMITTED_BEFORE_S = 0.4
"""How long before its loss the job comes that runs on the new runners."""

LONG_S = 30.0


class Trouble(enum.StrEnum):
    """Why the front that takes over may not know of new side processes."""

    NONE = ""
    FROZEN = "frozen"
    HELD_BACK = "held back"
    UNHEARD = "unheard"


class Growth(t.NamedTuple):
    """One order of events.

    Attributes:
        trouble: What befalls the front that takes over.
        added_before_s: How long before the loss of the owner new side
            processes start, in seconds.
        woken_after_s: How long after it the trouble ends, in seconds.
        replaces: Whether as many side processes are lost as come.
        is_paused: Whether the owner stands still in place of being killed.
    """

    trouble: Trouble
    added_before_s: float = 3.0
    woken_after_s: float = 0.06
    replaces: bool = False
    is_paused: bool = False


class GrowingWorld(scenarios_lib.ScenarioWorld):
    """A world in which side processes come shortly before a loss."""

    def find_work(self, task: str) -> float:
        """Returns how long a task takes, in seconds: as estimated."""
        return self._work_s[task.partition(".")[0]]

    async def run_growth(self, growth: Growth) -> None:
        """Adds side processes, and ends the owner while a job runs there."""
        await self._open(absent=self._sides[OLD:])
        self.network.outlive_senders()
        owner = self._find_owner()
        heir, caller = [each for each in self._fronts if each != owner]
        filled = self.now
        lost_at = filled + FILLED_S - LOSS_BEFORE_S
        calls = [self._submit_wide(caller, OLD, FILLED_S)]
        await asyncio.sleep(0.2)
        if growth.replaces:
            # Its runner goes on, and ends the runs as their lease expires.
            self.processes[self._sides[0]].kill()
        await self._wait_until(lost_at - growth.added_before_s)
        self._begin_trouble(growth, owner, heir, lost_at)
        for side in self._sides[OLD:]:
            self._start(side)
        await self._wait_until(lost_at - SUBMITTED_BEFORE_S)
        calls.append(self._submit_wide(caller, SIDES - OLD, WORK_S))
        await self._wait_until(lost_at)
        self._end_owner(owner, growth)
        await asyncio.gather(*calls)
        await asyncio.sleep(world_lib.RECOVERY_S)
        await self._submit_late_jobs()

    def _begin_trouble(
        self, growth: Growth, owner: str, heir: str, lost_at: float
    ) -> None:
        until = lost_at + growth.woken_after_s
        if growth.trouble is Trouble.FROZEN:
            self.processes[heir].freeze(until)
        elif growth.trouble is Trouble.HELD_BACK:
            self._cut((owner,), (heir,), until)
        elif growth.trouble is Trouble.UNHEARD:
            self.network.block(heir, owner, lost_at + LONG_S)

    def _end_owner(self, owner: str, growth: Growth) -> None:
        if growth.is_paused:
            self.processes[owner].freeze(self.now + WORK_S)
        else:
            self._restart(owner, WORK_S)

    def _submit_wide(
        self, front: str, runners: int, work_s: float
    ) -> asyncio.Task[t.Any]:
        """Submits a job that fills some runners."""
        job = self._create_job(work_s)
        step = job.steps[0]._replace(task_count=runners * TASKS_PER_RUNNER)
        job = job._replace(steps=(step,))
        timeout_ms = round((FILLED_S + WORK_S) * 1000)
        submission = self.fronts[front].submit("h", "/p/", job, timeout_ms)
        return self.processes[front].spawn(submission)

    async def _wait_until(self, at: float) -> None:
        await asyncio.sleep(at - self.now)


def simulate(seed: int, growth: Growth, monkeypatch: t.Any) -> GrowingWorld:
    """Simulates side processes that come shortly before a loss."""
    world = GrowingWorld(seed, world_lib.NO_FAULTS, sides=SIDES)
    return world_lib.play(world, world.run_growth(growth), monkeypatch)
