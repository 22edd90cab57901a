"""The fronts that reply to an owner's heartbeats, and how late it handles that.

An overloaded owner handles all replies late. Their age is therefore compared
with that of the last reply that anybody sent, and not with the time.
"""

from __future__ import annotations

from skylarkcleat.scheduling import lease


class Follower:
    """A front that replies to this owner's heartbeats.

    Attributes:
        since: Since when it has followed without a gap, in seconds.
        answered_at: When the heartbeat that it last replied to was sent.
        handled_at: When that reply was handled.
        rank: Its rank by that reply; None if it didn't say.
    """

    def __init__(self, answered_at: float, now: float) -> None:
        self.since = now
        self.answered_at = answered_at
        self.handled_at = now
        self.rank: int | None = None

    def has_gap(self, sent_at: float, now: float) -> bool:
        """Returns whether it was away until its reply to a heartbeat.

        Only the time between replies counts, not how late they are handled.
        """
        unanswered_s = sent_at - self.answered_at
        unheard_s = now - self.handled_at
        return max(unanswered_s, unheard_s) > lease.SIDE_LEASE_S

    def record(self, sent_at: float, now: float) -> None:
        """Records its reply to the heartbeat sent at `sent_at`."""
        self.answered_at = max(self.answered_at, sent_at)
        self.handled_at = now


class Followers:
    """The followers of one owner in one term."""

    def __init__(self) -> None:
        self._by_name: dict[str, Follower] = {}

    def clear(self) -> None:
        """Forgets all of them, as another term begins."""
        self._by_name.clear()

    def record(
        self,
        name: str,
        sent_at: float,
        now: float,
        rank: int | None = None,
    ) -> None:
        """Records a front's reply to the heartbeat sent at `sent_at`."""
        follower = self._by_name.get(name)
        if follower is None or follower.has_gap(sent_at, now):
            follower = self._by_name[name] = Follower(sent_at, now)
        else:
            follower.record(sent_at, now)
        follower.rank = rank

    def find_rank(self, name: str, since: float) -> int | None:
        """Returns a follower's rank by its last reply, if it told it.

        Args:
            name: The follower.
            since: A reply that was handled before this time doesn't count, in
                seconds.
        """
        follower = self._by_name.get(name)
        if follower is None or follower.handled_at < since:
            return None
        return follower.rank

    def list_responsive(self, now: float) -> list[tuple[str, Follower]]:
        """Returns the followers that are not known to be gone, by name.

        An owner that has handled no reply for a while may be partitioned; then
        it is nobody.
        """
        followers = self._by_name.items()
        if not any(
            now - each.handled_at < lease.FRONT_LEASE_S for _, each in followers
        ):
            return []
        oldest = self._find_last_answered_at() - lease.FRONT_LEASE_S
        return [pair for pair in followers if pair[1].answered_at > oldest]

    def find_lateness_s(self, now: float) -> float:
        """Returns how long ago the last heartbeat with a reply was sent.

        Infinite if there was no reply.
        """
        return max(0.0, now - self._find_last_answered_at())

    def _find_last_answered_at(self) -> float:
        """Returns when the last heartbeat that was replied to was sent."""
        return max(
            (each.answered_at for each in self._by_name.values()),
            default=float("-inf"),
        )
