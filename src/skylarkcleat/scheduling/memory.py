"""What the owner remembers of jobs that have ended or are not known yet."""

from __future__ import annotations

import typing as t

from skylarkcleat.protocol import scheduling

REMEMBER_S = 20.0
"""A caller that lost its answer resends within seconds."""


class _Generation(t.NamedTuple):
    verdicts: dict[str, scheduling.Verdict]
    done: set[str]
    runs: dict[str, int]


class Memory:
    """Remembers each fact for at least `REMEMBER_S`, in two generations."""

    def __init__(self, now: float) -> None:
        self._young = _Generation({}, set(), {})
        self._old = _Generation({}, set(), {})
        self._turned_at = now

    def forget(self, now: float) -> None:
        """Forgets what is old."""
        if now - self._turned_at >= REMEMBER_S:
            self._old = self._young
            self._young = _Generation({}, set(), {})
            self._turned_at = now

    def note_verdict(self, job: str, verdict: scheduling.Verdict) -> None:
        """Remembers how a job ended."""
        self._young.verdicts[job] = verdict

    def find_verdict(self, job: str) -> scheduling.Verdict | None:
        """Returns how a job ended, or None if that is not known."""
        found = self._young.verdicts.get(job)
        return found or self._old.verdicts.get(job)

    def note_done(self, task: str) -> None:
        """Remembers that a task is done."""
        self._young.done.add(task)

    def is_done(self, task: str) -> bool:
        """Returns whether a task is known to be done."""
        return task in self._young.done or task in self._old.done

    def note_run(self, task: str, run: int) -> None:
        """Remembers that a task's run has been used."""
        self._young.runs[task] = max(run, self.find_run(task))

    def find_run(self, task: str) -> int:
        """Returns the highest run of a task that is known; 0 if none."""
        young = self._young.runs.get(task, 0)
        return max(young, self._old.runs.get(task, 0))
