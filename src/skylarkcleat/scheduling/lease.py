"""How long processes may act without hearing from each other.

A job's right to run is a chain: its front answers the owner's beats, the owner
answers the side process's renewals, and the side process holds the runner's
tasks. If any link breaks, the job's tasks have ended `RUN_EXPIRY_S` later,
before the caller of a lost front hands the job in again.
"""

from __future__ import annotations

CLOCK_DRIFT = 0.03
"""How much slower another clock may run; runners' clocks allow 2 %."""

EXPIRY_SLACK_S = 0.1
"""Time for a runner to end what lapsed, which takes at most 50 ms."""

STOP_LEAD_S = 0.08
"""A run that must have ended by some time is stopped so long before it."""

ADOPTION_GRACE_S = 0.25
"""A new owner has so long to take over runs whose former lease has ended; they
are not held meanwhile."""

STOP_TIMEOUT_S = 0.5
"""If a run can't be stopped for so long, all on its runner lapses."""

HEARTBEAT_INTERVAL_S = 0.08
"""How often the owner asks the fronts whether they follow it."""

FRONT_LEASE_S = 0.3
"""How long the owner may run a front's jobs after the beat it answered."""

OWNER_TIMEOUT_S = 0.35
"""Without a beat for so long, a front or side process looks for another
owner. It is longer than `FRONT_LEASE_S`, so the former owner knows first."""

SIDE_LEASE_S = 0.75
"""How long a side process may act after it asked for its lease.

Finding another owner and a new registration fit in, so that work outlives an
owner."""

RENEW_INTERVAL_S = 0.15
"""How often a side process asks to keep its lease."""


def find_expiry(granted_at: float) -> float:
    """Returns when nothing started under a lease can still run.

    Args:
        granted_at: When the owner last prolonged it, on the owner's clock.
    """
    return granted_at + SIDE_LEASE_S * (1 + CLOCK_DRIFT) + EXPIRY_SLACK_S


RUN_EXPIRY_S = find_expiry(FRONT_LEASE_S)
"""After a front last followed an owner, no task of its jobs runs under that
owner any more."""

TAKEOVER_WAIT_S = RUN_EXPIRY_S - OWNER_TIMEOUT_S
"""How long an owner that took over unasked starts nothing: so long may tasks
of jobs without a front go on under the former owner."""
