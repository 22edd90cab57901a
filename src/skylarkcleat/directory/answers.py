"""Answers kept so that a resent command gets the first one again."""

from __future__ import annotations

import collections
import typing as t

ANSWER_RETENTION_MS = 3_600_000
MAX_ANSWERS = 16_384


class KeptAnswer(t.NamedTuple):
    """The answer to a command with a request key.

    Attributes:
        operator: Who sent the command.
        key: Its request key.
        digest: Tells whether another command is the same.
        at_ms: When the command was carried out, in log time.
        result: The encoded result.
    """

    operator: str
    key: str
    digest: int
    at_ms: int
    result: bytes


class Answers:
    """Keeps answers by operator and key, bounded by age and number."""

    def __init__(
        self, most: int = MAX_ANSWERS, kept_for_ms: int = ANSWER_RETENTION_MS
    ):
        self._most = most
        self._kept_for_ms = kept_for_ms
        self._kept: collections.OrderedDict[tuple[str, str], KeptAnswer] = (
            collections.OrderedDict()
        )

    def find(self, operator: str, key: str) -> KeptAnswer | None:
        """Returns the answer given before, or None."""
        return self._kept.get((operator, key))

    def keep(self, answer: KeptAnswer) -> None:
        """Keeps an answer and drops those past their age or number."""
        self._kept[answer.operator, answer.key] = answer
        self._drop(answer.at_ms - self._kept_for_ms)

    def list_answers(self) -> tuple[KeptAnswer, ...]:
        """Returns the answers, oldest first."""
        return tuple(self._kept.values())

    def _drop(self, before_ms: int) -> None:
        while self._kept:
            oldest = next(iter(self._kept.values()))
            if oldest.at_ms >= before_ms and len(self._kept) <= self._most:
                return
            self._kept.popitem(last=False)
