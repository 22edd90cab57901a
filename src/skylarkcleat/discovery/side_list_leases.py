"""The leases that an owner gives fronts on their lists of its side processes.

A front whose lease is valid takes its list for complete if it takes over. So
the owner uses a side process only once each of these fronts has it in its list
or has lost its lease. A front is taken to have a list once it has replied to a
heartbeat that was sent after the list, in the same session.

The module does no I/O and reads no clock.
"""

from __future__ import annotations

import collections.abc
import typing as t

from skylarkcleat.scheduling import lease


class Confirmation(t.NamedTuple):
    """What a front is told of its list.

    Attributes:
        heartbeat_at: When the heartbeat was sent that the front replied to, in
            seconds.
        lasts_s: How long the list is complete after that reply, in seconds.
    """

    heartbeat_at: float
    lasts_s: float


class _Holder:
    """A front that was sent a list.

    Attributes:
        sent: The list that was sent last.
        sent_at: When it was sent, in seconds.
        held: Names that are in the front's list, whichever it has received.
        lease_ends_at: When its lease has certainly ended, in seconds.
        heartbeat_at: When the heartbeat was sent whose reply may be confirmed;
            None without one.
        replied_at: When that reply was handled, in seconds.
    """

    def __init__(self) -> None:
        self.sent: tuple[str, ...] | None = None
        self.sent_at = 0.0
        self.held: frozenset[str] = frozenset()
        self.lease_ends_at = float("-inf")
        self.heartbeat_at: float | None = None
        self.replied_at = 0.0


class SideListLeases:
    """The leases that fronts have from one owner in one term."""

    def __init__(self) -> None:
        self._holders: dict[str, _Holder] = {}

    def clear(self) -> None:
        """Forgets all, as another term begins: its lists count for that."""
        self._holders.clear()

    def record_reply(
        self, front: str, sent_at: float, names: tuple[str, ...], now: float
    ) -> None:
        """Records a front's reply to the heartbeat sent at `sent_at`.

        Args:
            front: The name of the front.
            sent_at: When the heartbeat was sent, in seconds.
            names: The names of all side processes of the owner.
            now: The time, in seconds.
        """
        holder = self._holders.setdefault(front, _Holder())
        if holder.sent is None or sent_at <= holder.sent_at:
            return
        holder.held = frozenset(holder.sent)
        if holder.sent == names:
            holder.heartbeat_at = sent_at
            holder.replied_at = now

    def record_sent(
        self, front: str, names: tuple[str, ...], now: float
    ) -> bool:
        """Records that a front is about to be sent the list, if that is due.

        Returns:
            Whether it is: it has replied in this term and was not sent this
            list.
        """
        holder = self._holders.get(front)
        if holder is None or holder.sent == names:
            return False
        holder.sent = names
        holder.sent_at = now
        holder.held &= frozenset(names)
        holder.heartbeat_at = None
        return True

    def forget_sent(self, front: str) -> None:
        """Forgets what a front was sent: it may not have arrived."""
        holder = self._holders.get(front)
        if holder is not None:
            holder.sent = None
            holder.heartbeat_at = None

    def confirm(self, front: str, now: float) -> Confirmation | None:
        """Prolongs the lease of a front that has the present list.

        Returns:
            What it is to be told; None if it has not replied since it was
            told last.
        """
        holder = self._holders.get(front)
        if holder is None or holder.heartbeat_at is None:
            return None
        heartbeat_at, holder.heartbeat_at = holder.heartbeat_at, None
        lasts_s = min(
            lease.SIDE_LIST_LEASE_S + now - heartbeat_at,
            lease.MAX_SIDE_LIST_LEASE_S,
        )
        ends_at = holder.replied_at + lasts_s * (1 + lease.CLOCK_DRIFT)
        # Jobs of other fronts may start that long after this one has claimed.
        ends_at += lease.FRONT_LEASE_S
        holder.lease_ends_at = max(holder.lease_ends_at, ends_at)
        return Confirmation(heartbeat_at, lasts_s)

    def list_known(
        self, sides: collections.abc.Iterable[str], now: float
    ) -> list[str]:
        """Returns those of some side processes that may be used.

        Each front whose lease may be valid has them in its list.
        """
        lists = [
            holder.held
            for holder in self._holders.values()
            if now < holder.lease_ends_at
        ]
        return [side for side in sides if all(side in held for held in lists)]
