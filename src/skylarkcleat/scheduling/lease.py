"""How long a runner may go on without hearing from the owner."""

from __future__ import annotations

LEASE_S = 1.2
"""How long a side process may act after it asked for its lease.

An election and a new registration fit in, so that work outlives an owner.
"""

RENEW_S = 0.2
"""How often a side process asks to keep its lease."""

CLOCK_DRIFT = 0.03
"""How much slower another clock may run; runners' clocks allow 2 %."""

EXPIRY_SLACK_S = 0.15
"""Time for a runner to end what lapsed, which takes at most 50 ms."""


def find_expiry(granted_at: float) -> float:
    """Returns when nothing started under a lease can still run.

    Args:
        granted_at: When the owner last prolonged it, on the owner's clock.
    """
    return granted_at + LEASE_S * (1 + CLOCK_DRIFT) + EXPIRY_SLACK_S
