"""The lease that a side process has from an owner, on its own clock."""

from __future__ import annotations

from skylarkcleat.protocol import locating
from skylarkcleat.scheduling import lease

NO_OWNER = locating.OwnerRef()

MAX_EPOCH = 2**53 - 2**32
"""The largest epoch to skip to. Runners may not keep a number over 2^53 whole,
and each further lease takes one more."""


class SideLease:
    """The lease of one side process, which follows one owner at a time.

    Args:
        epoch: Larger than every fencing token that the runner has received.
        now: The time, in seconds. A previous process may have had a lease of
            unknown duration; it counts as expired now.

    Attributes:
        owner: The owner that granted the lease.
        epoch: The fencing token of its orders; 0 without a lease.
        last_seen_at: When that owner last replied, in seconds; minus infinity
            if it has none or has ended.
        requested: The owner of the latest request, and the requested epoch.
        previous_expires_at: When the lease before this one expires, in
            seconds.
    """

    def __init__(self, epoch: int, now: float) -> None:
        self.owner = NO_OWNER
        self.epoch = 0
        self.last_seen_at = float("-inf")
        self.requested = (NO_OWNER, 0)
        self.previous_expires_at = now
        self._last_epoch = epoch
        self._expires_at = 0.0

    def request(self, owner: locating.OwnerRef) -> int:
        """Returns the epoch to request a lease for from an owner.

        A repeated request keeps its epoch until that lease is granted.
        """
        if self.requested[0] != owner or self.requested[1] <= self.epoch:
            self._last_epoch += 1
            self.requested = (owner, self._last_epoch)
        return self.requested[1]

    def grant(self, sender: str, epoch: int, requested_at: float) -> bool:
        """Accepts a lease, which counts from when it was requested.

        Returns:
            Whether it is the one that was requested for last.
        """
        owner, requested_epoch = self.requested
        if (sender, epoch) != (owner.name, requested_epoch):
            return False
        if epoch == self.epoch:
            return False
        self.previous_expires_at = max(
            self.previous_expires_at, self._expires_at
        )
        self.owner = owner
        self.epoch = epoch
        self.last_seen_at = requested_at
        self._expires_at = requested_at + lease.SIDE_LEASE_S
        return True

    def renew(self, epoch: int, requested_at: float, now: float) -> None:
        """Records that the owner has renewed the lease.

        It counts from when the renewal was requested; a late reply to an
        earlier request doesn't shorten it.
        """
        if epoch == self.epoch:
            self.last_seen_at = now
            self._expires_at = max(
                self._expires_at, requested_at + lease.SIDE_LEASE_S
            )

    def record_owner_ended(self) -> None:
        """Records that the owner has ended; the lease stays in force."""
        self.last_seen_at = float("-inf")

    def drop(self) -> None:
        """Gives up the lease; no task is started under it any more.

        The next request has another epoch, so that no order and no grant that
        is still under way belongs to it.
        """
        self.owner = NO_OWNER
        self.epoch = 0
        self.requested = (NO_OWNER, 0)
        self._expires_at = 0.0

    def skip_epochs(self, epochs: int) -> None:
        """Skips epochs, since the runner has received a larger one.

        None is skipped beyond `MAX_EPOCH`: a runner that refuses even those
        refuses all.
        """
        skipped = min(self._last_epoch + epochs, MAX_EPOCH)
        self._last_epoch = max(self._last_epoch, skipped)
        self.drop()

    def is_valid(self, now: float) -> bool:
        """Returns whether orders under the lease may be carried out."""
        return self.epoch > 0 and now < self._expires_at

    def find_counted_until(self) -> float:
        """Returns until when the owner waits for runs here if this VM is lost.

        In seconds; the owner may have granted the lease later than it was
        requested, and then waits longer.
        """
        return lease.find_expiry(self._expires_at - lease.SIDE_LEASE_S)

    def find_remaining_s(self, now: float) -> float:
        """Returns how long the lease remains valid, in seconds."""
        return max(0.0, self._expires_at - now) if self.epoch else 0.0
