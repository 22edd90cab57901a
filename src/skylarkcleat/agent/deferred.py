"""Dispatches deferred until the agent's directory copy catches up.

An entry can learn of a directory change before the agent does. An agent that
checked such a dispatch against its own older copy could refuse a profile that
already exists.
"""

from __future__ import annotations

import typing as t

from skylarkcleat.protocol import claiming
from skylarkcleat.protocol import dispatching

# After this time a dispatch is admitted with the revision that the agent has.
MAX_DEFER_S = 1.0
# A dispatch that arrives beyond this number makes the oldest one overdue.
MAX_DEFERRED = 10_000


class DeferredDispatch(t.NamedTuple):
    """A dispatch that waits for a directory revision.

    Attributes:
        entry: The sender.
        dispatch: The message.
        expires_at: When it is admitted regardless, in seconds of the
            monotonic clock.
    """

    entry: claiming.MemberRef
    dispatch: dispatching.Dispatch
    expires_at: float


class DeferredDispatches:
    """Defers dispatches until the agent has the revision of their entry."""

    def __init__(self) -> None:
        self._deferred: list[DeferredDispatch] = []

    def add(
        self,
        entry: claiming.MemberRef,
        dispatch: dispatching.Dispatch,
        now: float,
    ) -> None:
        """Defers a dispatch; beyond `MAX_DEFERRED` the oldest is overdue."""
        if len(self._deferred) >= MAX_DEFERRED:
            self._deferred[0] = self._deferred[0]._replace(expires_at=now)
        self._deferred.append(
            DeferredDispatch(entry, dispatch, now + MAX_DEFER_S)
        )

    def pop_known(self, revision: int) -> list[DeferredDispatch]:
        """Removes and returns the dispatches up to a directory revision."""
        return self._pop(lambda each: each.dispatch.revision <= revision)

    def pop_overdue(self, now: float) -> list[DeferredDispatch]:
        """Removes and returns the dispatches that have expired."""
        return self._pop(lambda each: each.expires_at <= now)

    def _pop(
        self, check: t.Callable[[DeferredDispatch], bool]
    ) -> list[DeferredDispatch]:
        popped = [each for each in self._deferred if check(each)]
        if popped:
            self._deferred = [
                each for each in self._deferred if not check(each)
            ]
        return popped
