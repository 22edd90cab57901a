"""What became of an offer of capacity to a job."""

from __future__ import annotations

import enum


class OfferResult(enum.Enum):
    """What became of an offer of capacity to a job."""

    PLACED = "placed"
    """All tasks that wait were started."""

    NO_ROOM = "no room"
    """Its tasks don't fit together."""

    HELD = "held"
    """It may not start now, or some of its tasks still wait."""
