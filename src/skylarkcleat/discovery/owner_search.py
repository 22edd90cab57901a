"""A front's search for an owner, and whether it may claim the jobs after it."""

from __future__ import annotations

from skylarkcleat.discovery import rank as rank_lib
from skylarkcleat.discovery import views as views_lib
from skylarkcleat.scheduling import lease

SEARCH_AFTER_S = 0.2
"""Without a heartbeat for this long, a front searches for an owner: it asks all
others for their views."""

MIN_SEARCH_S = 0.15
"""How long a front searches at least before it claims the ownership, so that
others have time to reply."""

ISOLATED_CLAIM_AFTER_S = 0.55
"""How long after the last heartbeat a weak front claims the jobs if no other
front replies, though it knows a strong one. It hears nobody while a
configuration fills its link, for 0.4 s on 12.5 Mbit/s, and would displace an
owner that all others follow. With 0.75 s the leases of the side processes had
ended if it really was alone, and its list of them often counted no more."""

STALL_S = 0.15
"""After a pause of this length between two ticks a front restarts its search,
to process the messages that arrived meanwhile first."""

LATE_SEARCH_S = lease.SIDE_LIST_LEASE_S - SEARCH_AFTER_S
"""After a search of this length nobody's list of the side processes of the lost
owner counts as complete any more."""


class OwnerSearch:
    """Tracks a search and decides who of those that search may claim.

    Args:
        views: The views of the other fronts.
        now: The time, in seconds; a search begins then.
    """

    def __init__(self, views: views_lib.Views, now: float) -> None:
        self._views = views
        self._since: float | None = now
        self._ticked_at = now

    def tick(self, is_searching: bool, now: float) -> None:
        """Begins, continues, restarts or ends the search."""
        has_stalled = now - self._ticked_at >= STALL_S
        self._ticked_at = now
        if not is_searching:
            self._since = None
        elif has_stalled or self._since is None:
            self._since = now

    def has_lasted(self, duration_s: float, now: float) -> bool:
        """Returns whether a search is under way for this long, in seconds."""
        return self._since is not None and now - self._since >= duration_s

    def is_late(self, now: float) -> bool:
        """Returns whether nobody's list counts as complete any more."""
        return self.has_lasted(LATE_SEARCH_S, now)

    def may_claim(self, mine: rank_lib.Candidate, now: float) -> bool:
        """Returns whether no other front has an owner or should claim first.

        Args:
            mine: This front as a candidate.
            now: The time, in seconds.
        """
        recent = self._views.list_recent(now)
        timeout_ms = lease.OWNER_TIMEOUT_S * 1000
        if any(0 <= v.owner_last_seen_ms < timeout_ms for v in recent):
            return False
        return mine.may_claim(recent, self.is_late(now))

    def may_be_isolated(
        self, lost_owner: str, silent_s: float, now: float
    ) -> bool:
        """Returns whether its own link may be why a weak front hears nobody.

        Args:
            lost_owner: The front that it followed last.
            silent_s: How long ago it received that front's last heartbeat.
            now: The time, in seconds.
        """
        if not SEARCH_AFTER_S <= silent_s < ISOLATED_CLAIM_AFTER_S:
            return False
        return not self._views.list_recent(now) and any(
            view.sender.name != lost_owner
            and rank_lib.is_strong(view.sender.rank)
            for view in self._views.list_all()
        )
