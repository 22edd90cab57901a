"""The failure: a value that explains why work has no answer."""

from __future__ import annotations

import enum
import typing as t

from skylarkcleat.model import cause as cause_lib


class Outcome(enum.StrEnum):
    """What is known about the execution of failed work."""

    NOT_RUN = "not-run"
    FAILED = "failed"
    UNKNOWN = "unknown"


class Failure(t.NamedTuple):
    """Why work has no answer.

    Attributes:
        outcome: `NOT_RUN` only if nothing started and nothing can start
            later.
        cause: One of the closed list of causes.
        step: The step that failed, such as `claim` or `dispatch`.
        peer: The process or address at which it failed.
        detail: One sentence for a human reader.
        retry_after_ms: When a retry may succeed, in milliseconds; 0 if
            unknown.
    """

    outcome: Outcome
    cause: cause_lib.Cause
    step: str
    peer: str
    detail: str
    retry_after_ms: int = 0
