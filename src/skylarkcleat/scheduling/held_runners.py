"""Which runners get no tasks because what they started has failed.

For runners that fail all that they start: after a hold, one task is tried, and
others follow once it is done. At most a share of the runners is held, so that
tasks that fail anywhere don't shut out the whole fleet.
"""

from __future__ import annotations

import collections.abc

from skylarkcleat.scheduling import worker as worker_lib

FAILURE_HOLD_S = 1.0
"""How much longer a runner gets no tasks with each consecutive failure after
the first."""

MAX_FAILURE_HOLD_S = 8.0
"""The longest time for which a runner gets no tasks after failures."""

MAX_HELD_SHARE = 0.5
"""The part of an upstream's runners that may be held, one at least. With 0.25,
half of the runners that failed all drew 7,800 tasks in 3 s instead of 900."""

REVIEW_S = 0.02
"""How long the choice of the runners that are held stands."""


class HeldRunners:
    """Chooses the runners of one upstream that get no tasks."""

    def __init__(self) -> None:
        self._reviewed_at: float | None = None
        self._held: set[str] = set()
        self._is_capped = False

    def holds(
        self,
        worker: worker_lib.Worker,
        search: collections.abc.Callable[
            [], collections.abc.Iterable[worker_lib.Worker]
        ],
        now: float,
    ) -> bool:
        """Returns whether a runner gets no tasks.

        Args:
            worker: The runner's worker.
            search: Lists all workers of the upstream.
            now: The time, in seconds.
        """
        if not _is_suspect(worker, now):
            return False
        if self._reviewed_at is None or now - self._reviewed_at > REVIEW_S:
            self._reviewed_at = now
            self._choose(list(search()), now)
        return not self._is_capped or worker.side in self._held

    def _choose(self, workers: list[worker_lib.Worker], now: float) -> None:
        """Chooses those that are held, those with most failures first."""
        suspects = [worker for worker in workers if _is_suspect(worker, now)]
        suspects.sort(key=lambda each: (-each.speed.failures, each.order))
        most = max(1, int(MAX_HELD_SHARE * len(workers)))
        self._is_capped = len(suspects) > most
        self._held = {worker.side for worker in suspects[:most]}


def _is_suspect(worker: worker_lib.Worker, now: float) -> bool:
    """Returns whether a runner is held, or is tried with one task."""
    failures = worker.speed.failures
    if failures <= 1:
        return False
    hold_s = min(MAX_FAILURE_HOLD_S, FAILURE_HOLD_S * (failures - 1))
    held_until = worker.speed.failed_at + hold_s
    if now < held_until:
        return True
    runs = worker.runs.values()
    return any(run.started_at >= held_until for run in runs)
