"""Transfers a shard's claims from one epoch's keepers to the next's.

The primary of the new epoch collects the claims of a majority of the previous
keepers, merges them and installs the result at its backups. It decides claims
once a majority of the new keepers has installed them. If none of the copies
holds the claims of the previous epoch, the claims are reported lost.
"""

from __future__ import annotations

from skylarkcleat.jobs import effects
from skylarkcleat.jobs import keeper_shard_state
from skylarkcleat.protocol import claiming

_Effects = list[effects.Effect]


class ShardTransfer:
    """One keeper's part in transfers, in pieces of bounded size."""

    def __init__(self, ref: claiming.MemberRef, claims_per_message: int):
        """Creates the transfer state machine of one keeper.

        Args:
            ref: The keeper.
            claims_per_message: The most claims that one message carries.
        """
        self._ref = ref
        self._claims_per_message = claims_per_message

    def begin(self, state: keeper_shard_state.ShardState) -> _Effects:
        """Starts to collect claims if this keeper is the primary."""
        if not self._is_primary(state):
            return []
        if not state.config.previous:
            return self._adopt(state, {})
        return self._resend_collects(state)

    def resend(self, state: keeper_shard_state.ShardState) -> _Effects:
        """Resends messages without a reply if this keeper is the primary."""
        if not self._is_primary(state) or not state.is_current():
            return []
        if state.installed == state.config.epoch:
            return self._resend_installs(state)
        return self._resend_collects(state)

    def handle(
        self,
        sender: claiming.MemberRef,
        state: keeper_shard_state.ShardState,
        message: claiming.KeeperMessage,
    ) -> _Effects:
        """Handles a message from another keeper or from this one to itself."""
        if isinstance(message, claiming.Collect):
            return self._send_copy(sender, state, message)
        if isinstance(message, claiming.Install):
            return self._stage_claims(sender, state, message)
        if message.shard_epoch != state.config.epoch or not state.is_current():
            return []
        if isinstance(message, claiming.Collected):
            return self._record_copy(sender, state, message)
        return self._record_installed(sender, state, message)

    def _is_primary(self, state: keeper_shard_state.ShardState) -> bool:
        keepers = state.config.keepers
        return bool(keepers) and keepers[0] == self._ref

    def _resend_collects(
        self, state: keeper_shard_state.ShardState
    ) -> _Effects:
        out: _Effects = []
        for keeper in state.config.previous:
            copy = state.copies.get(keeper)
            if copy is not None and copy.is_complete:
                continue
            offset = len(copy.claims) if copy is not None else 0
            message = claiming.Collect(
                state.config.number, state.config.epoch, offset
            )
            out.append(effects.SendTo(claiming.MemberRef(*keeper), message))
        return out

    def _send_copy(
        self,
        primary: claiming.MemberRef,
        state: keeper_shard_state.ShardState,
        collect: claiming.Collect,
    ) -> _Effects:
        if collect.shard_epoch < state.promised:
            return []
        state.promise(collect.shard_epoch)
        if state.installed == collect.shard_epoch:
            return []
        end = collect.offset + self._claims_per_message
        message = claiming.Collected(
            collect.shard,
            collect.shard_epoch,
            state.installed,
            collect.offset,
            len(state.snapshot),
            state.snapshot[collect.offset : end],
        )
        return [effects.SendTo(primary, message)]

    def _record_copy(
        self,
        sender: claiming.MemberRef,
        state: keeper_shard_state.ShardState,
        piece: claiming.Collected,
    ) -> _Effects:
        if state.installed == state.config.epoch:
            return []
        copy = state.copies.get(sender)
        if copy is None:
            copy = keeper_shard_state.ClaimCopy(
                piece.installed, [], piece.total
            )
            state.copies[sender] = copy
        if piece.offset != len(copy.claims) or (
            copy.is_complete and copy.claims
        ):
            return []
        copy.claims.extend(piece.claims)
        if not copy.is_complete:
            message = claiming.Collect(
                piece.shard, piece.shard_epoch, len(copy.claims)
            )
            return [effects.SendTo(sender, message)]
        return self._merge_copies(state)

    def _merge_copies(self, state: keeper_shard_state.ShardState) -> _Effects:
        whole = [copy for copy in state.copies.values() if copy.is_complete]
        if len(whole) < len(state.config.previous) // 2 + 1:
            return []
        before = state.config.epoch - 1
        if any(copy.installed == before for copy in whole):
            return self._adopt(
                state, keeper_shard_state.merge_copies(whole, before)
            )
        if state.is_reported_lost:
            return []
        state.is_reported_lost = True
        return [effects.ShardLost(state.config.number, state.config.epoch)]

    def _adopt(
        self,
        state: keeper_shard_state.ShardState,
        claims: dict[str, claiming.Claim],
    ) -> _Effects:
        state.adopt(state.config.epoch, claims.values())
        state.snapshot = tuple(state.claims.values())
        state.copies = {}
        state.backups = {self._ref}
        return self._resend_installs(state) + self._serve_if_installed(state)

    def _resend_installs(
        self, state: keeper_shard_state.ShardState
    ) -> _Effects:
        out: _Effects = []
        for keeper in state.config.keepers:
            if keeper not in state.backups:
                out.append(
                    self._create_install(state, claiming.MemberRef(*keeper))
                )
        return out

    def _create_install(
        self,
        state: keeper_shard_state.ShardState,
        backup: claiming.MemberRef,
    ) -> effects.SendTo:
        offset = state.received.get(backup, 0)
        message = claiming.Install(
            state.config.number,
            state.config.epoch,
            offset,
            len(state.snapshot),
            state.snapshot[offset : offset + self._claims_per_message],
        )
        return effects.SendTo(backup, message)

    def _stage_claims(
        self,
        primary: claiming.MemberRef,
        state: keeper_shard_state.ShardState,
        piece: claiming.Install,
    ) -> _Effects:
        if piece.shard_epoch < state.promised:
            return []
        state.promise(piece.shard_epoch)
        if state.installed == piece.shard_epoch:
            return [self._create_installed(primary, piece, piece.total)]
        if state.staged_epoch != piece.shard_epoch:
            state.staged_epoch = piece.shard_epoch
            state.staged = []
        if piece.offset == len(state.staged):
            state.staged.extend(piece.claims)
        received = len(state.staged)
        if received == piece.total:
            state.adopt(piece.shard_epoch, state.staged)
        return [self._create_installed(primary, piece, received)]

    def _create_installed(
        self,
        primary: claiming.MemberRef,
        piece: claiming.Install,
        received: int,
    ) -> effects.SendTo:
        message = claiming.Installed(
            piece.shard, piece.shard_epoch, received, received == piece.total
        )
        return effects.SendTo(primary, message)

    def _record_installed(
        self,
        backup: claiming.MemberRef,
        state: keeper_shard_state.ShardState,
        message: claiming.Installed,
    ) -> _Effects:
        if state.installed != state.config.epoch or backup in state.backups:
            return []
        state.received[backup] = max(
            message.received, state.received.get(backup, 0)
        )
        if not message.done:
            return [self._create_install(state, backup)]
        state.backups.add(backup)
        if len(state.backups) == len(state.config.keepers):
            state.snapshot = ()
        return self._serve_if_installed(state)

    def _serve_if_installed(
        self, state: keeper_shard_state.ShardState
    ) -> _Effects:
        if state.serving or len(state.backups) < state.majority:
            return []
        state.serving = True
        return [effects.ShardServing(state.config.number, state.config.epoch)]
