"""Retries on other agents, after a backoff with jitter, within a budget.

The budget bounds a profile's retries to a fraction of its tasks, also while
everything fails.
"""

from __future__ import annotations

import heapq
import random
import typing as t

from skylarkcleat.dispatch import job_table
from skylarkcleat.model import cause as cause_lib
from skylarkcleat.model import failure as failure_lib

# Each admitted task adds this much to its profile's budget, up to the maximum;
# a retry takes 1.
TOKENS_PER_TASK = 0.1
INITIAL_TOKENS = 10.0
MAX_TOKENS = 100.0

# The backoff before the second attempt; it is four times as long before each
# further attempt, up to the maximum.
BASE_BACKOFF_S = 0.002
MAX_BACKOFF_S = 1.0
BUDGET_EXEMPT_CAUSES = frozenset(
    {cause_lib.Cause.DRAINING, cause_lib.Cause.CONFIGURATION_STALE}
)
"""Causes whose retries take nothing from the budget.

An agent that accepts no work at all refuses whole jobs at once, which is no
sign that the profile's tasks fail.
"""


class RetryDecision(t.NamedTuple):
    """A retry that was granted.

    Attributes:
        at: The earliest time, in seconds of the monotonic clock.
        number: The number of the next attempt.
        avoid: Agents that it is not placed on while others are usable.
    """

    at: float
    number: int
    avoid: frozenset[str]


class RetryBudget:
    """Tokens that bound a profile's retries to a fraction of its tasks."""

    def __init__(self):
        self._tokens = INITIAL_TOKENS

    def earn(self, tasks: int) -> None:
        """Adds the tokens for newly admitted tasks."""
        earned = self._tokens + tasks * TOKENS_PER_TASK
        self._tokens = min(MAX_TOKENS, earned)

    def spend(self) -> bool:
        """Takes one token; returns False if there is none."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class Retries:
    """Decides on retries and keeps tasks until their backoff is over."""

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._budgets: dict[str, RetryBudget] = {}
        self._waiting: list[tuple[float, job_table.TaskKey]] = []

    def earn(self, profile: str, tasks: int) -> None:
        """Adds the tokens for newly admitted tasks to a profile's budget."""
        self._find_budget(profile).earn(tasks)

    def decide(
        self,
        job: job_table.JobState,
        task: int,
        agent: str,
        failure: failure_lib.Failure,
        now: float,
    ) -> RetryDecision | failure_lib.Failure:
        """Returns when a task is placed again, else why it is not.

        Args:
            job: The task's job.
            task: The task's index in the job.
            agent: The agent where the attempt failed.
            failure: The failure of the attempt.
            now: The monotonic clock in seconds.
        """
        state = job.tasks[task]
        state.avoid |= {agent}
        reason = self._find_denial_reason(job, state, failure, now)
        if reason:
            return failure._replace(
                cause=cause_lib.Cause.NO_ATTEMPT_LEFT,
                detail=f"{reason}; attempt {state.number}: {failure.detail}",
            )
        at = now + find_backoff_s(state.number, self._rng)
        key = job_table.TaskKey(job.work.job, task)
        heapq.heappush(self._waiting, (at, key))
        return RetryDecision(at, state.number + 1, state.avoid)

    def pop_due(self, now: float) -> list[job_table.TaskKey]:
        """Returns the tasks whose backoff is over; each is returned once."""
        due = []
        while self._waiting and self._waiting[0][0] <= now:
            due.append(heapq.heappop(self._waiting)[1])
        return due

    def next_wakeup(self) -> float | None:
        """Returns when the next backoff is over, or None."""
        return self._waiting[0][0] if self._waiting else None

    def _find_denial_reason(
        self,
        job: job_table.JobState,
        state: job_table.TaskState,
        failure: failure_lib.Failure,
        now: float,
    ) -> str:
        """Returns why a retry is denied; empty if it is granted."""
        profile = job.work.profile
        if state.number >= profile.max_attempts:
            return f"profile {profile.name!r} allows no further attempt"
        if now >= job.work.deadline_at:
            return "the deadline has passed"
        if failure.cause in BUDGET_EXEMPT_CAUSES:
            return ""
        if not self._find_budget(profile.name).spend():
            return f"profile {profile.name!r} has used up its retry budget"
        return ""

    def _find_budget(self, profile: str) -> RetryBudget:
        budget = self._budgets.get(profile)
        if budget is None:
            budget = self._budgets[profile] = RetryBudget()
        return budget


def find_backoff_s(number: int, rng: random.Random) -> float:
    """Returns the pause before the next attempt, in seconds.

    Args:
        number: The number of the attempt that failed, from 1.
        rng: The source of the jitter.
    """
    backoff_s = min(MAX_BACKOFF_S, BASE_BACKOFF_S * 4 ** (number - 1))
    return backoff_s * rng.uniform(0.5, 1.0)
