"""Each cause in plain words."""

from __future__ import annotations

from skylarkcleat.model import cause as cause_lib

_CAUSE = cause_lib.Cause

PHRASES = {
    _CAUSE.BAD_REQUEST: "the submission was malformed",
    _CAUSE.UNKNOWN_PROFILE: "no profile of that name is in force",
    _CAUSE.NO_UPSTREAM: "no upstream that the profile may use was up",
    _CAUSE.ID_CONFLICT: "its id had been used for another body",
    _CAUSE.ID_EXPIRED: "its id is older than what is remembered",
    _CAUSE.CONFIGURATION_STALE: (
        "the entry had not heard from control for too long"
    ),
    _CAUSE.DRAINING: "the process was draining",
    _CAUSE.OVERLOADED: "the fleet had more work than it could take",
    _CAUSE.DEADLINE_TOO_SHORT: "it could not have been done by its deadline",
    _CAUSE.DEADLINE_PASSED: "its deadline passed",
    _CAUSE.CANCELLED: "the caller cancelled it",
    _CAUSE.RUNNER_ERROR: "the runner answered with an error",
    _CAUSE.RUNNER_UNREACHABLE: "the runner could not be connected to",
    _CAUSE.RUNNER_SILENT: "the runner took the task and fell silent",
    _CAUSE.RUNNER_GARBAGE: "the runner answered something unreadable",
    _CAUSE.AGENT_LOST: "the agent beside the runner was lost",
    _CAUSE.ENTRY_LOST: "the entry that answered for it was lost",
    _CAUSE.CLAIM_UNAVAILABLE: "it could not be claimed",
    _CAUSE.ANSWER_NOT_KEPT: "its answer was no longer kept",
    _CAUSE.NO_ATTEMPT_LEFT: "every attempt that the profile allows was used",
    _CAUSE.ON_TIME: "nothing went wrong",
    _CAUSE.STILL_RUNNING: "it has not ended yet",
    _CAUSE.RESUBMITTED: "it was submitted again and did not run again",
    _CAUSE.STARTED_TWICE: "a task was started twice",
    _CAUSE.QUEUED_BEHIND_OTHER_WORK: "tasks waited behind other work",
    _CAUSE.QUEUED_BEHIND_OWN_WORK: "tasks waited behind the same profile's",
    _CAUSE.WAITED_FOR_SLOT: (
        "tasks waited for a slot; whose work was ahead is not known"
    ),
    _CAUSE.RAN_LONG: (
        "the run took long; whether the runner was slow or the work large "
        "is not known"
    ),
    _CAUSE.STRAGGLING_RUNNER: "a runner was slower than the others",
    _CAUSE.LONGER_THAN_DECLARED: "the tasks took longer than declared",
    _CAUSE.CLAIM_SLOW: "the claim took long",
    _CAUSE.NETWORK_SLOW: "messages between entry and agent took long",
    _CAUSE.ENTRY_BUSY: "the entry was busy",
    _CAUSE.NOT_KNOWN: "not known",
}
"""Every cause has one; each fits behind "because"."""


def format_ms(ms: float) -> str:
    """Returns a duration as people write it, such as `40 ms` or `2.1 s`."""
    if ms < 1_000:
        return f"{ms:.0f} ms"
    return f"{ms / 1_000:.1f} s"
