"""The keeper shard: the agents that replicate the claims of some job ids.

The job ids are divided into shards. A keeper is an agent that holds claims (who
owns which job) of a shard in memory.
"""

from __future__ import annotations

import typing as t

KEEPERS_PER_SHARD = 3


class KeeperRef(t.NamedTuple):
    """Identifies the agent incarnation that keeps claims.

    Attributes:
        name: The agent's name.
        incarnation: The incarnation whose memory holds the claims.
    """

    name: str
    incarnation: int


class KeeperShard(t.NamedTuple):
    """The keepers of one shard of the job-id space.

    Attributes:
        number: The shard's number, from 0.
        epoch: Incremented with each change of keepers; 0 before the first.
        keepers: The agents that keep the shard's claims, primary first:
            `KEEPERS_PER_SHARD`, or one while fewer agents are up; empty
            before the first agent is up.
        previous: The keepers of the previous epoch. The claims have to be
            copied from a majority of them. Empty once the directory records
            that the claims are copied, or if there is nothing to copy.
        horizon_ms: Claims of jobs whose ids are older than this may have been
            lost; wall clock, in milliseconds since the epoch.
    """

    number: int
    epoch: int
    keepers: tuple[KeeperRef, ...]
    previous: tuple[KeeperRef, ...]
    horizon_ms: int
