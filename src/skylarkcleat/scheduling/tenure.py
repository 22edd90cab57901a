"""A side process's lease from an owner, on its own clock."""

from __future__ import annotations

from skylarkcleat.protocol import locating
from skylarkcleat.scheduling import lease

NO_OWNER = locating.OwnerRef()


class Tenure:
    """The lease of one side process; it obeys one owner at a time.

    Args:
        epoch: Every fencing token that the runner has seen is smaller.
        now: The time, in seconds. A former process may have had a lease; how
            long is not known, so it counts as ended.

    Attributes:
        owner: The owner that gave the lease.
        epoch: The fencing token of its orders; 0 without a lease.
        heard_at: When that owner last answered, in seconds.
        asked: The owner that was asked for a lease, and for which epoch.
        former_until: When the lease before this one would have ended.
    """

    def __init__(self, epoch: int, now: float) -> None:
        self.owner = NO_OWNER
        self.epoch = 0
        self.heard_at = float("-inf")
        self.asked = (NO_OWNER, 0)
        self.former_until = now
        self._last_epoch = epoch
        self._until = 0.0

    def ask(self, owner: locating.OwnerRef) -> int:
        """Returns the epoch for which to ask an owner for a lease."""
        if self.asked[0] != owner or self.asked[1] <= self.epoch:
            self._last_epoch += 1
            self.asked = (owner, self._last_epoch)
        return self.asked[1]

    def grant(self, sender: str, epoch: int, asked_at: float) -> bool:
        """Takes a lease that counts from when it was asked for.

        Returns:
            Whether it is the one that was asked for last.
        """
        owner, asked_epoch = self.asked
        if (sender, epoch) != (owner.name, asked_epoch):
            return False
        if epoch == self.epoch:
            return False
        self.former_until = max(self.former_until, self._until)
        self.owner = owner
        self.epoch = epoch
        self.heard_at = asked_at
        self._until = asked_at + lease.LEASE_S
        return True

    def renew(self, epoch: int, asked_at: float, now: float) -> None:
        """Takes in that the owner has prolonged the lease."""
        if epoch == self.epoch:
            self.heard_at = now
            self._until = max(self._until, asked_at + lease.LEASE_S)

    def release(self) -> None:
        """Takes in that the owner has ended; what runs may go on."""
        self.heard_at = float("-inf")

    def drop(self) -> None:
        """Gives the lease up; nothing is started under it any more."""
        self.owner = NO_OWNER
        self.epoch = 0
        self._until = 0.0

    def skip(self, epochs: int) -> None:
        """Passes over epochs, since the runner has seen a larger one."""
        self._last_epoch += epochs
        self.asked = (NO_OWNER, 0)
        self.drop()

    def is_valid(self, now: float) -> bool:
        """Returns whether orders under the lease may be carried out."""
        return self.epoch > 0 and now < self._until

    def find_left(self, now: float) -> float:
        """Returns how long the lease still lasts, in seconds."""
        return max(0.0, self._until - now) if self.epoch else 0.0
