"""The front that should replace an owner that is about to hand over."""

from __future__ import annotations

from skylarkcleat.discovery import followers as followers_lib
from skylarkcleat.discovery import rank as rank_lib
from skylarkcleat.discovery import views as views_lib

HANDOVER_AFTER_S = 3.0
"""A front with a better rank takes over once it has followed for this long."""


class Successors:
    """Compares the followers of the owner here with it.

    Args:
        followers: The fronts that reply to its heartbeats.
        views: The views of the other fronts.
    """

    def __init__(
        self, followers: followers_lib.Followers, views: views_lib.Views
    ) -> None:
        self._followers = followers
        self._views = views

    def is_outranked(self, rank: int, name: str) -> bool:
        """Returns whether a front suits better than one of a rank."""
        other = self._find_rank(name)
        return other is not None and other < rank

    def find(self, rank: int, now: float, is_stopping: bool) -> str:
        """Returns the front that should replace the owner.

        Args:
            rank: The rank of the owner.
            now: The time, in seconds.
            is_stopping: Whether the owner is about to stop, so that any
                follower qualifies.

        Returns:
            Its name; empty if the owner should stay.
        """
        candidates = [
            (self._find_rank(name), name)
            for name, follower in self._followers.list_responsive(now)
            if (is_stopping or now - follower.since >= HANDOVER_AFTER_S)
            and self._views.find(name) is not None
        ]
        best = min(candidates, default=None)
        if best is None or best[0] == rank_lib.UNSUITABLE_RANK:
            return ""
        return best[1] if is_stopping or best[0] < rank else ""

    def _find_rank(self, name: str) -> int | None:
        """Returns the rank that a front told last; None if it is unknown.

        Views are asked for in searches only, and may be old; but a front that
        is about to stop sends one at once.
        """
        received = self._views.find(name)
        if received is None:
            return self._followers.find_rank(name, float("-inf"))
        told = self._followers.find_rank(name, received.at)
        return received.view.sender.rank if told is None else told
