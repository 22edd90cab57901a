"""Reports of a side process to the owner: its runner and the runs there."""

from __future__ import annotations

import typing as t

from skylarkcleat.protocol import leasing
from skylarkcleat.wire import codec


class Report(t.NamedTuple):
    """Everything that a runner runs, once it refuses all earlier epochs.

    Attributes:
        epoch: The lease that it is sent under.
        running: The runs in progress.
        ends: The ends that the owner has not acknowledged.
    """

    epoch: int
    running: tuple[leasing.Run, ...]
    ends: tuple[leasing.End, ...]


class NotStarted(t.NamedTuple):
    """Reports that an ordered run has not started and never will.

    Attributes:
        epoch: The lease.
        task: The task's name.
        run: The number of the run.
        reason: The reason, for a log line.
    """

    epoch: int
    task: str
    run: int
    reason: str


class Ended(t.NamedTuple):
    """Reports runs that ended."""

    epoch: int
    ends: tuple[leasing.End, ...]


@codec.sent_as("RunnerSilent")
class RunnerUnresponsive(t.NamedTuple):
    """Reports that a runner has become unresponsive, or answers again.

    Attributes:
        epoch: The lease.
        is_unresponsive: Whether it does not answer; its runs may continue.
    """

    epoch: int
    is_unresponsive: bool


UNANSWERED = "unanswered"
"""The reason of `NotStarted` for a run whose start got no answer and whose
runner was lost."""

UNSENT = "unsent"
"""The reason for a run whose order the owner could not send."""


class RunnerLost(t.NamedTuple):
    """Reports an unresponsive runner all of whose runs have expired.

    Attributes:
        epoch: The lease.
        runs: The runs that are known to have started there. A start that got
            no answer is not among them, and is answered by itself.
    """

    epoch: int
    runs: tuple[leasing.Run, ...] = ()


SideReport = Report | Ended | NotStarted | RunnerUnresponsive | RunnerLost
"""What a side process tells its owner of its runner and of the runs there."""
