"""Chooses the cohort of a job: the agents that its tasks may be sent to."""

from __future__ import annotations

import random
import typing as t

from skylarkcleat.protocol import claiming

# A cohort has one agent per `TASKS_PER_AGENT` tasks, but at least `MIN_AGENTS`.
MIN_AGENTS = 16
TASKS_PER_AGENT = 4
_START_STRIDE = 4


def choose_cohort(
    agents: t.Sequence[claiming.MemberRef], tasks: int, rng: random.Random
) -> tuple[claiming.MemberRef, ...]:
    """Returns consecutive agents, enough for a job's tasks.

    Cohorts start at every fourth agent only. Equal cohorts therefore recur,
    and a keeper stores each of them once.

    Args:
        agents: The available agents, in an order that mixes zones and racks
            and rarely changes.
        tasks: The number of tasks of the job.
        rng: Chooses the first agent.
    """
    size = max(MIN_AGENTS, -(-tasks // TASKS_PER_AGENT))
    if len(agents) <= size:
        return tuple(agents)
    start = rng.randrange(0, len(agents), _START_STRIDE)
    chosen = tuple(agents[start : start + size])
    return chosen + tuple(agents[: size - len(chosen)])
