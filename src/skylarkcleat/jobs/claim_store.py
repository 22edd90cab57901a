"""Sends an entry's claims of jobs to the keepers that decide them."""

from __future__ import annotations

import abc

import xxhash

from skylarkcleat.jobs import effects
from skylarkcleat.model import keeper_shard
from skylarkcleat.protocol import claiming


class ClaimStore(abc.ABC):
    """The interface through which an entry has claims decided."""

    @abc.abstractmethod
    def propose(self, claim: claiming.Claim) -> list[effects.SendTo]:
        """Returns the messages that request a decision on a claim.

        The entry receives `Decided` or `ProposalRefused` in reply. Proposing
        the same claim again has no further effect.
        """


class KeeperClaimStore(ClaimStore):
    """Proposes claims to the keepers of the shards of job identifiers."""

    def __init__(self, shards: int):
        """Creates a store without shard configurations.

        Args:
            shards: The number of shards, the same at every member.
        """
        self._shards = shards
        self._configs: dict[int, keeper_shard.KeeperShard] = {}

    def configure(self, config: keeper_shard.KeeperShard) -> bool:
        """Records a shard's configuration if its epoch is newer.

        Returns:
            Whether the configuration was recorded.
        """
        known = self._configs.get(config.number)
        if known is not None and known.epoch >= config.epoch:
            return False
        self._configs[config.number] = config
        return True

    def propose(self, claim: claiming.Claim) -> list[effects.SendTo]:
        """Returns the message to the primary keeper; empty without keepers."""
        config = self._configs.get(find_shard(claim.job, self._shards))
        if config is None or not config.keepers:
            return []
        message = claiming.Propose(config.number, config.epoch, claim)
        primary = claiming.MemberRef(*config.keepers[0])
        return [effects.SendTo(primary, message)]


def find_shard(job: str, shards: int) -> int:
    """Returns the number of the shard that holds a job identifier.

    Args:
        job: The canonical job identifier.
        shards: The number of shards.
    """
    return xxhash.xxh64_intdigest(job.encode()) % shards
