"""Applies changes of keeper shards to the directory's state."""

from __future__ import annotations

from skylarkcleat.directory import command as command_lib
from skylarkcleat.directory import history as history_lib
from skylarkcleat.directory import result as result_lib
from skylarkcleat.directory import state as state_lib
from skylarkcleat.model import keeper_shard
from skylarkcleat.protocol import subscribing

_SHARD = subscribing.ChangeKind.SHARD


def update_shards(
    state: state_lib.State, command: command_lib.UpdateShards
) -> result_lib.Result:
    """Installs new keepers and records which shards completed their copy."""
    for ready in command.ready:
        shard = state.view.shards.get(ready.number)
        if shard and shard.epoch == ready.epoch and shard.previous:
            state.change(_SHARD, shard=shard._replace(previous=()))
    for shard in command.assigned:
        _assign(state, command.at_ms, shard)
    return result_lib.Accepted(state.view.revision)


def _assign(
    state: state_lib.State, at_ms: int, shard: keeper_shard.KeeperShard
) -> None:
    current = state.view.shards.get(shard.number)
    if current is None or shard.epoch != current.epoch + 1:
        return
    state.change(_SHARD, shard=shard)
    if shard.horizon_ms == current.horizon_ms:
        return
    lost = ", ".join(
        f"{ref.name} incarnation {ref.incarnation}" for ref in current.keepers
    )
    state.record(
        at_ms,
        history_lib.Verb.CLAIMS_LOST,
        f"shard {shard.number}",
        state_lib.SYSTEM,
        f"a majority of the keepers {lost} is gone; "
        f"job ids before {shard.horizon_ms} are unknown",
    )
