"""Caches on a front which zones are evacuated, and how recent that is.

Kept and passed on as the configuration is: the log decides, every front has a
copy, and one with an older copy fetches the newer.
"""

from __future__ import annotations

import typing as t

import eliot

from skylarkcleat.configuration import evacuations as evacuations_lib
from skylarkcleat.configuration import store as store_lib
from skylarkcleat.consensus import driver as driver_lib
from skylarkcleat.front import latest_version
from skylarkcleat.platform import settings as settings_lib
from skylarkcleat.protocol import locating
from skylarkcleat.scheduling import zones_in_use


class EvacuationCache:
    """A front's copy of the evacuations.

    Args:
        store: What the log holds; None on a front without a disk.
        zones: The zones that the settings name.
        evacuate_s: How long after its acknowledgement an evacuation has to be
            in force, in seconds.
        is_leading: Whether this front leads the log and no other can.

    Attributes:
        zones: The zones that the settings name.
    """

    def __init__(
        self,
        store: store_lib.Store | None = None,
        zones: t.Iterable[str] = (),
        evacuate_s: float = 0.0,
        is_leading: t.Callable[[], bool] = lambda: False,
    ) -> None:
        self.zones = tuple(sorted(zones))
        self._store = store
        self._max_news_age_s = zones_in_use.find_max_news_age_s(evacuate_s)
        self._is_leading = is_leading
        self._current = evacuations_lib.Evacuations()
        self._in_use = zones_in_use.ALL_IN_USE
        self._latest = latest_version.LatestVersion()
        self._news_at = zones_in_use.NEVER

    @property
    def current(self) -> evacuations_lib.Evacuations:
        """The latest evacuations that this front knows."""
        if self._store is not None:
            self.update(self._store.evacuations)
        return self._current

    @property
    def revision(self) -> int:
        """Their revision; 0 if nothing was ever evacuated."""
        return self.current.revision

    def update(self, evacuations: evacuations_lib.Evacuations) -> None:
        """Replaces the copy if the given one is newer."""
        if evacuations.revision <= self._current.revision:
            return
        self._current = evacuations
        evacuated = evacuations.evacuated
        self._in_use = zones_in_use.ZonesInUse(evacuations.revision, evacuated)
        eliot.log_message(
            "front:evacuations",
            revision=evacuations.revision,
            since_ms={state.zone: state.since_ms for state in evacuated},
        )

    def find_zones(self, now: float) -> zones_in_use.ZonesInUse:
        """Returns the zones that an owner here may send tasks to."""
        revision = self.revision
        if not self.zones:
            return self._in_use
        is_certain = zones_in_use.is_certain(
            revision, True, self._find_news_age_s(now), self._max_news_age_s
        )
        if is_certain:
            return self._in_use
        return self._in_use._replace(is_certain=False)

    def describe(self, now: float, asked_at: float) -> locating.EvacuationNews:
        """Returns what is known here, for another front that asked."""
        age_s = self._find_news_age_s(now)
        age_ms = -1 if age_s == float("inf") else round(age_s * 1000) + 1
        return locating.EvacuationNews(self.revision, age_ms, asked_at)

    def handle_news(
        self, news: locating.EvacuationNews, now: float
    ) -> locating.FetchEvacuations | None:
        """Handles what another front knows; returns the request for more.

        Its age counts from when this front asked: the answer may have been
        held up.
        """
        held = self.revision
        is_answer = 0.0 < news.asked_at <= now
        if is_answer and news.age_ms >= 0 and news.revision <= held:
            as_of = news.asked_at - news.age_ms / 1000
            self._news_at = max(self._news_at, as_of)
        if self._latest.record(news.revision, held):
            return locating.FetchEvacuations(held)
        return None

    def handle_owner_revision(
        self, revision: int
    ) -> locating.FetchEvacuations | locating.GiveEvacuations | None:
        """Returns what to send to an owner that knows a revision."""
        held = self.revision
        if revision < held:
            return self._give()
        if self._latest.record(revision, held):
            return locating.FetchEvacuations(held)
        return None

    def handle_fetch(
        self, fetch: locating.FetchEvacuations
    ) -> locating.GiveEvacuations | None:
        """Returns the reply to a fetch; None without a newer revision."""
        return self._give() if fetch.revision < self.revision else None

    def handle_give(self, given: locating.GiveEvacuations) -> None:
        """Takes over what another front sent, if it is newer."""
        self.update(evacuations_lib.decode(given.content))

    def _give(self) -> locating.GiveEvacuations:
        return locating.GiveEvacuations(evacuations_lib.encode(self.current))

    def _find_news_age_s(self, now: float) -> float:
        """Returns how long ago the log held no later revision, in seconds."""
        if self._is_leading():
            self._news_at = now
        return now - self._news_at


def create_evacuation_cache(
    settings: settings_lib.Settings,
    store: store_lib.Store,
    log: driver_lib.LogDriver | None,
) -> EvacuationCache:
    """Creates the copy of a front, with a disk or without.

    Args:
        settings: The settings of the process.
        store: What the log holds, if it has one.
        log: Its replica of the log; None without a disk.
    """
    return EvacuationCache(
        store if log is not None else None,
        settings.zones,
        settings.bounds.evacuate_ms / 1000,
        lambda: log is not None and log.is_leading,
    )
