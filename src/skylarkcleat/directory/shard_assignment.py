"""Assigns agents to keep the claims of each shard of the job-id space.

A claim records that a job id is taken. Each shard has some agents as keepers,
the first of which is the primary; a majority of them has to hold a claim. A
shard's epoch grows by one with each change of its keepers. Ids before a
shard's horizon may have been claimed by keepers whose claims were lost.
"""

from __future__ import annotations

import collections
import math
import typing as t

import xxhash

from skylarkcleat.directory import freshness
from skylarkcleat.jobs import retention
from skylarkcleat.model import keeper_shard
from skylarkcleat.model import member as member_lib

# The remaining shards wait for the next round, so that one round does not
# delay the leader's other work.
MAX_CHANGES_PER_ROUND = 32
# How far past the leader's clock an id may lie that lost keepers granted:
# keepers that are partitioned continue until their lease expires, and accept
# ids ahead of their own clock, which may itself be ahead of the leader's.
MAX_ID_LEAD_MS = (
    math.ceil(1000 * freshness.CONFIG_LEASE_S * (1 + freshness.MAX_CLOCK_DRIFT))
    + 2 * retention.MAX_SKEW_MS
)
# A keeper may hold this multiple of the mean number of shards before some of
# them move to other agents.
_LOAD_SLACK = 1.25
_HASH_RANGE = 1 << 64

_Ref = keeper_shard.KeeperRef
_Shard = keeper_shard.KeeperShard


def assign_shards(
    members: t.Iterable[member_lib.Member],
    table: t.Iterable[_Shard],
    now_ms: int,
    lost: t.Collection[int] = frozenset(),
) -> tuple[_Shard, ...]:
    """Returns the shards whose keepers have to change, at their next epoch.

    A keeper is replaced when it is leaving or no longer a member, when its
    zone is shared and another zone is available, or when it keeps far more
    shards than the others; the other keepers stay, in their order. A shard
    that still copies claims is not changed. A shard that lost a majority of
    its keepers, or of those that it copies from, is reset: it copies nothing
    and its horizon moves past every id that they can have granted.

    Args:
        members: The members; agents that are up become keepers.
        table: The current shards.
        now_ms: The wall clock, in milliseconds since the epoch.
        lost: Numbers of shards whose keepers could not collect the claims.
    """
    shards = list(table)
    agents = _Agents(members, shards)
    if not agents.zones:
        return ()
    changed = []
    for shard in shards:
        if len(changed) == MAX_CHANGES_PER_ROUND:
            break
        if shard.number in lost or _has_lost(shard, agents.alive):
            next_epoch = _reset(shard, agents, now_ms)
        else:
            next_epoch = _find_next_epoch(shard, agents)
        if next_epoch is not None:
            agents.move(shard.keepers, next_epoch.keepers)
            changed.append(next_epoch)
    return tuple(changed)


def count_at_risk(
    members: t.Iterable[member_lib.Member], table: t.Iterable[_Shard]
) -> int:
    """Returns how many shards would lose claims with one more agent.

    These are shards with one keeper or none, with a keeper that is down, or
    whose claims are still copied from such keepers.

    Args:
        members: The members.
        table: The current shards.
    """
    alive = {_Ref(member.name, member.incarnation) for member in members}
    return sum(_has_lost(shard, alive, others=1) for shard in table)


class _Agents:
    """The available agents by zone, and how many shards each keeps."""

    def __init__(
        self,
        members: t.Iterable[member_lib.Member],
        shards: t.Sequence[_Shard],
    ):
        self.zones: dict[str, list[_Ref]] = collections.defaultdict(list)
        self.zone_of: dict[_Ref, str] = {}
        self.alive: set[_Ref] = set()
        self._tokens: dict[_Ref, bytes] = {}
        self._load = collections.Counter(
            ref for shard in shards for ref in shard.keepers
        )
        for member in members:
            if member.role is member_lib.Role.AGENT:
                self._add(member)
        mean = len(shards) * keeper_shard.KEEPERS_PER_SHARD
        mean /= max(1, len(self.zone_of))
        self._cap = math.ceil(mean * _LOAD_SLACK)

    def _add(self, member: member_lib.Member) -> None:
        ref = _Ref(member.name, member.incarnation)
        self.alive.add(ref)
        if member.state is member_lib.MemberState.UP:
            self.zones[member.zone].append(ref)
            self.zone_of[ref] = member.zone
            self._tokens[ref] = f"{ref.name}/{ref.incarnation}".encode()

    def is_overloaded(self, ref: _Ref) -> bool:
        return self._load[ref] > self._cap

    def has_room(self, ref: _Ref) -> bool:
        return self._load[ref] < self._cap

    def score(self, number: int, ref: _Ref) -> tuple[bool, int]:
        """Returns an agent's score for a shard; the highest is chosen."""
        return self.has_room(ref), _hash(number, self._tokens[ref])

    def move(self, old: t.Iterable[_Ref], new: t.Iterable[_Ref]) -> None:
        self._load.subtract(old)
        self._load.update(new)


def _reset(shard: _Shard, agents: _Agents, now_ms: int) -> _Shard:
    # This leader's clock may be behind that of the previous leader, and a
    # horizon must never decrease.
    horizon_ms = max(now_ms + MAX_ID_LEAD_MS, shard.horizon_ms + 1)
    keepers = _choose_keepers(shard, _list_retained(shard, agents), agents)
    return _Shard(shard.number, shard.epoch + 1, keepers, (), horizon_ms)


