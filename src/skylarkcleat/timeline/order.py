"""Puts the events of several processes in an order that keeps causality."""

from __future__ import annotations

import collections
import collections.abc
import heapq
import typing as t

from skylarkcleat.timeline import event as event_lib
from skylarkcleat.timeline import kind as kind_lib

_ENDS = frozenset(
    {
        kind_lib.Kind.ANSWERED,
        kind_lib.Kind.BROKEN,
        kind_lib.Kind.REFUSED,
        kind_lib.Kind.REVOKED,
    }
)
_REPLIES = frozenset({kind_lib.Kind.RECEIVED, kind_lib.Kind.RETRIED})
_AT_AGENT = _ENDS | {kind_lib.Kind.QUEUED, kind_lib.Kind.STARTED}


class AttemptKey(t.NamedTuple):
    """Names one attempt at one task over all processes."""

    job: str
    task: int
    epoch: int
    number: int


def get_attempt_key(event: event_lib.Event) -> AttemptKey:
    """Returns the attempt that an event is of."""
    return AttemptKey(event.job, event.task, event.epoch, event.attempt)


def order_events(
    events: collections.abc.Iterable[event_lib.Event],
) -> list[event_lib.Event]:
    """Returns the events once each, every cause before its effects.

    The order is that of the stamps, except where a process whose clock was
    too wrong to be followed would put an effect first: a process's own
    events keep their order, what an agent did with an attempt comes after
    it was sent, and what it answered before that was received.

    Args:
        events: In any order, also repeated.
    """
    rows = sorted(set(events), key=_sort_key)
    if len({row.process for row in rows}) < 2:
        return rows
    links = list(_find_links(rows))
    if all(before < after for before, after in links):
        return rows
    return _reorder(rows, [*_find_sequences(rows), *links])


def _reorder(
    rows: list[event_lib.Event], edges: list[tuple[int, int]]
) -> list[event_lib.Event]:
    """Returns the rows with each edge's first before its second.

    Rows that contradict each other come last.
    """
    followers: list[list[int]] = [[] for _ in rows]
    blockers = [0] * len(rows)
    for before, after in edges:
        followers[before].append(after)
        blockers[after] += 1
    ready = [i for i, count in enumerate(blockers) if not count]
    ordered = []
    while ready:
        i = heapq.heappop(ready)
        ordered.append(rows[i])
        for after in followers[i]:
            blockers[after] -= 1
            if not blockers[after]:
                heapq.heappush(ready, after)
    return ordered + [rows[i] for i, count in enumerate(blockers) if count]


def _sort_key(event: event_lib.Event) -> tuple[int, str]:
    return event.stamp, event.process


def _find_sequences(
    rows: list[event_lib.Event],
) -> collections.abc.Iterator[tuple[int, int]]:
    latest: dict[str, int] = {}
    for i, row in enumerate(rows):
        if row.process in latest:
            yield latest[row.process], i
        latest[row.process] = i


def _find_links(
    rows: list[event_lib.Event],
) -> collections.abc.Iterator[tuple[int, int]]:
    sent: dict[AttemptKey, int] = {}
    at_agent: dict[AttemptKey, list[int]] = collections.defaultdict(list)
    replies: dict[AttemptKey, list[int]] = collections.defaultdict(list)
    for i, row in enumerate(rows):
        if row.attempt == 0:
            continue
        key = get_attempt_key(row)
        if row.kind is kind_lib.Kind.SENT:
            sent.setdefault(key, i)
        elif row.kind in _REPLIES:
            replies[key].append(i)
        elif row.kind in _AT_AGENT:
            at_agent[key].append(i)
    for key, indexes in at_agent.items():
        ends = [i for i in indexes if rows[i].kind in _ENDS]
        if key in sent:
            yield from _link(rows, [sent[key]], indexes)
        yield from _link(rows, ends, replies[key])


def _link(
    rows: list[event_lib.Event], before: list[int], after: list[int]
) -> collections.abc.Iterator[tuple[int, int]]:
    for i in before:
        for j in after:
            if rows[i].process != rows[j].process:
                yield i, j
