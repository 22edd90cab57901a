"""Placements: attempts at tasks that were assigned to an agent."""

from __future__ import annotations

import typing as t


class Placement(t.NamedTuple):
    """An attempt that an entry sends to an agent.

    Attributes:
        job: The job's identifier.
        task: The task's index in its job.
        number: The attempt's number, from 1.
        agent: The agent's name.
        incarnation: The agent's incarnation.
        size_ms: The declared run time on a runner of speed 1, in
            milliseconds; 0 if unknown.
        precedence_ms: How far ahead of a task that arrives now the agent
            orders it within its profile, in milliseconds.
    """

    job: str
    task: int
    number: int
    agent: str
    incarnation: int
    size_ms: int
    precedence_ms: int = 0


class Cancellation(t.NamedTuple):
    """The tasks of a cancelled job that one agent may still hold."""

    agent: str
    tasks: tuple[int, ...]
