"""Records of a ledger: the fence of a job and the state of its tasks."""

from __future__ import annotations

import enum
import typing as t

from skylarkcleat.model import failure as failure_lib
from skylarkcleat.protocol import claiming
from skylarkcleat.protocol import dispatching
from skylarkcleat.protocol import fencing

LAST_NUMBER = 1 << 30


class TaskState(enum.Enum):
    """The state of a task at one agent.

    Attributes:
        QUEUED: The last attempt waits to be started.
        RUNNING: It has started.
        ANSWERED: It has an answer, which is kept.
        DROPPED: It has an answer, which was dropped to save memory.
        BROKEN: It ended without an answer.
        REFUSED: It never starts, nor does any earlier attempt.
    """

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
        state: The state of the last attempt.
        attempt: The attempt that was admitted or refused last. A record in
            state `REFUSED` is a tombstone: neither this attempt nor an
            earlier one can start.
        reply: The kept answer, attempt failure or refusal.
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
        """The progress to report to a new owner; None if it has not started."""
        return _PROGRESS.get(self.state)

    @property
    def failure(self) -> failure_lib.Failure | None:
        """Why the attempt failed; None if it has not."""
        if isinstance(self.reply, dispatching.AttemptFailure):
            return self.reply.failure
        return None

    def is_queued_as(self, attempt: dispatching.Attempt) -> bool:
        """Returns whether an attempt is the queued one."""
        return self.state is TaskState.QUEUED and self.attempt == attempt

    def precedes(self, attempt: dispatching.Attempt) -> bool:
        """Returns whether `attempt` is later than the recorded one."""
        own = (self.attempt.epoch, self.attempt.number)
        return own < (attempt.epoch, attempt.number)

    def may_be_followed_by(self, dispatch: dispatching.Dispatch) -> bool:
        """Returns whether a dispatched attempt may be queued after this one.

        An attempt that started can be followed only if the request is
        repeatable and the earlier attempt has ended without a kept answer.
        """
        if not self.precedes(dispatch.attempt):
            return False
        if self.state is TaskState.REFUSED:
            return True
        ended = self.state in (TaskState.BROKEN, TaskState.DROPPED)
        return ended and dispatch.repeatable

    def refuse(
        self, last: dispatching.Attempt, failure: failure_lib.Failure
    ) -> None:
        """Refuses every attempt up to and including `last`."""
        self.state = TaskState.REFUSED
        self.attempt = last
        self.reply = failure


class JobRecord:
    """One job at one agent.

    Attributes:
        fence: The epoch below which dispatches are refused.
        entry: The entry that gets the replies.
        tasks: Records by the position of the task in the job.
    """

    __slots__ = ("entry", "fence", "tasks")

    def __init__(self, entry: claiming.MemberRef | None):
        self.fence = 0
        self.entry = entry
        self.tasks: dict[int, TaskRecord] = {}

    @property
    def has_open_tasks(self) -> bool:
        """Whether any task is queued or running at the agent."""
        return any(
            record.state in (TaskState.QUEUED, TaskState.RUNNING)
            for record in self.tasks.values()
        )

    def started_tasks(self) -> t.Iterator[fencing.StartedTask]:
        """Yields the started tasks with their progress."""
        for record in self.tasks.values():
            if record.progress is not None:
                yield fencing.StartedTask(
                    record.attempt, record.progress, record.failure
                )

    def kept_answers(
        self, wanted: tuple[int, ...]
    ) -> t.Iterator[dispatching.Answer]:
        """Yields the kept answers of the wanted tasks, or of all if empty."""
        for task, record in self.tasks.items():
            if record.state is not TaskState.ANSWERED:
                continue
            if not wanted or task in wanted:
                yield record.reply


class Admitted(t.NamedTuple):
    """The attempt is to be queued."""

    attempt: dispatching.Attempt


class Duplicate(t.NamedTuple):
    """The task is already recorded; the attempt must not be queued again.

    Attributes:
        attempt: The attempt of the repeated dispatch.
        state: The state of the task.
        reply: The reply to send again; None while there is none.
    """

    attempt: dispatching.Attempt
    state: TaskState
    reply: dispatching.Answer | dispatching.AttemptFailure | None


class Fenced(t.NamedTuple):
    """The result of a fence.

    Attributes:
        report: The report to send to the new owner.
        answers: Kept answers to send to the new owner.
        revoked: Attempts to remove from the queue.
    """

    report: fencing.FenceReport
    answers: tuple[dispatching.Answer, ...]
    revoked: tuple[dispatching.Attempt, ...]
