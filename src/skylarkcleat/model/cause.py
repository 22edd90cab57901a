"""The closed list of causes that an outcome is attributed to."""

from __future__ import annotations

import enum


class Cause(enum.StrEnum):
    """Why a job or a request ended as it did.

    `docs/causes.md` explains what a manager can do about each.
    """

    BAD_REQUEST = "bad-request"
    UNKNOWN_PROFILE = "unknown-profile"
    NO_UPSTREAM = "no-upstream"
    ID_CONFLICT = "id-conflict"
    ID_EXPIRED = "id-expired"
    CONFIGURATION_STALE = "configuration-stale"
    DRAINING = "draining"
    OVERLOADED = "overloaded"
    DEADLINE_TOO_SHORT = "deadline-too-short"
    DEADLINE_PASSED = "deadline-passed"
    CANCELLED = "cancelled"
    RUNNER_ERROR = "runner-error"
    RUNNER_UNREACHABLE = "runner-unreachable"
    RUNNER_SILENT = "runner-silent"
    RUNNER_GARBAGE = "runner-garbage"
    AGENT_LOST = "agent-lost"
    ENTRY_LOST = "entry-lost"
    CLAIM_UNAVAILABLE = "claim-unavailable"
    ANSWER_NOT_KEPT = "answer-not-kept"
    NO_ATTEMPT_LEFT = "no-attempt-left"

    ON_TIME = "on-time"
    STILL_RUNNING = "still-running"
    RESUBMITTED = "resubmitted"
    STARTED_TWICE = "started-twice"
    QUEUED_BEHIND_OTHER_WORK = "queued-behind-other-work"
    QUEUED_BEHIND_OWN_WORK = "queued-behind-own-work"
    WAITED_FOR_SLOT = "waited-for-slot"
    RAN_LONG = "ran-long"
    STRAGGLING_RUNNER = "straggling-runner"
    LONGER_THAN_DECLARED = "longer-than-declared"
    CLAIM_SLOW = "claim-slow"
    NETWORK_SLOW = "network-slow"
    ENTRY_BUSY = "entry-busy"
    NOT_KNOWN = "not-known"


PROVISIONAL_CAUSES = frozenset(
    {
        Cause.NOT_KNOWN,
        Cause.STILL_RUNNING,
        Cause.WAITED_FOR_SLOT,
        Cause.RAN_LONG,
    }
)
"""Causes that later reports may replace by a more specific one."""

CALLER_CAUSES = frozenset(
    {
        Cause.BAD_REQUEST,
        Cause.UNKNOWN_PROFILE,
        Cause.ID_CONFLICT,
        Cause.ID_EXPIRED,
        Cause.DEADLINE_TOO_SHORT,
        Cause.CANCELLED,
    }
)
"""Causes on the caller's side; given only if an entry recorded them."""
