"""The state of one shard at one keeper: its claims and epoch transfer."""

from __future__ import annotations

import typing as t

from skylarkcleat.jobs import expiry
from skylarkcleat.jobs import interning
from skylarkcleat.model import keeper_shard
from skylarkcleat.protocol import claiming


class ClaimCopy(t.NamedTuple):
    """The claims received so far from a keeper of the previous epoch.

    Attributes:
        installed: The epoch whose claims the keeper holds.
        claims: The claims received, without a gap.
        total: How many claims the keeper holds.
    """

    installed: int
    claims: list[claiming.Claim]
    total: int

    @property
    def is_complete(self) -> bool:
        """Whether every claim of the keeper was received."""
        return len(self.claims) >= self.total


class ShardState:
    """One shard at one keeper.

    Attributes:
        config: The newest configuration known.
        promised: The highest epoch accepted; lower ones are refused.
        installed: The epoch whose claims `claims` holds; 0 for none.
        claims: The last claim of each job, decided or not.
        serving: Whether this keeper is a primary that decides claims.
        is_reported_lost: Whether the loss of claims was reported to control.
        acks: For each job with an undecided claim, the keepers that have
            recorded it.
        waiters: For each such job, the entries that wait for the decision.
        copies: The claims received from the keepers of the previous epoch.
        snapshot: The claims at the time of the promise, sent in pieces.
        staged: The claims received of the epoch that is being installed.
        staged_epoch: That epoch.
        received: For each backup, how many claims it has received.
        backups: The keepers that hold every claim the epoch starts from.
        resend_at: When messages without a reply are sent again.
    """

    def __init__(self, config: keeper_shard.KeeperShard):
        self.config = config
        self.promised = 0
        self.installed = 0
        self.claims: dict[str, claiming.Claim] = {}
        self.snapshot: tuple[claiming.Claim, ...] = ()
        self.staged: list[claiming.Claim] = []
        self.staged_epoch = 0
        self._expiry = expiry.ExpiryIndex()
        self._interner = interning.Interner()
        self.reset()

    def reset(self) -> None:
        """Discards the progress of an earlier epoch, but not its claims."""
        self.serving = False
        self.is_reported_lost = False
        self.acks: dict[str, set[claiming.MemberRef]] = {}
        self.waiters: dict[str, dict[claiming.MemberRef, None]] = {}
        self.copies: dict[claiming.MemberRef, ClaimCopy] = {}
        self.received: dict[claiming.MemberRef, int] = {}
        self.backups: set[claiming.MemberRef] = set()
        self.resend_at = 0.0

    def promise(self, epoch: int) -> None:
        """Refuses lower epochs from now on and takes a snapshot of claims."""
        if epoch > self.promised:
            self.promised = epoch
            self.serving = False
            self.snapshot = tuple(self.claims.values())

    def adopt(self, epoch: int, claims: t.Iterable[claiming.Claim]) -> None:
        """Replaces the claims with those that an epoch starts from."""
        self.installed = epoch
        self.claims = {}
        self.snapshot = ()
        self.staged = []
        self._expiry = expiry.ExpiryIndex()
        for claim in claims:
            self.record(claim)

    def record(self, claim: claiming.Claim) -> None:
        """Records a claim, replacing any earlier claim of the job."""
        self.claims[claim.job] = self._interner.intern_claim(claim)
        self._expiry.add(claim.job)

    def expire(self, now_ms: int) -> None:
        """Drops the claims of jobs whose identifiers are no longer accepted."""
        for job in self._expiry.pop_expired(now_ms):
            self.claims.pop(job, None)
            self.acks.pop(job, None)
            self.waiters.pop(job, None)

    @property
    def majority(self) -> int:
        """How many keepers must record a claim to decide it."""
        return len(self.config.keepers) // 2 + 1

    def is_current(self) -> bool:
        """Returns whether no epoch above the configured one is promised."""
        return self.promised == self.config.epoch


def may_follow(claim: claiming.Claim, current: claiming.Claim | None) -> bool:
    """Returns whether a claim may replace the current one."""
    if current is None:
        return claim.epoch == 1
    return (
        current.closed is None
        and claim.epoch == current.epoch + 1
        and claim.digest == current.digest
        and claim.tasks == current.tasks
        and claim.repeatable <= current.repeatable
        and set(claim.cohort) >= set(current.cohort)
    )


def merge_copies(
    copies: t.Iterable[ClaimCopy], installed: int
) -> dict[str, claiming.Claim]:
    """Returns the claim of each job with the highest epoch.

    Args:
        copies: Claims of a majority of an epoch's keepers.
        installed: That epoch; copies with claims of another are ignored.
    """
    merged: dict[str, claiming.Claim] = {}
    for copy in copies:
        if copy.installed != installed:
            continue
        for claim in copy.claims:
            known = merged.get(claim.job)
            if known is None or known.epoch < claim.epoch:
                merged[claim.job] = claim
    return merged
