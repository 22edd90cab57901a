"""The work that an entry accepts: a job's tasks or a single request."""

from __future__ import annotations

import typing as t

from skylarkcleat.model import profile as profile_lib


class Work(t.NamedTuple):
    """A job as the dispatcher handles it.

    Attributes:
        job: The job's identifier.
        profile: The profile version in force at its admission.
        tasks: How many tasks it has.
        sizes_ms: The declared run time of each task on a runner of speed 1,
            in milliseconds, 0 where unknown; empty if none was declared.
        deadline_at: When its answer is due, in seconds of the monotonic
            clock.
        repeatable: Whether a task may start again after an attempt that had
            started failed.
        pending: The indices of the tasks to place; all of them if empty.
        agents: The names of the agents that tasks may be sent to while one of
            them is usable; any agent if empty.
    """

    job: str
    profile: profile_lib.Profile
    tasks: int
    sizes_ms: tuple[int, ...]
    deadline_at: float
    repeatable: bool = False
    pending: tuple[int, ...] = ()
    agents: frozenset[str] = frozenset()
