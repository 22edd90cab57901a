"""An agent's replies to attempts that it does not run."""

from __future__ import annotations

from skylarkcleat.model import failure as failure_lib
from skylarkcleat.protocol import dispatching


def create_reply(
    attempt: dispatching.Attempt,
    failure: failure_lib.Failure,
    load: dispatching.Load,
) -> dispatching.Refusal | dispatching.AttemptFailure:
    """Returns the message that reports a ledger's failure to an entry.

    Args:
        attempt: The attempt that is not run.
        failure: The reason; only `NOT_RUN` proves that it never runs.
        load: The agent's load.
    """
    if failure.outcome is failure_lib.Outcome.NOT_RUN:
        return dispatching.Refusal(attempt, failure, load)
    return dispatching.AttemptFailure(attempt, failure, 0.0, load)
