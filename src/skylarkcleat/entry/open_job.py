"""The record of a job in an entry's journal until the job ends."""

from __future__ import annotations

import math
import typing as t

import eliot

from skylarkcleat.model import cause as cause_lib
from skylarkcleat.model import profile as profile_lib
from skylarkcleat.timeline import ending as ending_lib

_MS_PER_S = 1000
# With fewer runs at an agent, or at all others together, the agent's runner
# isn't compared with the rest.
_MIN_RUNS = 4
# A runner is slow if its shortest run took longer than this many times the
# longest run at any other agent.
_SLOW_FACTOR = 2.0


class Runs(t.NamedTuple):
    """The run times of one job's tasks at one agent, in milliseconds."""

    count: int
    shortest_ms: float
    longest_ms: float
    total_ms: float


_NO_RUNS = Runs(0, math.inf, 0.0, 0.0)


class OpenJob:
    """A job that has not ended at this entry.

    Attributes:
        accepted_at: When it was accepted; monotonic clock, in seconds.
        action: The eliot action of the job; None if it isn't logged.
        deadline_ms: The time from acceptance to the deadline, in
            milliseconds.
        last_task: The task that was answered last; -1 before any was.
        profile: The profile's name.
        profile_version: The profile's version.
        ready_at: When its tasks began to wait for agents; monotonic clock, in
            seconds; None before.
        runs: The run times of its tasks, by the agent's name.
        served_before: The run time of each profile at `ready_at`, in
            milliseconds; see `ProfileRunTimes.copy_totals`.
        slots: The number of slots of the agents in its cohort.
    """

    __slots__ = (
        "accepted_at",
        "action",
        "deadline_ms",
        "last_task",
        "profile",
        "profile_version",
        "ready_at",
        "runs",
        "served_before",
        "slots",
    )

    def __init__(
        self,
        accepted_at: float,
        deadline_ms: float,
        profile: profile_lib.Profile,
        slots: int,
        action: eliot.Action | None,
    ) -> None:
        self.accepted_at = accepted_at
        self.action = action
        self.deadline_ms = deadline_ms
        self.profile = profile.name
        self.profile_version = profile.version
        self.slots = slots
        self.runs: dict[str, Runs] = {}
        self.last_task = -1
        self.ready_at: float | None = None
        self.served_before: dict[str, float] = {}

    def read_wait_ms(self, now: float) -> float:
        """Returns how long its tasks have waited for agents, in ms."""
        if self.ready_at is None:
            return 0.0
        return (now - self.ready_at) * _MS_PER_S

    def finish_action(
        self, ending: ending_lib.Ending, cause: cause_lib.Cause | None
    ) -> None:
        """Finishes the eliot action with the outcome."""
        if self.action is not None:
            self.action.add_success_fields(ending=ending.value, cause=cause)
            self.action.finish()

    def add_run(self, agent: str, run_ms: float) -> None:
        """Adds a task's run time on an agent's runner, in milliseconds."""
        runs = self.runs.get(agent, _NO_RUNS)
        self.runs[agent] = Runs(
            runs.count + 1,
            min(runs.shortest_ms, run_ms),
            max(runs.longest_ms, run_ms),
            runs.total_ms + run_ms,
        )

    @property
    def total_ms(self) -> float:
        """The sum of its run times, in milliseconds."""
        return sum(runs.total_ms for runs in self.runs.values())

    @property
    def ideal_ms(self) -> float:
        """The time the tasks would take on otherwise idle slots, in ms.

        Runs on slow runners are left out, and their tasks are assumed to take
        as long as the average of the others. A runner is slow if each of its
        runs (`_MIN_RUNS` or more) took over `_SLOW_FACTOR` times as long as
        the longest run on any other.
        """
        usual = [
            runs
            for agent, runs in self.runs.items()
            if not self._is_straggling(agent)
        ]
        count = sum(runs.count for runs in usual)
        if not count:
            return 0.0
        share = sum(runs.count for runs in self.runs.values()) / count
        total_ms = share * sum(runs.total_ms for runs in usual)
        longest_ms = max(runs.longest_ms for runs in usual)
        return max(longest_ms, total_ms / max(1, self.slots))

    def _is_straggling(self, agent: str) -> bool:
        others = [runs for name, runs in self.runs.items() if name != agent]
        runs = self.runs[agent]
        count = sum(other.count for other in others)
        if min(runs.count, count) < _MIN_RUNS:
            return False
        longest_ms = max(other.longest_ms for other in others)
        return runs.shortest_ms > longest_ms * _SLOW_FACTOR
