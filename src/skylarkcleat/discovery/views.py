"""The views that a front has received from the other fronts."""

from __future__ import annotations

import typing as t

from skylarkcleat.protocol import locating

VIEW_TTL_S = 0.25
"""How long another front's view counts in the decision to claim."""


class ReceivedView(t.NamedTuple):
    """A front's view, and when it was received.

    Attributes:
        view: The view.
        at: When it was received, in seconds.
    """

    view: locating.View
    at: float


class Views:
    """The last view of each other front."""

    def __init__(self) -> None:
        self._by_name: dict[str, ReceivedView] = {}

    def record(self, view: locating.View, now: float) -> None:
        """Records a view that has just been received."""
        self._by_name[view.sender.name] = ReceivedView(view, now)

    def find(self, name: str) -> ReceivedView | None:
        """Returns the last view of a front; None if it sent none."""
        return self._by_name.get(name)

    def list_all(self) -> list[locating.View]:
        """Returns the last view of each front, however old."""
        return [received.view for received in self._by_name.values()]

    def list_recent(self, now: float) -> list[locating.View]:
        """Returns the views that count in the decision to claim."""
        return [
            received.view
            for received in self._by_name.values()
            if now - received.at < VIEW_TTL_S
        ]
