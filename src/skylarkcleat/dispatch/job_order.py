"""The order of service: small jobs first, and a job's longest tasks first."""

from __future__ import annotations

import typing as t

from skylarkcleat.dispatch import agent_view
from skylarkcleat.dispatch import run_time
from skylarkcleat.dispatch import work as work_lib

SIZE_PENALTY = 5.0


def find_order(
    work: work_lib.Work,
    views: t.Sequence[agent_view.AgentView],
    run_times: run_time.RunTimeModel,
    now: float,
) -> float:
    """Returns a job's position within its profile, in seconds.

    Args:
        work: The job.
        views: The agents that may take it; at least one.
        run_times: The run times learned.
        now: The monotonic clock in seconds.
    """
    capacity = sum(view.member.slots * view.speed for view in views)
    name = work.profile.name
    sizes_ms = work.sizes_ms or (0,) * work.tasks
    work_ms = sum(run_times.estimate_ms(name, size) for size in sizes_ms)
    return now + SIZE_PENALTY * work_ms / 1000 / capacity


def rank_tasks(work: work_lib.Work) -> list[int]:
    """Returns each task's position by falling declared size; 0 if unknown."""
    ranks = [0] * work.tasks
    if not work.sizes_ms:
        return ranks
    longest = sorted(range(work.tasks), key=lambda i: -work.sizes_ms[i])
    for rank, task in enumerate(longest):
        ranks[task] = rank
    return ranks
