"""A side process's lease from the owner, on its own clock."""

from __future__ import annotations

from skylarkcleat.scheduling import lease


class Tenure:
    """The lease of one side process.

    Attributes:
        epoch: The fencing token of its orders; 0 without a lease.
    """

    def __init__(self) -> None:
        self.epoch = 0
        self._until = 0.0

    def grant(self, epoch: int, asked_at: float) -> bool:
        """Takes a lease that counts from when it was asked for.

        Returns:
            Whether it is newer than the present one.
        """
        if epoch <= self.epoch:
            return False
        self.epoch = epoch
        self._until = asked_at + lease.LEASE_S
        return True

    def renew(self, epoch: int, asked_at: float) -> None:
        """Takes in that the owner has prolonged the lease."""
        if epoch == self.epoch:
            self._until = max(self._until, asked_at + lease.LEASE_S)

    def is_valid(self, now: float) -> bool:
        """Returns whether orders under the lease may be carried out."""
        return self.epoch > 0 and now < self._until

    def find_left(self, now: float) -> float:
        """Returns how long the lease still lasts, in seconds."""
        return max(0.0, self._until - now) if self.epoch else 0.0
