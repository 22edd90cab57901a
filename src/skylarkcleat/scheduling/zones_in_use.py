"""Which availability zones an owner may send tasks to.

For evacuations that operators order through any front, also while the owner of
the jobs is cut off from that front and from the log: nobody can tell it, so
that what it knows counts for a limited time only.
"""

from __future__ import annotations

import typing as t

from skylarkcleat.configuration import evacuations as evacuations_lib
from skylarkcleat.scheduling import worker_phase

NEVER = float("-inf")
"""The time of the latest news from the log while there was none."""

PROPAGATION_S = 1.75
"""How long after an owner stops sending tasks to a zone the last may start: a
side process's lease of 0.75 s, the runner's answer to the start, the leader's
own lease of 0.3 s, the clocks' drift, and a tick."""


MIN_NEWS_AGE_S = 1.0
"""Younger news never counts as too old: views of the log's leader come each
0.2 s, and an owner would stop between them. Bounds under 2.75 s aren't kept by
an owner that is cut off from the log."""


class ZonesInUse(t.NamedTuple):
    """An owner's view of the zones.

    Attributes:
        revision: The revision of the evacuations.
        evacuated: The zones that get no tasks.
        is_certain: Whether no later evacuation can be due to be in force; if
            one can, no zone gets tasks.
    """

    revision: int = 0
    evacuated: tuple[evacuations_lib.ZoneState, ...] = ()
    is_certain: bool = True

    def find_obstacle(self, zone: str) -> worker_phase.Closed:
        """Returns why the runners of a zone may not be sent tasks."""
        if any(state.zone == zone for state in self.evacuated):
            return worker_phase.Closed.EVACUATED
        if not self.is_certain:
            return worker_phase.Closed.ZONE_UNKNOWN
        return worker_phase.Closed.NONE


ALL_IN_USE = ZonesInUse()
"""The view where nothing is evacuated."""


def find_max_news_age_s(evacuate_s: float) -> float:
    """Returns for how long news of the log count, in seconds.

    Args:
        evacuate_s: How long after its acknowledgement an evacuation has to be
            in force, in seconds.
    """
    return max(evacuate_s - PROPAGATION_S, MIN_NEWS_AGE_S)


def is_certain(
    revision: int, has_zones: bool, news_age_s: float, max_age_s: float
) -> bool:
    """Returns whether what is known of the evacuations may be relied on.

    Where nothing was ever evacuated, the loss of the log's majority stops
    nothing, once there has been any news since the start of the process.

    Args:
        revision: The revision that is known.
        has_zones: Whether the settings name zones that can be evacuated.
        news_age_s: How long ago the log was known to hold no later revision,
            in seconds; infinite if it never was.
        max_age_s: How old such news may be, in seconds.
    """
    if not has_zones:
        return True
    if not revision:
        return news_age_s < float("inf")
    return news_age_s <= max_age_s
