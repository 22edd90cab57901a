"""What an owner knows of the previous one."""

from __future__ import annotations

import typing as t

from skylarkcleat.protocol import scheduling
from skylarkcleat.scheduling import lease


class Predecessor(t.NamedTuple):
    """What a new owner knows of the previous one.

    Attributes:
        term: Its term; 0 if it is not known.
        sides: Its side processes.
        settled_at: Until this time side processes missing from `sides` may
            run its tasks, in seconds; not in the future if `sides` is
            complete.
        fronts: The other known fronts, which may still follow it.
    """

    term: int = 0
    sides: tuple[str, ...] = ()
    settled_at: float = 0.0
    fronts: tuple[str, ...] = ()


def find_startable_at(
    predecessor: Predecessor,
    begun_at: float,
    message: scheduling.Submit,
    now: float,
) -> float:
    """Returns from when on no task of a job can run under an earlier owner.

    Tasks under the direct predecessor need no delay: they are reported or have
    expired before this owner starts any task. That does not hold for a front
    that followed the predecessor after this owner had begun: both were alive
    then.

    Args:
        predecessor: The owner before this one.
        begun_at: When this owner began, in seconds.
        message: The job, with what its front knows of earlier owners.
        now: The time, in seconds.
    """
    expires_at = now + message.earlier_expires_in_ms / 1000
    previous_expires_at = now + message.previous_expires_in_ms / 1000
    is_covered = (
        message.previous_term == predecessor.term
        and previous_expires_at <= begun_at + lease.RUN_EXPIRY_S
    )
    return expires_at if is_covered else max(expires_at, previous_expires_at)
