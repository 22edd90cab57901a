"""What a probe of a runner shows, and what it changes."""

from __future__ import annotations

import typing as t

from skylarkcleat.protocol import leasing
from skylarkcleat.scheduling import local_run


class ProbeResult(t.NamedTuple):
    """A runner's answer to a probe for its runs.

    The answers to two probes may arrive in another order than the runner gave
    them in.

    Attributes:
        asked_at: When the probe was sent, in seconds.
        answered_at: When the answer arrived, in seconds.
        clock_ms: The runner's clock when it answered.
        running: The name and the run number of each task that runs.
        ends: The ends that the runner still lists.
    """

    asked_at: float
    answered_at: float
    clock_ms: int
    running: tuple[tuple[str, int], ...]
    ends: tuple[leasing.End, ...]


class RunChanges(t.NamedTuple):
    """What a probe changed.

    Attributes:
        ends: Ends that the owner has not acknowledged.
        missing: Runs that have not started and never will.
    """

    ends: tuple[leasing.End, ...]
    missing: tuple[local_run.LocalRun, ...]


class LostRuns(t.NamedTuple):
    """The runs of a runner that was given up.

    Attributes:
        started: Those that are known to have started.
        unanswered: Those whose start got no answer.
    """

    started: tuple[leasing.Run, ...]
    unanswered: tuple[leasing.Run, ...]
