"""How long a runner is slow after its start.

For zones that return to service: all their runners come back cold at once, and
a cold one should get fewer tasks than a warm one of its speed.
"""

from __future__ import annotations

import math

from skylarkcleat.protocol import leasing

COLD_FACTOR = 1.5
"""The expected duration of a task on a cold runner relative to a warm one; the
platform tolerates 1.5 times the work there (`cold-overage`). A runner reports
only for how long it is cold, not how slow."""


class ColdStart:
    """Tracks until when one runner is cold."""

    def __init__(self) -> None:
        self._until = -math.inf

    def record(self, runner: leasing.Runner | None, now: float) -> None:
        """Records a runner's report, which has just arrived."""
        cold_ms = runner.cold_ms if runner else 0
        self._until = now + cold_ms / 1000 if cold_ms else -math.inf

    def find_factor(self, now: float) -> float:
        """Returns the factor on the duration of tasks."""
        return COLD_FACTOR if now < self._until else 1.0

    def find_end(self, now: float) -> float:
        """Returns when the factor changes next, in seconds."""
        return self._until if now < self._until else math.inf
