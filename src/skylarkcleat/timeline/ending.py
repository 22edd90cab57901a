"""How a job or a request ended."""

from __future__ import annotations

import enum


class Ending(enum.StrEnum):
    """What the caller was told.

    The values but the first are those of `skylarkcleat.model.failure.Outcome`.
    """

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    FAILED = "failed"
    UNKNOWN = "unknown"
