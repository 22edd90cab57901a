"""A side process's lease from an owner, on its own clock."""

from __future__ import annotations

from skylarkcleat.protocol import locating
from skylarkcleat.scheduling import lease

NO_OWNER = locating.OwnerRef()


class SideLease:
    """The lease of one side process; it obeys one owner at a time.

    Args:
        epoch: Every fencing token that the runner has seen is smaller.
        now: The time, in seconds. A previous process may have had a lease; how
            long is not known, so it counts as ended.

    Attributes:
        owner: The owner that gave the lease.
        epoch: The fencing token of its orders; 0 without a lease.
        last_seen_at: When that owner last answered, in seconds.
        requested: The owner of the latest request, and the requested epoch.
        previous_expires_at: When the lease before this one would have ended.
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
        """Returns the epoch for which to ask an owner for a lease."""
        if self.requested[0] != owner or self.requested[1] <= self.epoch:
            self._last_epoch += 1
            self.requested = (owner, self._last_epoch)
        return self.requested[1]

    def grant(self, sender: str, epoch: int, requested_at: float) -> bool:
        """Takes a lease that counts from when it was requested for.

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
        """Takes in that the owner has prolonged the lease."""
        if epoch == self.epoch:
            self.last_seen_at = now
            self._expires_at = max(
                self._expires_at, requested_at + lease.SIDE_LEASE_S
            )

    def record_owner_ended(self) -> None:
        """Takes in that the owner has ended; what runs may go on."""
        self.last_seen_at = float("-inf")

    def drop(self) -> None:
        """Gives the lease up; nothing is started under it any more."""
        self.owner = NO_OWNER
        self.epoch = 0
        self._expires_at = 0.0

    def skip_epochs(self, epochs: int) -> None:
        """Passes over epochs, since the runner has seen a larger one."""
        self._last_epoch += epochs
        self.requested = (NO_OWNER, 0)
        self.drop()

    def is_valid(self, now: float) -> bool:
        """Returns whether orders under the lease may be carried out."""
        return self.epoch > 0 and now < self._expires_at

    def find_remaining_s(self, now: float) -> float:
        """Returns how long the lease still lasts, in seconds."""
        return max(0.0, self._expires_at - now) if self.epoch else 0.0
