"""Messages between a job's new owner and the agents of the owner before."""

from __future__ import annotations

import enum
import typing as t

from skylarkcleat.model import failure as failure_lib
from skylarkcleat.protocol import claiming
from skylarkcleat.protocol import dispatching


class Progress(enum.StrEnum):
    """How far a started task got at an agent."""

    RUNNING = "running"
    ANSWERED = "answered"
    DROPPED = "dropped"
    BROKEN = "broken"


class Fence(t.NamedTuple):
    """Tells an agent to refuse a job's lower epochs and to report.

    Attributes:
        job: The job's identifier.
        epoch: The epoch of the new owner's claim.
        incarnation: The agent incarnation that it is meant for.
        wanted: Tasks whose answers are to be sent; all if empty.
    """

    job: str
    epoch: int
    incarnation: int
    wanted: tuple[int, ...] = ()


class StartedTask(t.NamedTuple):
    """A task that started at an agent.

    Attributes:
        attempt: The attempt that started.
        progress: How far it got. `DROPPED` is an answer that is not kept.
        failure: Why it is `BROKEN`; None otherwise.
    """

    attempt: dispatching.Attempt
    progress: Progress
    failure: failure_lib.Failure | None = None


class FenceReport(t.NamedTuple):
    """Says what a fenced agent had started of a job; the rest never will.

    Attributes:
        job: The job's identifier.
        epoch: The highest epoch that fenced the job; more than the fence's
            if another owner took over since.
        agent: The reporting agent.
        started: Every task that started there.
        records_lost: Whether the agent no longer knows what it started.
    """

    job: str
    epoch: int
    agent: claiming.MemberRef
    started: tuple[StartedTask, ...]
    records_lost: bool = False
