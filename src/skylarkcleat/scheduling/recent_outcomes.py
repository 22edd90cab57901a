"""Recent outcomes of jobs and tasks, for those that are submitted again.

They include tasks of jobs that this owner has not received yet: side processes
report runs and ends before the fronts resubmit the jobs.
"""

from __future__ import annotations

import typing as t

from skylarkcleat.protocol import scheduling

RETENTION_S = 20.0
"""How long an outcome is kept at least; a caller that lost its answer resends
within seconds."""


class _Generation(t.NamedTuple):
    verdicts: dict[str, scheduling.Verdict]
    done: set[str]
    runs: dict[str, int]


class RecentOutcomes:
    """Keeps each outcome for at least `RETENTION_S`, in two generations.

    Expiry drops a whole generation and needs no time stamp for each outcome.
    """

    def __init__(self, now: float) -> None:
        self._current = _Generation({}, set(), {})
        self._previous = _Generation({}, set(), {})
        self._rotated_at = now

    def discard_old(self, now: float) -> None:
        """Drops the previous generation once the current one is full age."""
        if now - self._rotated_at >= RETENTION_S:
            self._previous = self._current
            self._current = _Generation({}, set(), {})
            self._rotated_at = now

    def record_verdict(self, job: str, verdict: scheduling.Verdict) -> None:
        """Records how a job ended."""
        self._current.verdicts[job] = verdict

    def find_verdict(self, job: str) -> scheduling.Verdict | None:
        """Returns how a job ended, or None if that is not known."""
        found = self._current.verdicts.get(job)
        return found or self._previous.verdicts.get(job)

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
