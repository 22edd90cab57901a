"""What idle runners of an upstream were found to hold a moment ago.

Each blocked job asks whether it is too wide to ever fit at once. Hardly any is,
and the answer changes only when runners join, leave or close.
"""

from __future__ import annotations

from skylarkcleat.protocol import scheduling

MAX_AGE_S = 0.02
"""How long an answer holds: runners close without a message, as when a lease is
late. An owner's ticks, after which all jobs are looked at, are as frequent."""

USUAL_COUNT = 32
"""A search goes on up to this many tasks, so that it answers for most jobs."""

_Kind = tuple[str, int, int]


class KnownCapacity:
    """Remembers for each kind of task the largest shape that would fit."""

    def __init__(self) -> None:
        self._found_at = 0.0
        self._largest: dict[_Kind, tuple[int, int]] = {}

    def covers(self, step: scheduling.Step, count: int, now: float) -> bool:
        """Returns whether so many tasks of a step are known to fit if idle."""
        if now - self._found_at > MAX_AGE_S:
            return False
        cpu, most = self._largest.get(_find_kind(step), (0, 0))
        return step.cpu <= cpu and count <= most

    def record(self, step: scheduling.Step, count: int, now: float) -> None:
        """Records that so many tasks of a step would fit."""
        if now - self._found_at > MAX_AGE_S:
            self._largest.clear()
            self._found_at = now
        kind = _find_kind(step)
        self._largest[kind] = max(
            self._largest.get(kind, (0, 0)), (step.cpu, count)
        )


def _find_kind(step: scheduling.Step) -> _Kind:
    return (step.requirement, step.memory_mb, step.gpu)
