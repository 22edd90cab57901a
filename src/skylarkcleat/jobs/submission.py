"""A caller's job or single request as an entry received it."""

from __future__ import annotations

import typing as t

from skylarkcleat.model import failure as failure_lib
from skylarkcleat.model import profile as profile_lib
from skylarkcleat.protocol import claiming


class Submission(t.NamedTuple):
    """A job that a caller waits for.

    Attributes:
        job: The canonical job identifier.
        digest: The digest of the body; a different digest under the same
            identifier is a conflict.
        caller: A name for the caller, unique among those waiting at the entry.
        profile: The profile version in force.
        payloads: The body of each task.
        cohort: The agents that the job's tasks may be sent to.
        deadline_at: When the caller stops waiting, in seconds of the monotonic
            clock.
        repeatable: Whether the submission is a single request that may start
            again after a failure.
        size_ms: The expected run time of a task, in milliseconds; 0 if
            unknown.
        traceparent: The W3C trace context of the caller.
        refusal: Why the entry does not run the job; None if it does. The
            caller gets it as `NOT_RUN` once no task of an earlier submission
            of the job has started or can start.
        is_new: Whether the entry created the identifier for this submission,
            so that no earlier submission exists.
        sizes_ms: The declared run time of each task in milliseconds, used to
            choose agents; empty if none was declared.
    """

    job: str
    digest: str
    caller: str
    profile: profile_lib.Profile
    payloads: tuple[bytes, ...]
    cohort: tuple[claiming.MemberRef, ...]
    deadline_at: float
    repeatable: bool = False
    size_ms: int = 0
    traceparent: str = ""
    refusal: failure_lib.Failure | None = None
    is_new: bool = False
    sizes_ms: tuple[int, ...] = ()
