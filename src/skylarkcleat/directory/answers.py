"""Results kept so that a resent command returns the first result again."""

from __future__ import annotations

import collections
import typing as t

# A command resent after this time, or after this many later commands with a
# key, is executed again.
ANSWER_RETENTION_MS = 3_600_000
MAX_ANSWERS = 16_384


class KeptAnswer(t.NamedTuple):
    """The result of a command with an idempotency key.

    Attributes:
        operator: Who sent the command.
        key: Its idempotency key.
        digest: Identifies the content of the command, to detect a key that
            is reused for another one.
        at_ms: When the command was executed: the latest time of any command
            so far, in milliseconds since the epoch.
        result: The encoded result.
    """

    operator: str
    key: str
    digest: int
    at_ms: int
    result: bytes


class Answers:
    """Keeps answers by operator and key, bounded by age and count."""

    def __init__(
        self, limit: int = MAX_ANSWERS, kept_for_ms: int = ANSWER_RETENTION_MS
    ):
        self._limit = limit
        self._kept_for_ms = kept_for_ms
        self._kept: collections.OrderedDict[tuple[str, str], KeptAnswer] = (
            collections.OrderedDict()
        )

    def find(self, operator: str, key: str) -> KeptAnswer | None:
        """Returns the earlier answer, or None."""
        return self._kept.get((operator, key))

    def keep(self, answer: KeptAnswer) -> None:
        """Adds an answer and drops those beyond the age or count limit."""
        self._kept[answer.operator, answer.key] = answer
        self._drop(answer.at_ms - self._kept_for_ms)

    def list_answers(self) -> tuple[KeptAnswer, ...]:
        """Returns the answers, oldest first."""
        return tuple(self._kept.values())

    def _drop(self, before_ms: int) -> None:
        while self._kept:
            oldest = next(iter(self._kept.values()))
            if oldest.at_ms >= before_ms and len(self._kept) <= self._limit:
                return
            self._kept.popitem(last=False)