def _find_next_epoch(shard: _Shard, agents: _Agents) -> _Shard | None:
    if shard.previous:
        return None
    retained = _list_retained(shard, agents)
    keepers = _choose_keepers(shard, retained, agents)
    if set(keepers) == set(shard.keepers) and keepers[:1] == shard.keepers[:1]:
        return None
    if not _is_worthwhile(shard, retained, keepers, agents):
        return None
    return _Shard(
        shard.number,
        shard.epoch + 1,
        keepers,
        shard.keepers,
        shard.horizon_ms,
    )


def _is_worthwhile(
    shard: _Shard,
    retained: t.Collection[_Ref],
    keepers: t.Collection[_Ref],
    agents: _Agents,
) -> bool:
    """Returns whether the new keepers should replace the current ones.

    A move only for load is useless if a new keeper has no room either.
    """
    dropped = [ref for ref in shard.keepers if ref not in retained]
    for_load = all(
        ref in agents.zone_of and agents.is_overloaded(ref) for ref in dropped
    )
    if not dropped or not for_load:
        return True
    return all(agents.has_room(ref) for ref in keepers if ref not in retained)


def _has_lost(
    shard: _Shard, alive: t.Collection[_Ref], others: int = 0
) -> bool:
    """Returns whether a majority is gone of the keepers or of their sources.

    Args:
        shard: The shard.
        alive: The agents that are members.
        others: How many more of each count as gone.
    """
    return any(
        2 * (others + sum(ref not in alive for ref in refs)) > len(refs)
        for refs in (shard.keepers, shard.previous or shard.keepers)
    )


def _list_retained(shard: _Shard, agents: _Agents) -> tuple[_Ref, ...]:
    """Returns the keepers that need no replacement.

    At most one overloaded keeper is dropped at a time, and only while all
    keepers are up. Keepers in a zone that another one is in are dropped
    while a zone without a keeper is available.
    """
    up = [ref for ref in shard.keepers if ref in agents.zone_of]
    overloaded = [ref for ref in up if agents.is_overloaded(ref)]
    if len(up) == len(shard.keepers) and overloaded:
        up.remove(overloaded[-1])
    reachable = min(keeper_shard.KEEPERS_PER_SHARD, len(agents.zones))
    zones = {agents.zone_of[ref] for ref in up}
    if len(zones) == len(up) or len(zones) >= reachable:
        return tuple(up)
    return _drop_shared_zones(up, agents)


def _drop_shared_zones(
    refs: t.Sequence[_Ref], agents: _Agents
) -> tuple[_Ref, ...]:
    first_of_zone: dict[str, _Ref] = {}
    for ref in refs:
        first_of_zone.setdefault(agents.zone_of[ref], ref)
    return tuple(first_of_zone.values())


def _choose_keepers(
    shard: _Shard, retained: tuple[_Ref, ...], agents: _Agents
) -> tuple[_Ref, ...]:
    """Completes the keepers by rendezvous hashing, from unused zones first.

    With too few agents for a full set, the current keepers stay while a
    majority of them is up; otherwise a single agent keeps the shard.
    """
    wanted = keeper_shard.KEEPERS_PER_SHARD
    if len(agents.zone_of) < wanted:
        up = [ref for ref in shard.keepers if ref in agents.zone_of]
        if 2 * len(up) > len(shard.keepers) > 0:
            return _ensure_live_primary(shard, up)
        wanted = 1
        retained = tuple(up[:1])
    chosen = list(retained)
    while len(chosen) < wanted:
        chosen.append(_choose_next(shard.number, chosen, agents))
    return tuple(chosen)


def _ensure_live_primary(
    shard: _Shard, up: t.Sequence[_Ref]
) -> tuple[_Ref, ...]:
    """Returns the same keepers with one that is up as the primary.

    The primary decides claims, so one that is down or leaving would block
    the shard.
    """
    if shard.keepers[0] in up:
        return shard.keepers
    others = [ref for ref in shard.keepers if ref != up[0]]
    return (up[0], *others)


def _choose_next(
    number: int, chosen: t.Sequence[_Ref], agents: _Agents
) -> _Ref:
    used = {agents.zone_of[ref] for ref in chosen}
    unused = [zone for zone in agents.zones if zone not in used]
    if unused:
        zone = max(
            unused,
            key=lambda zone: (
                any(map(agents.has_room, agents.zones[zone])),
                _score_zone(number, zone, agents),
            ),
        )
        candidates = agents.zones[zone]
    else:
        candidates = [ref for ref in agents.zone_of if ref not in chosen]
    return max(candidates, key=lambda ref: agents.score(number, ref))


def _score_zone(number: int, zone: str, agents: _Agents) -> float:
    """Returns a zone's weighted rendezvous score.

    Its share of the shards is in proportion to its number of agents.
    """
    uniform = (_hash(number, zone.encode()) + 1) / (_HASH_RANGE + 1)
    return -len(agents.zones[zone]) / math.log(uniform)


def _hash(number: int, token: bytes) -> int:
    return xxhash.xxh3_64_intdigest(token, seed=number)
