"""Dispatches that come from an entry whose directory is newer."""

from __future__ import annotations

import typing as t

from skylarkcleat.protocol import claiming
from skylarkcleat.protocol import dispatching

MAX_DEFER_S = 1.0
MAX_DEFERRED = 10_000


class DeferredDispatch(t.NamedTuple):
    """A dispatch that waits for the directory.

    Attributes:
        entry: Who sent it.
        dispatch: The message.
        expires_at: When it is admitted regardless, in seconds of the
            monotonic clock.
    """

    entry: claiming.MemberRef
    dispatch: dispatching.Dispatch
    expires_at: float


class DeferredDispatches:
    """Holds dispatches until the agent knows as much as their entry did."""

    def __init__(self) -> None:
        self._deferred: list[DeferredDispatch] = []

    def add(
        self,
        entry: claiming.MemberRef,
        dispatch: dispatching.Dispatch,
        now: float,
    ) -> None:
        """Holds a dispatch; beyond `MAX_DEFERRED` the oldest are overdue."""
        if len(self._deferred) >= MAX_DEFERRED:
            self._deferred[0] = self._deferred[0]._replace(expires_at=now)
        self._deferred.append(
            DeferredDispatch(entry, dispatch, now + MAX_DEFER_S)
        )

    def pop_known(self, revision: int) -> list[DeferredDispatch]:
        """Returns those whose revision is known by now."""
        return self._pop(lambda each: each.dispatch.revision <= revision)

    def pop_overdue(self, now: float) -> list[DeferredDispatch]:
        """Returns those that have waited for too long."""
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
