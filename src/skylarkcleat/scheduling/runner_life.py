"""One life of a runner, from its start to its end."""

from __future__ import annotations

import enum

from skylarkcleat.protocol import leasing


class Origin(enum.Enum):
    """Which life of a runner something comes from."""

    PRESENT = "present"
    NEW = "new"
    FORMER = "former"


class RunnerLives:
    """Tells the lives of the runner at one address apart.

    A life is identified by the time of its start. Another life has another
    clock, holds none of the runs and may be of another kind, so that nothing
    that is known of one holds for the next. The time of day may be set back
    between two lives, so a start time alone doesn't tell which is the later:
    what answers a call is no older than the life that was known when the call
    was sent.

    Attributes:
        born_ms: When the present life began, in Unix milliseconds; 0 if that
            isn't known.
        is_exposed: Whether orders that were meant for a former life may still
            reach the present one and be carried out there.
        fenced_at: From when on it refuses such orders, in seconds; None while
            that isn't certain.
    """

    def __init__(self) -> None:
        self.born_ms = 0
        self.is_exposed = False
        self.fenced_at: float | None = None
        self._awaits_other_id = False
        self._known_since = float("-inf")

    def judge_answer(self, born_ms: int, asked_at: float) -> Origin:
        """Returns which life an answer comes from.

        Args:
            born_ms: The start time that the answer gives; 0 if it gives none.
            asked_at: When the call was sent, in seconds.
        """
        if born_ms in (0, self.born_ms):
            return Origin.PRESENT
        if asked_at > self._known_since:
            return Origin.NEW
        return self.judge_heartbeat(born_ms)

    def judge_heartbeat(self, born_ms: int) -> Origin:
        """Returns which life a heartbeat comes from, which may arrive late."""
        if born_ms == self.born_ms:
            return Origin.PRESENT
        is_later = not self.born_ms or born_ms > self.born_ms
        return Origin.NEW if is_later else Origin.FORMER

    def begin(
        self,
        born_ms: int,
        now: float,
        keeps_id: bool = True,
        is_recent: bool = True,
    ) -> None:
        """Records that a life has begun.

        Args:
            born_ms: When it began, in Unix milliseconds; 0 if that isn't known
                since a runner of another id has answered.
            now: When it was first seen, in seconds.
            keeps_id: Whether it may have the id of the life before, which
                orders name.
            is_recent: Whether orders for the life before may be under way even
                if that is not known here.
        """
        may_follow = is_recent or bool(self.born_ms)
        self.is_exposed = may_follow and keeps_id and not self._awaits_other_id
        self._awaits_other_id = not born_ms
        self.born_ms = born_ms
        self.fenced_at = None
        self._known_since = now

    def record_fence(self, now: float) -> bool:
        """Records that the present life has seen the present fencing token.

        No order for another life had such a large token.

        Returns:
            Whether it is the first one that it has seen.
        """
        is_first = self.fenced_at is None
        if is_first:
            self.fenced_at = now
        return is_first


def identify(runner: leasing.Runner | None) -> tuple[str, int]:
    """Returns what tells one life of a runner from another."""
    return (runner.id, runner.born_ms) if runner else ("", 0)


def keep_draining(
    known: leasing.Runner | None, runner: leasing.Runner | None
) -> leasing.Runner | None:
    """Returns what is said of a runner, which drains until its life ends.

    A side process that has restarted may hear an old heartbeat first.

    Args:
        known: What was said of the runner there before.
        runner: What is said now.
    """
    if known is None or runner is None or not known.draining:
        return runner
    if identify(known) != identify(runner):
        return runner
    return runner._replace(draining=True)
