"""The event: one thing that one process saw happen."""

from __future__ import annotations

import typing as t

from skylarkcleat.model import cause as cause_lib
from skylarkcleat.timeline import ending as ending_lib
from skylarkcleat.timeline import kind as kind_lib

NO_TASK = -1


class Event(t.NamedTuple):
    """One line of the time line.

    Attributes:
        stamp: A stamp of the process's hybrid logical clock.
        kind: What happened.
        process: The name of the process that saw it.
        zone: The availability zone of that process.
        job: The job's identifier; empty if it is of no job.
        task: The task's position in its job, or `NO_TASK`.
        attempt: The attempt's number, from 1; 0 if it is of no attempt.
        epoch: The ownership epoch of the job, or the leader's term.
        peer: The other process that it concerns.
        profile: The profile's name.
        profile_version: The profile version in force.
        cause: Why, where it is a refusal or a failure.
        ending: How the job ended, of `FINISHED`.
        duration_ms: The time that ended with it, in milliseconds: the claim
            of `CLAIMED`, the queue of `STARTED`, the run of `ANSWERED`,
            `BROKEN` and `RECEIVED`, the whole of `FINISHED`.
        wait_ms: The time in the agent's queue, of `RECEIVED` and `REFUSED`,
            in milliseconds.
        at_ms: The time since the job was accepted, of an entry's events, in
            milliseconds of its monotonic clock.
        expected_ms: The ideal of `ACCEPTED` and `FINISHED`, the expected run
            time of `SENT`, `QUEUED` and `STARTED`, in milliseconds.
        deadline_ms: The time allowed, of `ACCEPTED` and `FINISHED`, in
            milliseconds.
        count: The tasks of `ACCEPTED`, the tasks ahead of `QUEUED`
            and `RECEIVED`, the
            events lost of `EVENTS_DROPPED`, the revision of
            `CONFIGURATION_IN_FORCE`; of `FINISHED`, one more than the
            position of the task that was answered last, 0 if none was.
        subject: The profile with most tasks ahead, of `QUEUED`, `STARTED`
            and, where the agent told it, `RECEIVED`;
            the upstream of `EJECTED` and `READMITTED`.
    """

    stamp: int
    kind: kind_lib.Kind
    process: str
    zone: str
    job: str = ""
    task: int = NO_TASK
    attempt: int = 0
    epoch: int = 0
    peer: str = ""
    profile: str = ""
    profile_version: int = 0
    cause: cause_lib.Cause | None = None
    ending: ending_lib.Ending | None = None
    duration_ms: float = 0.0
    wait_ms: float = 0.0
    at_ms: float = 0.0
    expected_ms: float = 0.0
    deadline_ms: float = 0.0
    count: int = 0
    subject: str = ""
