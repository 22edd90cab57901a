"""The closed list of what an event can tell."""

from __future__ import annotations

import enum


class Kind(enum.StrEnum):
    """What happened.

    The first group is recorded by entries of a job, the second by entries of
    a task's attempt, the third by agents of an attempt, and the fourth by any
    process of itself or of a peer.
    """

    ACCEPTED = "accepted"
    CLAIMED = "claimed"
    RESUBMITTED = "resubmitted"
    TAKEN_OVER = "taken-over"
    CANCELLED = "cancelled"
    FINISHED = "finished"

    SENT = "sent"
    RECEIVED = "received"
    RETRIED = "retried"

    QUEUED = "queued"
    STARTED = "started"
    ANSWERED = "answered"
    BROKEN = "broken"
    REFUSED = "refused"
    REVOKED = "revoked"
    FENCED = "fenced"

    LOST = "lost"
    JOINED = "joined"
    DRAINING = "draining"
    DRAINED = "drained"
    EJECTED = "ejected"
    READMITTED = "readmitted"
    CONFIGURATION_IN_FORCE = "configuration-in-force"
    CONFIGURATION_STALE = "configuration-stale"
    LEADER_CHANGED = "leader-changed"
    CLOCK_FAULT = "clock-fault"
    EVENTS_DROPPED = "events-dropped"


ROUTINE = frozenset(
    {Kind.SENT, Kind.RECEIVED, Kind.QUEUED, Kind.STARTED, Kind.ANSWERED}
)
"""Recorded for each attempt that goes well; the first to be dropped."""
