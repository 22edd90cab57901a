"""What an entry's journal keeps of a job until it ends."""

from __future__ import annotations

import math
import typing as t

import eliot

from skylarkcleat.model import cause as cause_lib
from skylarkcleat.model import profile as profile_lib
from skylarkcleat.timeline import ending as ending_lib

_MS_PER_S = 1000
_MIN_RUNS = 4
_SLOW_FACTOR = 2.0


class Runs(t.NamedTuple):
    """What tasks of one job took at one agent, in milliseconds."""

    count: int
    shortest_ms: float
    longest_ms: float
    total_ms: float


_NO_RUNS = Runs(0, math.inf, 0.0, 0.0)


class OpenJob:
    """A job that has not ended at this entry.

    Attributes:
        accepted_at: On the monotonic clock, in seconds.
        action: The log's action; None if it is not logged.
        deadline_ms: What it was allowed, in milliseconds.
        last_task: The task that was answered last; -1 before any was.
        profile: The profile's name.
        profile_version: The profile's version.
        ready_at: When its tasks began to wait for agents; None before.
        runs: What its tasks took at each agent, by the agent's name.
        served_before: The run time of each profile at `ready_at`, in
            milliseconds; see `ProfileRunTimes.copy_totals`.
        slots: The slots of the agents that it may be sent to.
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
        """Returns for how long its tasks have waited for agents."""
        if self.ready_at is None:
            return 0.0
        return (now - self.ready_at) * _MS_PER_S

    def finish_action(
        self, ending: ending_lib.Ending, cause: cause_lib.Cause | None
    ) -> None:
        """Ends the log's action with the outcome."""
        if self.action is not None:
            self.action.add_success_fields(ending=ending.value, cause=cause)
            self.action.finish()

    def add_run(self, agent: str, run_ms: float) -> None:
        """Takes in a task's time on the runner beside an agent."""
        runs = self.runs.get(agent, _NO_RUNS)
        self.runs[agent] = Runs(
            runs.count + 1,
            min(runs.shortest_ms, run_ms),
            max(runs.longest_ms, run_ms),
            runs.total_ms + run_ms,
        )

    @property
    def total_ms(self) -> float:
        """The sum of its runs."""
        return sum(runs.total_ms for runs in self.runs.values())

    @property
    def ideal_ms(self) -> float:
        """The time that the same tasks take on slots without other work.

        A runner that took twice as long for each of several tasks as any
        other did for its longest is held to be slow, and its tasks to be like
        the others.
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
