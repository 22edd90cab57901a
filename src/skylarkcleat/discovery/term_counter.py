"""The terms of owners, of which no two fronts claim the same."""

from __future__ import annotations

import zlib

from skylarkcleat.wire import session as session_lib

TERM_STEP = 1_000_000
"""The distance between successive terms. A suffix below it identifies the front
that claimed the term, so that two partitioned fronts don't claim the same."""


class TermCounter:
    """Creates terms that are larger than all that a front knows.

    Args:
        local: The front.
    """

    def __init__(self, local: session_lib.Endpoint) -> None:
        identity = f"{local.name}/{local.incarnation}".encode()
        self._suffix = zlib.crc32(identity) % TERM_STEP
        self._highest = 0

    def record(self, term: int) -> None:
        """Records a term that another front has told of."""
        self._highest = max(self._highest, term)

    def create(self) -> int:
        """Returns a new term."""
        number = self._highest // TERM_STEP + 1
        self._highest = number * TERM_STEP + self._suffix
        return self._highest


def is_first(term: int) -> bool:
    """Returns whether a term was claimed without an earlier known one."""
    return term // TERM_STEP == 1
