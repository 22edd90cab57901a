"""A run on a runner, as its side process tracks it."""

from __future__ import annotations

import enum

from skylarkcleat.protocol import leasing


class RunState(enum.Enum):
    """Whether an ordered run is known to have started."""

    STARTING = "starting"
    STARTED = "started"
    UNKNOWN = "unknown"


class LocalRun:
    """A run on the runner.

    Attributes:
        order: The order; None if a previous side process received it, so that
            the size of the run is unknown.
        task: The task's name.
        run: The number of the run.
        state: Whether it is known to have started.
        conclusive_at: A probe sent after this time shows whether the run
            exists, in seconds; None while a call about it is in progress.
        stop_at: When to stop it, in seconds; None if it may go on.
        must_end_by: When it must have ended, in seconds; the hold on the
            whole runner isn't extended past this before its end is certain.
            None if it may go on.
    """

    def __init__(
        self, task: str, run: int, order: leasing.Start | None
    ) -> None:
        self.task = task
        self.run = run
        self.order = order
        self.state = RunState.STARTING
        self.conclusive_at: float | None = None
        self.stop_at: float | None = None
        self.must_end_by: float | None = None

    def describe(self) -> leasing.Run:
        """Returns the run as it is reported to the owner.

        A CPU of -1 means that the size is unknown.
        """
        if self.order is None:
            return leasing.Run(self.task, self.run, -1, 0, 0)
        order = self.order
        return leasing.Run(
            self.task, self.run, order.cpu, order.memory_mb, order.gpu
        )
