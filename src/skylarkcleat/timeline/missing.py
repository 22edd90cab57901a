"""Evidence that is not at hand."""

from __future__ import annotations

import typing as t

from skylarkcleat.timeline import facts as facts_lib


class Missing(t.NamedTuple):
    """A process whose events of a job are not at hand.

    Attributes:
        process: The process's name.
        reason: Why, such as `does not answer`.
    """

    process: str
    reason: str


def find_missing(facts: facts_lib.JobFacts) -> list[Missing]:
    """Returns the processes that took part and of which no event is there."""
    if not facts.events:
        return []
    seen = {event.process for event in facts.events}
    parts = {facts.entry: "the entry that answers for the job"}
    for attempt in facts.attempts:
        if attempt.sent:
            parts.setdefault(attempt.sent.peer, "an agent that was sent tasks")
    return [
        Missing(process, f"{part}; no event of it is at hand")
        for process, part in sorted(parts.items())
        if process and process not in seen
    ]
