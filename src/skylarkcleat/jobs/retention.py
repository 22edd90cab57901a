"""Limits the age of job identifiers, and with it how long records are kept.

A job identifier contains the time of its creation. The clocks of two processes
may differ by up to `MAX_SKEW_MS`. An identifier is accepted until
`ACCEPT_AGE_MS` after its time. Records are kept longer by the skew, so that no
process accepts a job whose records another one has dropped. The time of an
identifier may be ahead of the checking clock by the skew, too.
"""

from __future__ import annotations

from skylarkcleat.model import cause as cause_lib
from skylarkcleat.model import failure as failure_lib

ACCEPT_AGE_MS = 15 * 60 * 1000
MAX_SKEW_MS = 2_000
FORGET_AGE_MS = ACCEPT_AGE_MS + MAX_SKEW_MS


def read_time_ms(job: str) -> int:
    """Returns the time in a job identifier, in ms since the Unix epoch."""
    return int(job[:8] + job[9:13], 16)


def check_age(
    job: str,
    now_ms: int,
    step: str,
    peer: str,
    max_ahead_ms: int = MAX_SKEW_MS,
) -> failure_lib.Failure | None:
    """Returns why a job's identifier is not accepted, or None if it is.

    Args:
        job: The canonical job identifier.
        now_ms: The wall clock, in milliseconds since the Unix epoch.
        step: The step to name in the failure.
        peer: The process to name in the failure.
        max_ahead_ms: How far the identifier's time may be ahead of the clock.
    """
    age_ms = now_ms - read_time_ms(job)
    if age_ms > ACCEPT_AGE_MS:
        return failure_lib.Failure(
            failure_lib.Outcome.UNKNOWN,
            cause_lib.Cause.ID_EXPIRED,
            step,
            peer,
            f"job {job} is {age_ms // 1000} s old; records of jobs are kept "
            f"for {ACCEPT_AGE_MS // 1000} s",
        )
    if age_ms < -max_ahead_ms:
        return failure_lib.Failure(
            failure_lib.Outcome.UNKNOWN,
            cause_lib.Cause.BAD_REQUEST,
            step,
            peer,
            f"the time in job {job} is {-age_ms // 1000} s ahead of the "
            f"clock; at most {max_ahead_ms // 1000} s are accepted",
        )
    return None
