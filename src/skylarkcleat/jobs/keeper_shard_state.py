"""One shard's claims at one keeper, and how far its epoch has come."""

from __future__ import annotations

import typing as t

from skylarkcleat.jobs import expiry
from skylarkcleat.jobs import interning
from skylarkcleat.model import keeper_shard
from skylarkcleat.protocol import claiming


class ClaimCopy(t.NamedTuple):
    """What a keeper of the epoch before has sent so far.

    Attributes:
        installed: The epoch whose claims it holds.
        claims: The claims received, without a gap.
        total: How many there are.
    """

    installed: int
    claims: list[claiming.Claim]
    total: int

    @property
    def is_complete(self) -> bool:
        """Whether every claim was received."""
        return len(self.claims) >= self.total


class ShardState:
    """One shard at one keeper.

    Attributes:
        config: The newest configuration known.
        promised: Epochs below it are refused.
        installed: The epoch whose claims `claims` holds; 0 for none.
        claims: The last claim of each job, decided or not.
        serving: Whether this keeper is a primary that decides claims.
        is_reported_lost: Whether control was told that claims are lost.
        acks: For each job with an undecided claim, who recorded it.
        waiters: For each such job, the entries that wait for the decision.
        copies: What the keepers of the epoch before have sent.
        frozen: The claims at the promise, for reading in pieces.
        staged: Claims of an epoch that is being installed here.
        staged_epoch: That epoch.
        received: For each backup, how many claims it has installed.
        backups: The backups that hold every claim of the epoch.
        resend_at: When what has no reply is sent again.
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
        """Forgets the work of an earlier epoch, but not its claims."""
        self.serving = False
        self.is_reported_lost = False
        self.acks: dict[str, set[claiming.MemberRef]] = {}
        self.waiters: dict[str, dict[claiming.MemberRef, None]] = {}
        self.copies: dict[claiming.MemberRef, ClaimCopy] = {}
        self.received: dict[claiming.MemberRef, int] = {}
        self.backups: set[claiming.MemberRef] = set()
        self.resend_at = 0.0

    def promise(self, epoch: int) -> None:
        """Refuses the epochs below `epoch` from now on."""
        if epoch > self.promised:
            self.promised = epoch
            self.serving = False
            self.snapshot = tuple(self.claims.values())

    def adopt(self, epoch: int, claims: t.Iterable[claiming.Claim]) -> None:
        """Replaces the claims by those that an epoch starts from."""
        self.installed = epoch
        self.claims = {}
        self.snapshot = ()
        self.staged = []
        self._expiry = expiry.ExpiryIndex()
        for claim in claims:
            self.record(claim)

    def record(self, claim: claiming.Claim) -> None:
        """Records a claim in place of the job's claim before."""
        self.claims[claim.job] = self._interner.intern_claim(claim)
        self._expiry.add(claim.job)

    def expire(self, now_ms: int) -> None:
        """Forgets the claims of jobs that are no longer accepted."""
        for job in self._expiry.pop_expired(now_ms):
            self.claims.pop(job, None)
            self.acks.pop(job, None)
            self.waiters.pop(job, None)

    @property
    def majority(self) -> int:
        """How many keepers decide a claim."""
        return len(self.config.keepers) // 2 + 1

    def is_current(self) -> bool:
        """Whether the newest known epoch is not refused already."""
        return self.promised == self.config.epoch


def may_follow(claim: claiming.Claim, current: claiming.Claim | None) -> bool:
    """Returns whether a claim may be decided after the current one."""
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
    """Returns the last claim of each job.

    Args:
        copies: Claims of a majority of an epoch's keepers.
        installed: The epoch; copies that hold another's claims add nothing.
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
