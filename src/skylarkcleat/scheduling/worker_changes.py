"""What changed on the side processes since an owner last looked at them."""

from __future__ import annotations


class WorkerChanges:
    """Collects changes as they happen, so that nobody has to search for them.

    Attributes:
        sides: The side processes whose room, runner or speed may have changed.
    """

    def __init__(self) -> None:
        self.sides: set[str] = set()
        self._sides_by_task: dict[str, set[str]] = {}

    def record(self, side: str) -> None:
        """Records a change on a side process."""
        self.sides.add(side)

    def take(self) -> set[str]:
        """Returns and forgets the side processes that changed."""
        sides, self.sides = self.sides, set()
        return sides

    def record_run(self, task: str, side: str) -> None:
        """Records that a side process has a run of a task."""
        self._sides_by_task.setdefault(task, set()).add(side)

    def discard_run(self, task: str, side: str) -> None:
        """Records that a side process has no run of a task any more."""
        sides = self._sides_by_task.get(task)
        if sides is None:
            return
        sides.discard(side)
        if not sides:
            del self._sides_by_task[task]

    def list_sides(self, task: str) -> list[str]:
        """Returns the side processes with a run of a task, by name."""
        return sorted(self._sides_by_task.get(task, ()))
