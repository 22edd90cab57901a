"""Election of the front that owns the jobs.

A front claims the ownership when neither it nor any front that it receives
views from has received an owner's heartbeat for a while, and none of these
fronts should claim first: one that followed the last owner, or one that suits
better. If two owners receive each other's heartbeats, the one with more side
processes stays.

No disk takes part, so that jobs are served while every front with a disk is
down, frozen or partitioned. That is safe, since jobs need not survive their
owner and a side process follows one owner at a time. The module does no I/O
and reads no clock.
"""

from __future__ import annotations

from skylarkcleat.discovery import followers as followers_lib
from skylarkcleat.discovery import heartbeat_age
from skylarkcleat.discovery import owner_search
from skylarkcleat.discovery import rank as rank_lib
from skylarkcleat.discovery import side_list
from skylarkcleat.discovery import successors as successors_lib
from skylarkcleat.discovery import term_counter
from skylarkcleat.discovery import views as views_lib
from skylarkcleat.protocol import locating
from skylarkcleat.protocol import owning
from skylarkcleat.scheduling import lease
from skylarkcleat.wire import session as session_lib

MAX_CLAIM_DELAY_S = 2.0
"""How much longer than others a late owner that handed over its jobs waits at
most before it claims them again."""

KEPT_TERMS = 8
"""How many terms of owners that handed over their jobs are kept."""


