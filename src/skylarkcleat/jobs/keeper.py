"""Keeps claims of jobs in memory and decides them by majority.

Job identifiers are split into shards. Control, the replicated service that
holds the configuration, assigns each shard to keepers for an epoch; the first
of them is the primary. Within the epoch the primary alone orders the claims of
a job, and a claim is decided once a majority of the epoch's keepers has
recorded it. The next epoch starts from the claims of a majority of the
previous keepers, which refuse the earlier epoch from then on.
"""

from __future__ import annotations

import typing as t

from skylarkcleat.jobs import effects
from skylarkcleat.jobs import keeper_shard_state
from skylarkcleat.jobs import retention
from skylarkcleat.jobs import shard_transfer
from skylarkcleat.model import cause as cause_lib
from skylarkcleat.model import failure as failure_lib
from skylarkcleat.model import keeper_shard
from skylarkcleat.protocol import claiming

DEFAULT_MAX_CLAIMS = 200_000
CLAIMS_PER_MESSAGE = 200
RESEND_INTERVAL_S = 0.25

_Effects = list[effects.Effect]


class Keeper:
    """The claims kept by one agent incarnation, by shard.

    Attributes:
        ref: The incarnation.
        shards: State by the shard's number.
    """

    def __init__(
        self,
        ref: claiming.MemberRef,
        max_claims: int = DEFAULT_MAX_CLAIMS,
        claims_per_message: int = CLAIMS_PER_MESSAGE,
    ):
        """Creates a keeper without shards.

        Args:
            ref: The agent incarnation.
            max_claims: The most claims to hold in one shard as primary; claims
                of further jobs are refused as overload.
            claims_per_message: The most claims that one message carries.
        """
        self.ref = ref
        self.shards: dict[int, keeper_shard_state.ShardState] = {}
        self._max_claims = max_claims
        self._transfer = shard_transfer.ShardTransfer(ref, claims_per_message)
        self._lease_until = 0.0
        self._now_ms = 0

    def extend_lease(self, until: float) -> None:
        """Allows decisions until a time of the monotonic clock.

        A lease starts when the keeper requests it from control. When claims
        are lost, control sets a horizon, and claims of jobs with an earlier
        identifier are refused. The horizon is later than the end of every
        lease granted before by twice `retention.MAX_SKEW_MS`, since a
        keeper's clock may be ahead of control's and an identifier's time
        ahead of the keeper's clock.
        """
        self._lease_until = max(self._lease_until, until)

    def configure(self, config: keeper_shard.KeeperShard) -> _Effects:
        """Applies a shard's configuration from the directory if it is newer."""
        state = self.shards.get(config.number)
        if state is None:
            state = keeper_shard_state.ShardState(config)
            state.promise(config.epoch)
        elif config.epoch <= state.config.epoch:
            self._drop_copied(state, config)
            return []
        state.config = config
        state.reset()
        state.promise(config.epoch)
        if not self._is_member(config):
            self.shards.pop(config.number, None)
            return []
        self.shards[config.number] = state
        return self._handle_own_messages(self._transfer.begin(state))

    def handle(
        self,
        sender: claiming.MemberRef,
        message: claiming.KeeperMessage,
        now: float,
        now_ms: int,
    ) -> _Effects:
        """Handles a message from an entry or another keeper.

        Args:
            sender: The incarnation that sent it.
            message: The message.
            now: The monotonic clock, in seconds.
            now_ms: The wall clock, in milliseconds since the Unix
                epoch.
        """
        self._now_ms = max(self._now_ms, now_ms)
        if isinstance(message, claiming.Propose):
            return self._propose(sender, message, now)
        state = self.shards.get(message.shard)
        if state is None:
            return []
        if isinstance(message, claiming.Replicate):
            return self._replicate(sender, state, message)
        if isinstance(message, claiming.Replicated):
            return self._acknowledge(sender, state, message, now)
        return self._handle_own_messages(
            self._transfer.handle(sender, state, message)
        )

    def tick(self, now: float, now_ms: int) -> _Effects:
        """Resends messages without a reply and drops expired claims."""
        self._now_ms = max(self._now_ms, now_ms)
        out: _Effects = []
        for state in self.shards.values():
            state.expire(self._now_ms)
            if now < state.resend_at:
                continue
            state.resend_at = now + RESEND_INTERVAL_S
            out += self._transfer.resend(state)
            for job in tuple(state.acks):
                out += self._send_replicas(state, state.claims[job])
                out += self._decide(state, job, now)
        return self._handle_own_messages(out)

    def _drop_copied(
        self,
        state: keeper_shard_state.ShardState,
        config: keeper_shard.KeeperShard,
    ) -> None:
        """Drops a shard whose claims the keepers of its epoch have copied."""
        is_same_epoch = config.epoch == state.config.epoch
        if is_same_epoch and not self._is_member(config):
            del self.shards[config.number]

    def _is_member(self, config: keeper_shard.KeeperShard) -> bool:
        return self.ref in config.keepers or self.ref in config.previous

    def _handle_own_messages(self, out: t.Iterable[effects.Effect]) -> _Effects:
        """Handles the messages to this keeper itself; returns the others."""
        queue = list(out)
        sent: _Effects = []
        while queue:
            effect = queue.pop(0)
            if (
                not isinstance(effect, effects.SendTo)
                or effect.member != self.ref
            ):
                sent.append(effect)
            else:
                state = self.shards[effect.message.shard]
                queue += self._transfer.handle(self.ref, state, effect.message)
        return sent

    def _propose(
        self,
        entry: claiming.MemberRef,
        propose: claiming.Propose,
        now: float,
    ) -> _Effects:
        claim = propose.claim
        state = self.shards.get(propose.shard)
        if not self._may_decide(state, propose.shard_epoch, now):
            epoch = state.config.epoch if state is not None else 0
            return _send(
                entry, claiming.Redirect(claim.job, propose.shard, epoch)
            )
        failure = self._check_claim(state, claim)
        if failure is not None:
            return _send(
                entry,
                claiming.ProposalRefused(claim.job, claim.nonce, failure),
            )
        current = state.claims.get(claim.job)
        if claim.job in state.acks:
            state.waiters[claim.job][entry] = None
            return []
        if not keeper_shard_state.may_follow(claim, current):
            return _send(entry, claiming.Decided(current))
        state.record(claim)
        state.acks[claim.job] = {self.ref}
        state.waiters[claim.job] = {entry: None}
        out = self._send_replicas(state, claim)
        return out + self._decide(state, claim.job, now)

    def _may_decide(
        self,
        state: keeper_shard_state.ShardState | None,
        shard_epoch: int,
        now: float,
    ) -> bool:
        if state is None or now >= self._lease_until:
            return False
        return (
            state.serving
            and state.is_current()
            and state.config.epoch == shard_epoch
        )

    def _check_claim(
        self, state: keeper_shard_state.ShardState, claim: claiming.Claim
    ) -> failure_lib.Failure | None:
        failure = retention.check_age(
            claim.job, self._now_ms, "claim", self.ref.name
        )
        if failure is not None:
            return failure
        if retention.read_time_ms(claim.job) <= state.config.horizon_ms:
            return self._create_failure(
                cause_lib.Cause.CLAIM_UNAVAILABLE,
                f"the record of job {claim.job} may have been lost with the "
                f"keepers of shard {state.config.number}",
            )
        if claim.job in state.claims:
            return None
        if claim.epoch > 1:
            return self._create_failure(
                cause_lib.Cause.CLAIM_UNAVAILABLE,
                f"no claim of job {claim.job} is known",
            )
        if len(state.claims) >= self._max_claims:
            return self._create_failure(
                cause_lib.Cause.OVERLOADED,
                f"shard {state.config.number} holds {len(state.claims)} claims",
            )
        return None

    def _create_failure(
        self, cause: cause_lib.Cause, detail: str
    ) -> failure_lib.Failure:
        return failure_lib.Failure(
            failure_lib.Outcome.UNKNOWN, cause, "claim", self.ref.name, detail
        )

    def _send_replicas(
        self, state: keeper_shard_state.ShardState, claim: claiming.Claim
    ) -> _Effects:
        replicate = claiming.Replicate(
            state.config.number, state.config.epoch, claim
        )
        acks = state.acks[claim.job]
        return [
            effects.SendTo(claiming.MemberRef(*keeper), replicate)
            for keeper in state.config.keepers
            if keeper not in acks
        ]

    def _replicate(
        self,
        primary: claiming.MemberRef,
        state: keeper_shard_state.ShardState,
        replicate: claiming.Replicate,
    ) -> _Effects:
        epoch = replicate.shard_epoch
        if not epoch == state.installed == state.promised:
            return []
        claim = replicate.claim
        known = state.claims.get(claim.job)
        if known is None or known.epoch < claim.epoch:
            state.record(claim)
        reply = claiming.Replicated(
            replicate.shard, epoch, claim.job, claim.epoch
        )
        return _send(primary, reply)

    def _acknowledge(
        self,
        backup: claiming.MemberRef,
        state: keeper_shard_state.ShardState,
        message: claiming.Replicated,
        now: float,
    ) -> _Effects:
        acks = state.acks.get(message.job)
        if acks is None or message.shard_epoch != state.config.epoch:
            return []
        if state.claims[message.job].epoch != message.epoch:
            return []
        acks.add(backup)
        return self._decide(state, message.job, now)

    def _decide(
        self,
        state: keeper_shard_state.ShardState,
        job: str,
        now: float,
    ) -> _Effects:
        if len(state.acks[job]) < state.majority:
            return []
        if not self._may_decide(state, state.config.epoch, now):
            return []
        del state.acks[job]
        decided = claiming.Decided(state.claims[job])
        return [
            effects.SendTo(entry, decided) for entry in state.waiters.pop(job)
        ]


def _send(
    member: claiming.MemberRef, message: claiming.EntryMessage
) -> _Effects:
    return [effects.SendTo(member, message)]
