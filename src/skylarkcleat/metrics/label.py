"""Bounds on label values, so that callers cannot grow the metrics."""

from __future__ import annotations

import re

OTHER = "other"
MAX_PROFILES = 256
_PLAIN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")


class LabelSet:
    """The values that one label may take, first come, first served."""

    def __init__(self, max_values: int = MAX_PROFILES) -> None:
        """Creates an empty set.

        Args:
            max_values: The most values besides `OTHER`.
        """
        self._max_values = max_values
        self._known: dict[str, str] = {}

    def admit(self, value: str) -> str:
        """Returns the value, or `OTHER` if it is one too many or not plain.

        Plain values need no escapes in any exposition format.
        """
        known = self._known.get(value)
        if known is not None:
            return known
        if len(self._known) >= self._max_values or not _PLAIN.fullmatch(value):
            return OTHER
        self._known[value] = value
        return value
