"""Messages between a job's new owner and the previous owner's agents."""

from __future__ import annotations

import enum
import typing as t

from skylarkcleat.model import failure as failure_lib
from skylarkcleat.protocol import claiming
from skylarkcleat.protocol import dispatching


class Progress(enum.StrEnum):
    """The state of a started task at an agent."""

    RUNNING = "running"
    ANSWERED = "answered"
    DROPPED = "dropped"
    BROKEN = "broken"


class Fence(t.NamedTuple):
    """Orders an agent to refuse lower epochs of a job, and to report on it.

    Attributes:
        job: The job's identifier.
        epoch: The epoch of the new owner's claim.
        incarnation: The agent incarnation that it is addressed to.
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
        progress: Its state. `DROPPED` means that its answer is not kept.
        failure: Why it is `BROKEN`; None otherwise.
    """

    attempt: dispatching.Attempt
    progress: Progress
    failure: failure_lib.Failure | None = None


class FenceReport(t.NamedTuple):
    """Reports what a fenced agent started of a job; the rest never starts.

    Attributes:
        job: The job's identifier.
        epoch: The highest epoch that fenced the job; higher than the fence's
            if another owner took over in the meantime.
        agent: The reporting agent.
        started: Every task that started there.
        records_lost: Whether the agent no longer has a record of what it
            started.
    """

    job: str
    epoch: int
    agent: claiming.MemberRef
    started: tuple[StartedTask, ...]
    records_lost: bool = False
