"""The cohort: the few agents that a job may be sent to."""

from __future__ import annotations

import random
import typing as t

from skylarkcleat.protocol import claiming

MIN_AGENTS = 16
TASKS_PER_AGENT = 4
_START_STRIDE = 4


def choose_cohort(
    agents: t.Sequence[claiming.MemberRef], tasks: int, rng: random.Random
) -> tuple[claiming.MemberRef, ...]:
    """Returns a run of the agents, large enough for a job's tasks.

    Cohorts start at every fourth agent only, so that equal ones recur and
    keepers hold them once.

    Args:
        agents: The usable agents, in an order that mixes zones and racks and
            that rarely changes.
        tasks: The number of tasks of the job.
        rng: Chooses where the run starts.
    """
    size = max(MIN_AGENTS, -(-tasks // TASKS_PER_AGENT))
    if len(agents) <= size:
        return tuple(agents)
    start = rng.randrange(0, len(agents), _START_STRIDE)
    chosen = tuple(agents[start : start + size])
    return chosen + tuple(agents[: size - len(chosen)])