class Election:
    """One front's part in the election of an owner.

    Args:
        local: This front.
        rank: Its suitability as the owner; smaller is better.
        earliest_claim_at: Before this time it doesn't claim the ownership, in
            seconds.
        now: The time, in seconds.

    Attributes:
        rank: Its suitability; `rank.UNSUITABLE_RANK` once it is about to stop.
        followed: The owner that this front follows; may be the front itself.
        last_seen_at: When it last received that owner's heartbeat, in seconds.
        heartbeat_at: `sent_at` of that heartbeat; 0 without one.
        inherited: The terms of the owners whose jobs were handed over to the
            followed one, directly or through others.
        side_list: The side processes of the followed owner.
    """

    def __init__(
        self,
        local: session_lib.Endpoint,
        rank: int,
        earliest_claim_at: float,
        now: float,
    ) -> None:
        self.rank = rank
        self.followed = locating.OwnerRef()
        self.last_seen_at = float("-inf")
        self.heartbeat_at = 0.0
        self._heartbeat_age = heartbeat_age.HeartbeatAge()
        self._waited_s = 0.0
        self.inherited: tuple[int, ...] = ()
        self.side_list = side_list.SideList()
        self._local_name = local.name
        self._terms = term_counter.TermCounter(local)
        self._earliest_claim_at = earliest_claim_at
        self._yields_until = float("-inf")
        self._has_heard = True
        self._views = views_lib.Views()
        self._search = owner_search.OwnerSearch(self._views, now)
        self._followers = followers_lib.Followers()
        self._successors = successors_lib.Successors(
            self._followers, self._views
        )

    @property
    def is_first(self) -> bool:
        """Whether the followed owner claimed without an earlier known term."""
        return term_counter.is_first(self.followed.term)

    @property
    def is_owner(self) -> bool:
        """Whether this front owns the jobs."""
        return self.followed.name == self._local_name

    def has_live_owner(self, now: float) -> bool:
        """Returns whether an owner is responsive, or is this front."""
        if self.is_owner:
            return True
        return now - self.last_seen_at < lease.OWNER_TIMEOUT_S

    def find_shown_rank(self, now: float) -> int:
        """Returns the rank that counts at the moment, here and elsewhere.

        Nobody waits for a front that doesn't claim the jobs for a while, and
        whoever may know the side processes better goes before one that lacks
        their list.
        """
        if now < self._yields_until or self._may_be_isolated(now):
            return rank_lib.UNSUITABLE_RANK
        if self._lacks_list(now):
            return self.rank + rank_lib.OUTDATED_OFFSET
        return self.rank

    def find_last_seen_ms(self, now: float) -> int:
        """Returns how old the owner's last sign of life is, for other fronts.

        In milliseconds; -1 if it is unresponsive, or was only handed the jobs
        so far: the handover may be lost. A heartbeat that has waited, as while
        this front stood still, is as old as that.
        """
        if self.is_owner:
            return 0
        age_s = self._find_age_s(now)
        if not self._has_heard or age_s >= lease.OWNER_TIMEOUT_S:
            return -1
        return round(age_s * 1000)

    def is_searching(self, now: float) -> bool:
        """Returns whether to ask all other fronts for an owner."""
        return (
            not self.is_owner
            and now - self.last_seen_at >= owner_search.SEARCH_AFTER_S
        )

    def record_view(self, view: locating.View, now: float) -> None:
        """Records another front's view."""
        self._views.record(view, now)
        self._terms.record(view.owner.term)

    def tick(self, now: float) -> bool:
        """Applies timeouts; returns whether this front claims the ownership."""
        self._search.tick(self.is_searching(now), now)
        if now < max(self._earliest_claim_at, self._yields_until):
            return False
        if not self._search.has_lasted(owner_search.MIN_SEARCH_S, now):
            return False
        if self.has_live_owner(now) or not self._is_best_candidate(now):
            return False
        self._claim(now)
        return True

    def handle_heartbeat(
        self,
        sender: str,
        heartbeat: owning.OwnerHeartbeat,
        sides: int,
        now: float,
    ) -> owning.OwnerHeartbeatReply | None:
        """Handles an owner's heartbeat.

        Args:
            sender: The front that owns the jobs.
            heartbeat: The message.
            sides: The number of this front's side processes, if it is an owner.
            now: The time, in seconds.

        Returns:
            The reply, if this front follows that owner.
        """
        self._terms.record(heartbeat.term)
        if not self._should_follow(sender, heartbeat, sides, now):
            return None
        self.followed = locating.OwnerRef(sender, heartbeat.term)
        self.last_seen_at = now
        self.heartbeat_at = heartbeat.sent_at
        self._waited_s = self._heartbeat_age.measure(
            heartbeat.term, heartbeat.sent_at, now
        )
        self._has_heard = True
        self.inherited = heartbeat.inherited
        reply = owning.OwnerHeartbeatReply(
            heartbeat.term, heartbeat.sent_at, self.find_shown_rank(now)
        )
        self.side_list.record_reply(reply, now)
        return reply

    def handle_heartbeat_reply(
        self, sender: str, reply: owning.OwnerHeartbeatReply, now: float
    ) -> bool:
        """Handles a reply; returns whether its sender follows this owner."""
        if not self.is_owner or reply.term != self.followed.term:
            return False
        self._followers.record(sender, reply.sent_at, now, reply.rank)
        return True

    def handle_handover(self, handover: owning.Handover, now: float) -> bool:
        """Becomes the owner in place of one that hands over its jobs.

        Returns:
            Whether it did. It refuses a handover from an earlier term than the
            followed one, or while it is about to stop, unless it is an owner.
        """
        self._terms.record(handover.term)
        is_late = handover.term < self.followed.term
        if not self.is_owner and (
            is_late or self.rank == rank_lib.UNSUITABLE_RANK
        ):
            return False
        own = (self.followed.term, *self.inherited) if self.is_owner else ()
        inherited = {handover.term, *handover.inherited, *own}
        self._claim(now)
        self.inherited = tuple(sorted(inherited))[-KEPT_TERMS:]
        return True

    def resign(self, successor: str, now: float) -> None:
        """Gives up the ownership in favour of another front.

        A late owner handles the successor's heartbeats as late as it handled
        the replies to its own; until then it doesn't claim the jobs again.
        """
        delay_s = min(self._followers.find_lateness_s(now), MAX_CLAIM_DELAY_S)
        self._yields_until = now + lease.OWNER_TIMEOUT_S + delay_s
        self._has_heard = False
        self.followed = locating.OwnerRef(successor, self.followed.term)
        self.last_seen_at = now
        self.heartbeat_at = 0.0
        self._followers.clear()

    def is_outranked_by(self, name: str) -> bool:
        """Returns whether a front suits better as the owner."""
        return self._successors.is_outranked(self.rank, name)

    def find_successor(self, now: float, is_stopping: bool) -> str:
        """Returns the front that should replace this one as the owner.

        Args:
            now: The time, in seconds.
            is_stopping: Whether this front is about to stop, so that any
                follower qualifies.

        Returns:
            Its name; empty if this front should stay the owner.
        """
        return self._successors.find(self.rank, now, is_stopping)

    def _claim(self, now: float) -> None:
        self.followed = locating.OwnerRef(
            self._local_name, self._terms.create()
        )
        self.inherited = ()
        self.last_seen_at = now
        self.heartbeat_at = 0.0
        self._followers.clear()

    def _is_best_candidate(self, now: float) -> bool:
        if self._may_be_isolated(now):
            return False
        mine = rank_lib.Candidate(
            self.find_shown_rank(now), self._local_name, self.followed.term
        )
        return self._search.may_claim(mine, now)

    def _may_be_isolated(self, now: float) -> bool:
        """Returns whether its own link may be why a weak front hears nobody."""
        if self.is_owner or not rank_lib.is_weak(self.rank):
            return False
        silent_s = now - self.last_seen_at
        return self._search.may_be_isolated(self.followed.name, silent_s, now)

    def _lacks_list(self, now: float) -> bool:
        """Returns whether others may know the lost owner's sides better.

        Its own list is out of date, for instance since this front stood still;
        that of another one that followed the same owner may be complete.
        """
        is_missed = self._find_age_s(now) >= owner_search.SEARCH_AFTER_S
        if self.is_owner or not self.followed.term or not is_missed:
            return False
        is_complete = self.side_list.is_complete(self.followed.term, now)
        return not is_complete and not self._search.is_late(now)

    def _find_age_s(self, now: float) -> float:
        """Returns how old the owner's last sign of life is, in seconds."""
        return now - self.last_seen_at + self._waited_s

    def _should_follow(
        self,
        sender: str,
        heartbeat: owning.OwnerHeartbeat,
        sides: int,
        now: float,
    ) -> bool:
        followed = self.followed
        if self.is_owner:
            mine = (sides, followed.term, self._local_name)
            return (heartbeat.sides, heartbeat.term, sender) > mine
        if not self.has_live_owner(now):
            # The only owner left may have a smaller term than a lost one.
            return True
        is_same = sender == followed.name
        is_heir = followed.term in heartbeat.inherited
        return heartbeat.term >= followed.term and (is_same or is_heir)
