"""The records of a ledger: a job's fence and what became of its tasks."""

from __future__ import annotations

import enum
import typing as t

from skylarkcleat.model import failure as failure_lib
from skylarkcleat.protocol import claiming
from skylarkcleat.protocol import dispatching
from skylarkcleat.protocol import fencing

LAST_NUMBER = 1 << 30


class TaskState(enum.Enum):
    """What became of a task at one agent."""

    QUEUED = "queued"
    RUNNING = "running"
    ANSWERED = "answered"
    DROPPED = "dropped"
    BROKEN = "broken"
    REFUSED = "refused"


_PROGRESS = {
    TaskState.RUNNING: fencing.Progress.RUNNING,
    TaskState.ANSWERED: fencing.Progress.ANSWERED,
    TaskState.DROPPED: fencing.Progress.DROPPED,
    TaskState.BROKEN: fencing.Progress.BROKEN,
}


class TaskRecord:
    """One task at one agent.

    Attributes:
        state: What became of it.
        attempt: The attempt that was admitted or refused last. A record in
            state `REFUSED` is a tombstone: no attempt up to this one starts.
        reply: The kept answer, breakdown or refusal.
    """

    __slots__ = ("attempt", "reply", "state")

    def __init__(self, attempt: dispatching.Attempt):
        self.state = TaskState.QUEUED
        self.attempt = attempt
        self.reply: (
            dispatching.Answer
            | dispatching.AttemptFailure
            | failure_lib.Failure
            | None
        ) = None

    @property
    def progress(self) -> fencing.Progress | None:
        """How far it got; None if it has not started."""
        return _PROGRESS.get(self.state)

    @property
    def failure(self) -> failure_lib.Failure | None:
        """Why it broke down; None if it has not."""
        if isinstance(self.reply, dispatching.AttemptFailure):
            return self.reply.failure
        return None

    def is_queued_as(self, attempt: dispatching.Attempt) -> bool:
        """Returns whether an attempt is the one that is queued."""
        return self.state is TaskState.QUEUED and self.attempt == attempt

    def precedes(self, attempt: dispatching.Attempt) -> bool:
        """Returns whether `attempt` is a later one than the record's."""
        own = (self.attempt.epoch, self.attempt.number)
        return own < (attempt.epoch, attempt.number)

    def may_be_followed_by(self, dispatch: dispatching.Dispatch) -> bool:
        """Returns whether another attempt may be queued after the record's."""
        if not self.precedes(dispatch.attempt):
            return False
        if self.state is TaskState.REFUSED:
            return True
        ended = self.state in (TaskState.BROKEN, TaskState.DROPPED)
        return ended and dispatch.repeatable

    def refuse(
        self, last: dispatching.Attempt, failure: failure_lib.Failure
    ) -> None:
        """Makes the record a tombstone for every attempt up to `last`."""
        self.state = TaskState.REFUSED
        self.attempt = last
        self.reply = failure


class JobRecord:
    """One job at one agent.

    Attributes:
        fence: Epochs below it are refused.
        entry: The entry that gets the replies.
        tasks: Records by the task's position.
    """

    __slots__ = ("entry", "fence", "tasks")

    def __init__(self, entry: claiming.MemberRef | None):
        self.fence = 0
        self.entry = entry
        self.tasks: dict[int, TaskRecord] = {}

    @property
    def has_open_tasks(self) -> bool:
        """Whether a task of it is queued or runs here."""
        return any(
            record.state in (TaskState.QUEUED, TaskState.RUNNING)
            for record in self.tasks.values()
        )

    def started_tasks(self) -> t.Iterator[fencing.StartedTask]:
        """Yields the tasks that have started."""
        for record in self.tasks.values():
            if record.progress is not None:
                yield fencing.StartedTask(
                    record.attempt, record.progress, record.failure
                )

    def kept_answers(
        self, wanted: tuple[int, ...]
    ) -> t.Iterator[dispatching.Answer]:
        """Yields the kept answers of the wanted tasks; of all if empty."""
        for task, record in self.tasks.items():
            if record.state is not TaskState.ANSWERED:
                continue
            if not wanted or task in wanted:
                yield record.reply


class Admitted(t.NamedTuple):
    """The attempt may be queued."""

    attempt: dispatching.Attempt


class Duplicate(t.NamedTuple):
    """The task is known already; the attempt must not be queued again.

    Attributes:
        attempt: The attempt of the repeated dispatch.
        state: What became of the task.
        reply: What to send again; None while there is nothing to say.
    """

    attempt: dispatching.Attempt
    state: TaskState
    reply: dispatching.Answer | dispatching.AttemptFailure | None


class Fenced(t.NamedTuple):
    """What follows from a fence.

    Attributes:
        report: Goes to the new owner.
        answers: Kept answers, which go to the new owner too.
        revoked: Attempts to drop from the queue.
    """

    report: fencing.FenceReport
    answers: tuple[dispatching.Answer, ...]
    revoked: tuple[dispatching.Attempt, ...]
