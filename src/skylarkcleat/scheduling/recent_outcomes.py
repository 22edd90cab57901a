"""Recent outcomes of jobs and tasks, for those that are submitted again.

They include tasks of jobs that this owner has not received yet: side processes
report runs and ends before the fronts resubmit the jobs.
"""

from __future__ import annotations

import typing as t

from skylarkcleat.configuration import content
from skylarkcleat.protocol import scheduling
from skylarkcleat.scheduling import crashes as crashes_lib

RETENTION_S = 20.0
"""How long an outcome is kept at least; a caller that lost its answer resends
within seconds."""


class EndedJob(t.NamedTuple):
    """How a job ended, and where its callers submitted it.

    Attributes:
        verdict: How it ended.
        host: The host of its queue.
        prefix: How the paths of its queue begin.
    """

    verdict: scheduling.Verdict
    host: str
    prefix: str


class _Generation(t.NamedTuple):
    verdicts: dict[str, EndedJob]
    done: set[str]
    runs: dict[str, int]
    crashes: dict[str, crashes_lib.Crashes]


class RecentOutcomes:
    """Keeps each outcome for at least `RETENTION_S`, in two generations.

    Expiry drops a whole generation and needs no time stamp for each outcome.
    """

    def __init__(self, now: float) -> None:
        self._current = _create_generation()
        self._previous = _create_generation()
        self._rotated_at = now
        self._shared: dict[EndedJob, EndedJob] = {}

    def discard_old(self, now: float) -> None:
        """Drops the previous generation once the current one is full age."""
        if now - self._rotated_at >= RETENTION_S:
            self._previous = self._current
            self._current = _create_generation()
            self._shared.clear()
            self._rotated_at = now

    def record_verdict(
        self, job: str, verdict: scheduling.Verdict, queue: content.Queue
    ) -> None:
        """Records how a job of a queue ended."""
        ended = EndedJob(verdict, queue.host, queue.prefix)
        # Thousands of jobs share a few of them.
        self._current.verdicts[job] = self._shared.setdefault(ended, ended)

    def find_ended(self, job: str) -> EndedJob | None:
        """Returns how a job ended and where, or None if it is not known."""
        found = self._current.verdicts.get(job)
        return found or self._previous.verdicts.get(job)

    def find_verdict(self, job: str) -> scheduling.Verdict | None:
        """Returns how a job ended, or None if that is not known."""
        ended = self.find_ended(job)
        return ended.verdict if ended else None

    def record_done(self, task: str) -> None:
        """Records that a task is done."""
        self._current.done.add(task)

    def is_done(self, task: str) -> bool:
        """Returns whether a task is known to be done."""
        return task in self._current.done or task in self._previous.done

    def record_run(self, task: str, run: int) -> None:
        """Records that a run number of a task has been used."""
        self._current.runs[task] = max(run, self.find_highest_run(task))

    def find_highest_run(self, task: str) -> int:
        """Returns the highest used run number of a task; 0 for none."""
        young = self._current.runs.get(task, 0)
        return max(young, self._previous.runs.get(task, 0))

    def record_crash(
        self, task: str, run_s: float, is_certain: bool, is_alone: bool
    ) -> None:
        """Records that a runner was lost under a task.

        Args:
            task: The task.
            run_s: How long the run had been ordered by then, in seconds.
            is_certain: Whether it is known to have started.
            is_alone: Whether no other run there had been ordered a moment
                before.
        """
        known = self.find_crashes(task)
        self._current.crashes[task] = known.add(run_s, is_certain, is_alone)

    @property
    def has_crashes(self) -> bool:
        """Whether a runner was lost under any task recently."""
        return bool(self._current.crashes or self._previous.crashes)

    def find_crashes(self, task: str) -> crashes_lib.Crashes:
        """Returns the runners that were lost under a task."""
        found = self._current.crashes.get(task)
        found = found or self._previous.crashes.get(task)
        return found or crashes_lib.Crashes()


def _create_generation() -> _Generation:
    return _Generation({}, set(), {}, {})
