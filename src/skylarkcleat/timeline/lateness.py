"""When an answer counts as late."""

from __future__ import annotations

LATE_FACTOR = 2.0
LATE_SLACK_MS = 200.0


def get_late_ms(
    elapsed_ms: float, ideal_ms: float, deadline_ms: float
) -> float:
    """Returns by how much an answer was late, 0 if it was on time.

    An answer is late past its deadline, by the time beyond it; or beyond
    both `LATE_FACTOR` times its ideal and `LATE_SLACK_MS` over it, by the
    time beyond the ideal.

    Args:
        elapsed_ms: From the submission to the answer, in milliseconds.
        ideal_ms: The same on an idle fleet, in milliseconds; 0 if unknown.
        deadline_ms: What was allowed, in milliseconds; 0 if unlimited.
    """
    if deadline_ms and elapsed_ms > deadline_ms:
        return elapsed_ms - deadline_ms
    if is_over_ideal(elapsed_ms, ideal_ms):
        return elapsed_ms - ideal_ms
    return 0.0


def is_over_ideal(elapsed_ms: float, ideal_ms: float) -> bool:
    """Tells whether an answer took too long compared with its ideal."""
    if not ideal_ms:
        return False
    bound = max(ideal_ms * LATE_FACTOR, ideal_ms + LATE_SLACK_MS)
    return elapsed_ms > bound
