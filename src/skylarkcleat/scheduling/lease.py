"""Lease durations and timeouts between fronts, owner and side processes.

A job may run while three leases are renewed: its front replies to the owner's
heartbeats, the owner replies to the side process's renewals, and the side
process renews its hold on the runner, without which the runner ends its tasks.
If any of them fails, the job's tasks have ended `RUN_EXPIRY_S` later, before
the caller of a lost front resubmits the job.
"""

from __future__ import annotations

CLOCK_DRIFT = 0.03
"""By which fraction another clock may be slower; runners' clocks by 2 %."""

EXPIRY_SLACK_S = 0.1
"""Time for a runner to end expired tasks, which takes at most 50 ms."""

STOP_LEAD_S = 0.08
"""A run with a limit is stopped this long before it, so that it has ended by
then."""

ADOPTION_GRACE_S = 0.25
"""How long a new owner may take to adopt runs whose previous lease has ended.

The hold on the runner isn't extended past that lease for them meanwhile."""

STOP_TIMEOUT_S = 0.5
"""If a run can't be stopped within this time, the hold on its runner is no
longer extended, and every task there expires."""

HEARTBEAT_INTERVAL_S = 0.08
"""The interval at which the owner sends heartbeats to the fronts."""

FRONT_LEASE_S = 0.3
"""How long the owner may run a front's jobs after sending the heartbeat that
the front last replied to."""

OWNER_TIMEOUT_S = 0.35
"""Without a heartbeat for this long, a front or side process accepts another
owner.

Longer than `FRONT_LEASE_S`, so that the previous owner detects the loss of the
front first and starts no more of its jobs."""

SIDE_LIST_LEASE_S = OWNER_TIMEOUT_S + 0.45
"""How long a front's list of an owner's side processes counts as complete after
the owner has confirmed it.

A front that takes over within this time can place tasks at once. In a large
fleet one claims the jobs up to 0.65 s after the last heartbeat."""

MAX_SIDE_LIST_LEASE_S = 2.0
"""The longest that a list counts as complete after the front's reply that the
owner has confirmed. An overloaded owner confirms replies late."""

SIDE_LEASE_S = 0.75
"""How long a side process may act after it requested or renewed its lease.

Long enough to find another owner and register there, so that running tasks
survive the loss of an owner."""

RENEW_INTERVAL_S = 0.15
"""The interval at which a side process renews its lease."""


def find_expiry(granted_at: float) -> float:
    """Returns from when on no task started under a lease can still run.

    Args:
        granted_at: When the owner last granted or renewed the lease, in
            seconds on the owner's clock.
    """
    return granted_at + SIDE_LEASE_S * (1 + CLOCK_DRIFT) + EXPIRY_SLACK_S


def find_hold_expiry(extended_at: float, hold_s: float) -> float:
    """Returns until when an order may hold a runner's tasks, whatever it says.

    Args:
        extended_at: When the runner carried the order out at the latest, in
            seconds.
        hold_s: The longest time that a runner holds its tasks for, in seconds.
    """
    return extended_at + hold_s * (1 + CLOCK_DRIFT) + EXPIRY_SLACK_S


def find_start_delay_s(hold_s: float) -> float:
    """Returns how long after an order a lease covers whatever it holds.

    A lease that is granted later than this expires after the tasks that the
    order may hold, whatever deadline it has.

    Args:
        hold_s: The longest time that a runner holds its tasks for, in seconds.
    """
    return max(0.0, find_hold_expiry(0.0, hold_s) - find_expiry(0.0))


RUN_EXPIRY_S = find_expiry(FRONT_LEASE_S)
"""How long after a front last followed an owner tasks of its jobs may still
run under that owner, in seconds."""

TAKEOVER_WAIT_S = RUN_EXPIRY_S - OWNER_TIMEOUT_S
"""How long an owner that took over without a handover starts no task.

Tasks of jobs that have lost their front may run that long under the previous
owner, which the new one can't see."""
