"""What the runs of a soak and its callers' answers must not show."""

from __future__ import annotations

import collections
import itertools
import typing as t

from tests import fake_runner


class Violation(t.NamedTuple):
    """A promise that was broken."""

    rule: str
    detail: str


def list_overlaps(runs: list[fake_runner.Run]) -> t.Iterator[Violation]:
    """Yields the tasks of which two runs overlapped."""
    by_task = collections.defaultdict(list)
    for run in sorted(runs, key=lambda run: run.started_at):
        by_task[run.task].append(run)
    for task, each in by_task.items():
        for first, second in itertools.pairwise(each):
            if second.started_at < first.ended_at:
                yield Violation("TWICE", f"{task}: {first} and {second}")


def list_overfull(
    runs: list[fake_runner.Run], task_cpu: int
) -> t.Iterator[Violation]:
    """Yields the runners that ran more than they have room for."""
    changes = collections.defaultdict(list)
    for run in runs:
        changes[run.runner] += [(run.started_at, 1), (run.ended_at, -1)]
    for runner, each in changes.items():
        most = max(itertools.accumulate(change for _, change in sorted(each)))
        if most * task_cpu > fake_runner.CPU:
            yield Violation("LIMIT", f"{runner} ran {most} tasks at a time")


def list_false_refusals(
    runs: list[fake_runner.Run], verdicts: dict[str, list[int]]
) -> t.Iterator[Violation]:
    """Yields the jobs that ran though each attempt was refused as not run."""
    begun = {run.task.partition(".")[0] for run in runs}
    for job, statuses in verdicts.items():
        if job in begun and set(statuses) == {503}:
            yield Violation("REFUSED", f"{job} ran, though it was refused")
