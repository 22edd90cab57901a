"""Writes each event as one line."""

from __future__ import annotations

import collections.abc
import typing as t

from skylarkcleat.timeline import clock
from skylarkcleat.timeline import event as event_lib
from skylarkcleat.timeline import kind as kind_lib
from skylarkcleat.timeline import phrases


class Line(t.NamedTuple):
    """One line of a time line.

    Attributes:
        wall_ms: The time by the process's clock, in milliseconds since the
            epoch.
        process: The process that saw it.
        zone: The availability zone of that process.
        text: What happened, with the figures that show it.
    """

    wall_ms: int
    process: str
    zone: str
    text: str


def format_events(
    events: collections.abc.Iterable[event_lib.Event],
) -> tuple[Line, ...]:
    """Returns a line for each event, in the order given."""
    return tuple(
        Line(
            clock.read_ms(event.stamp),
            event.process,
            event.zone,
            format_event(event),
        )
        for event in events
    )


def format_event(event: event_lib.Event) -> str:
    """Returns what happened, with the figures that the event carries."""
    text = " ".join(part for part in (event.kind.value, _name(event)) if part)
    figures = ", ".join(_list_figures(event))
    return f"{text}: {figures}" if figures else text


def _name(event: event_lib.Event) -> str:
    parts = []
    if event.task != event_lib.NO_TASK:
        parts.append(f"task {event.task}")
    if event.attempt > 1:
        parts.append(f"attempt {event.attempt}")
    if event.peer:
        parts.append(f"{_PREPOSITIONS.get(event.kind, 'at')} {event.peer}")
    return ", ".join(parts)


_PREPOSITIONS = {
    kind_lib.Kind.SENT: "to",
    kind_lib.Kind.RETRIED: "away from",
    kind_lib.Kind.RECEIVED: "from",
    kind_lib.Kind.QUEUED: "from",
    kind_lib.Kind.STARTED: "for",
    kind_lib.Kind.ANSWERED: "to",
}

_COUNTS = {
    kind_lib.Kind.ACCEPTED: "{} tasks",
    kind_lib.Kind.QUEUED: "{} tasks ahead",
    kind_lib.Kind.EVENTS_DROPPED: "{} events not recorded",
    kind_lib.Kind.CONFIGURATION_IN_FORCE: "revision {}",
}

_DURATIONS = {
    kind_lib.Kind.CLAIMED: "claim took {}",
    kind_lib.Kind.STARTED: "waited {}",
    kind_lib.Kind.FINISHED: "after {}",
}


def _list_figures(
    event: event_lib.Event,
) -> collections.abc.Iterator[str]:
    if event.ending:
        yield event.ending.value
    if event.cause:
        yield phrases.PHRASES[event.cause]
    if event.profile:
        yield f"profile {event.profile} version {event.profile_version}"
    if event.kind in _COUNTS:
        yield _COUNTS[event.kind].format(event.count)
    if event.subject:
        yield _write_subject(event)
    yield from _list_durations(event)


def _write_subject(event: event_lib.Event) -> str:
    if event.kind in (kind_lib.Kind.QUEUED, kind_lib.Kind.STARTED):
        return f"mostly {event.subject}"
    return event.subject


def _list_durations(
    event: event_lib.Event,
) -> collections.abc.Iterator[str]:
    if event.duration_ms:
        template = _DURATIONS.get(event.kind, "ran {}")
        yield template.format(phrases.format_ms(event.duration_ms))
    if event.wait_ms:
        yield f"waited {phrases.format_ms(event.wait_ms)}"
    if event.expected_ms:
        yield f"expected {phrases.format_ms(event.expected_ms)}"
    if event.deadline_ms:
        yield f"allowed {phrases.format_ms(event.deadline_ms)}"
    if event.epoch:
        yield f"epoch {event.epoch}"
