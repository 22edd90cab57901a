"""Counts the runners that crashed under a task, to give up a deadly one.

Tells a task that crashes each runner that starts it from those that ran beside
it: the former had been started only a moment before.
"""

from __future__ import annotations

import typing as t

FRESH_S = 0.08
"""A run counts as crashing its runner if it was ordered at most this long
before the runner stopped to answer. Most other runs there began earlier."""

MAX_CRASHES = 2
"""A task is given up once it seems to have crashed this many runners."""

MAX_POSSIBLE_CRASHES = 3
"""The same if some of its starts got no answer, so that it is not certain that
it ran on each of them."""

MAX_LOSSES = 4
"""A task is given up once this many runners crashed while it ran there, however
long it had run: it may crash its runners late."""


class Crashes(t.NamedTuple):
    """The runners that were lost while a task ran there.

    Attributes:
        losses: On how many it ran for certain.
        fresh: On how many of them it had been started only a moment before.
        possible: How many more were lost a moment after it was ordered there;
            the start got no answer.
        alone: On how many of `fresh` no other task had been started a moment
            before.
    """

    losses: int = 0
    fresh: int = 0
    possible: int = 0
    alone: int = 0

    @property
    def is_suspect(self) -> bool:
        """Whether the task may have crashed a runner."""
        return self.fresh + self.possible > 0

    @property
    def is_proven(self) -> bool:
        """Whether no other task can be to blame, as far as can be seen."""
        return self.fresh >= MAX_CRASHES and self.alone > 0

    @property
    def is_deadly(self) -> bool:
        """Whether the task is to be given up."""
        return (
            self.fresh >= MAX_CRASHES
            or self.fresh + self.possible >= MAX_POSSIBLE_CRASHES
            or self.losses >= MAX_LOSSES
        )

    def add(
        self, run_s: float, is_certain: bool, is_alone: bool = False
    ) -> Crashes:
        """Returns the count with one more.

        Args:
            run_s: How long the run had been ordered when its runner stopped to
                answer, in seconds.
            is_certain: Whether it is known to have started.
            is_alone: Whether no other run there had been ordered a moment
                before.
        """
        is_fresh = run_s < FRESH_S
        if is_certain:
            return self._replace(
                losses=self.losses + 1,
                fresh=self.fresh + is_fresh,
                alone=self.alone + (is_fresh and is_alone),
            )
        return self._replace(possible=self.possible + is_fresh)
