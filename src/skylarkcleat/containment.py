"""Contains the errors of single steps, so that everything else goes on.

For inputs that a step can't handle: an owner that ends over one hands it to its
successor, which ends as well. An error over one job, one run or one message
ends that one; a step that only advises is left out. What may have damaged the
state of a process is not contained: see `supervision.keep_running`.
"""

from __future__ import annotations

import collections
import collections.abc
import contextlib

from skylarkcleat import supervision

LOG_INTERVAL_S = 1.0
"""A step that fails again and again is logged this often."""


class Containment:
    """Logs the errors of steps, at most one line a step and interval."""

    def __init__(self) -> None:
        self._unlogged: collections.Counter[str] = collections.Counter()
        self._logged_at: dict[str, float] = {}

    def record(
        self, step: str, error: Exception, now: float, peer: str = ""
    ) -> None:
        """Records the error of a step, whose input suffers alone.

        Args:
            step: What the process was doing, one of a few constant texts.
            error: The error.
            now: The time, in seconds.
            peer: The process whose message it concerns, if any.
        """
        self._unlogged[step] += 1
        logged_at = self._logged_at.get(step)
        if logged_at is not None and now - logged_at < LOG_INTERVAL_S:
            return
        self._logged_at[step] = now
        errors = self._unlogged.pop(step)
        supervision.log_unexpected(step, error, peer, errors)

    @contextlib.contextmanager
    def contain(self, step: str, now: float) -> collections.abc.Iterator[None]:
        """Leaves a step out that fails; the process can do without it."""
        try:
            yield
        except Exception as error:
            self.record(step, error, now)
