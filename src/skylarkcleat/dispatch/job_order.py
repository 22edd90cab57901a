"""Service order within a profile: smaller jobs and longer tasks first.

A large job is ordered as if it had arrived later, so that small jobs overtake
it. Within a job the longest tasks start first.
"""

from __future__ import annotations

import typing as t

from skylarkcleat.dispatch import agent_view
from skylarkcleat.dispatch import run_time
from skylarkcleat.dispatch import work as work_lib

# By how many times its own run time on all agents a job is ordered later.
SIZE_PENALTY = 5.0


def find_order(
    work: work_lib.Work,
    views: t.Sequence[agent_view.AgentView],
    run_times: run_time.RunTimeModel,
    now: float,
) -> float:
    """Returns a job's position within its profile, in seconds.

    It is the arrival time plus a penalty in proportion to the job's run time.

    Args:
        work: The job.
        views: The agents that its tasks may be sent to; at least one.
        run_times: Predicts the run times.
        now: The monotonic clock in seconds.
    """
    capacity = sum(view.member.slots * view.speed for view in views)
    name = work.profile.name
    sizes_ms = work.sizes_ms or (0,) * work.tasks
    work_ms = sum(run_times.estimate_ms(name, size) for size in sizes_ms)
    return now + SIZE_PENALTY * work_ms / 1000 / capacity


def rank_tasks(work: work_lib.Work) -> list[int]:
    """Returns each task's rank by descending declared size; 0 if none."""
    ranks = [0] * work.tasks
    if not work.sizes_ms:
        return ranks
    longest = sorted(range(work.tasks), key=lambda i: -work.sizes_ms[i])
    for rank, task in enumerate(longest):
        ranks[task] = rank
    return ranks
