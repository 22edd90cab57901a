"""Tests of decisions of claims and of their transfer between keepers."""

from __future__ import annotations

import pytest

from skylarkcleat.jobs import effects
from skylarkcleat.jobs import keeper as keeper_lib
from skylarkcleat.jobs import retention
from skylarkcleat.model import failure as failure_lib
from skylarkcleat.model import job_id
from skylarkcleat.model import keeper_shard
from skylarkcleat.protocol import claiming

NOW_MS = 1_764_800_000_000
ENTRY = claiming.MemberRef("entry-1", 1)
OTHER = claiming.MemberRef("entry-2", 1)
REFS = tuple(claiming.MemberRef(f"agent-{i}", 1) for i in range(5))
COHORT = (claiming.MemberRef("agent-9", 1),)


class Shard:
    """Keepers that exchange messages immediately unless partitioned."""

    def __init__(self):
        self.keepers = {}
        self.partitioned = set()
        self.now = 0.0
        self.inbox = {}
        self.events = []
        for ref in REFS:
            self.keepers[ref] = keeper_lib.Keeper(ref, claims_per_message=2)
            self.keepers[ref].extend_lease(100.0)

    def configure(self, epoch, keepers, previous, horizon_ms=0, to=REFS):
        config = keeper_shard.KeeperShard(
            0, epoch, keepers, previous, horizon_ms
        )
        for ref in to:
            self.deliver(ref, self.keepers[ref].configure(config))
        self.tick()

    def propose(self, primary, epoch, claim, now=0.0):
        message = claiming.Propose(0, epoch, claim)
        self.send(claim.owner, primary, message, now)
        return self.inbox.pop(claim.owner, [None])[-1]

    def tick(self, now_ms=NOW_MS):
        self.now += 1.0
        for ref, keeper in self.keepers.items():
            if ref not in self.partitioned:
                self.deliver(ref, keeper.tick(self.now, now_ms), self.now)

    def send(self, sender, to, message, now=0.0):
        if sender in self.partitioned or to in self.partitioned:
            return
        if to not in self.keepers:
            self.inbox.setdefault(to, []).append(message)
            return
        out = self.keepers[to].handle(sender, message, now, NOW_MS)
        self.deliver(to, out, now)

    def deliver(self, sender, out, now=0.0):
        for effect in out:
            if isinstance(effect, effects.SendTo):
                self.send(sender, effect.member, effect.message, now)
            else:
                self.events.append(effect)


@pytest.fixture
def shard():
    made = Shard()
    made.configure(1, REFS[:3], ())
    return made


def claim_of(owner=ENTRY, epoch=1, digest="d", at_ms=NOW_MS, **parts):
    job = parts.pop("job", None) or job_id.create_job_id(at_ms).text
    claim = claiming.Claim(
        job, epoch, digest, owner, "tcp://1", 1, COHORT, 4, "p"
    )
    return claim._replace(**parts)


def test_the_first_claim_wins(shard):
    first = claim_of()
    second = claim_of(OTHER, job=first.job)
    assert shard.propose(REFS[0], 1, first).claim == first
    assert shard.propose(REFS[0], 1, second).claim == first
    assert shard.propose(REFS[0], 1, first).claim == first


def test_a_claim_is_not_decided_without_a_majority(shard):
    shard.partitioned = set(REFS[1:3])
    claim = claim_of()
    assert shard.propose(REFS[0], 1, claim) is None
    shard.partitioned = {REFS[1]}
    shard.tick()
    assert shard.inbox[ENTRY] == [claiming.Decided(claim)]


@pytest.mark.parametrize(
    "change",
    [
        {"epoch": 3},
        {"digest": "other"},
        {"cohort": ()},
        {"tasks": 5},
        {"epoch": 1},
    ],
)
def test_a_claim_that_cannot_follow_gets_the_current_claim(shard, change):
    first = claim_of()
    shard.propose(REFS[0], 1, first)
    later = first._replace(owner=OTHER, epoch=2)
    assert shard.propose(REFS[0], 1, later._replace(**change)).claim == first
    assert shard.propose(REFS[0], 1, later).claim == later


def test_nothing_follows_a_closed_claim(shard):
    closed = claim_of(closed="overloaded")
    shard.propose(REFS[0], 1, closed)
    later = closed._replace(owner=OTHER, epoch=2, closed=None)
    assert shard.propose(REFS[0], 1, later).claim == closed


def test_an_unresponsive_backup_is_not_sent_to_at_every_tick(shard):
    keeper = shard.keepers[REFS[0]]
    shard.partitioned = set(REFS[1:3])
    shard.propose(REFS[0], 1, claim_of())
    sent = [len(keeper.tick(50.0 + i / 100, NOW_MS)) for i in range(26)]
    assert sent == [2] + [0] * 24 + [2]


def test_the_next_epoch_starts_from_a_majority(shard):
    claims = [claim_of() for _ in range(7)]
    for claim in claims:
        shard.propose(REFS[0], 1, claim)
    shard.partitioned = {REFS[0]}
    shard.configure(2, REFS[1:4], REFS[:3], to=REFS[1:])
    assert effects.ShardServing(0, 2) in shard.events
    for claim in claims:
        rival = claim._replace(owner=OTHER)
        assert shard.propose(REFS[1], 2, rival).claim == claim
    assert set(shard.keepers[REFS[3]].shards[0].claims) == {
        claim.job for claim in claims
    }


def test_a_keeper_that_is_no_longer_copied_from_drops_its_claims(shard):
    shard.propose(REFS[0], 1, claim_of())
    shard.configure(2, REFS[1:4], REFS[:3])
    assert 0 in shard.keepers[REFS[0]].shards
    copied = keeper_shard.KeeperShard(0, 2, REFS[1:4], (), 0)
    for ref in REFS:
        assert shard.keepers[ref].configure(copied) == []
    assert 0 not in shard.keepers[REFS[0]].shards
    assert shard.keepers[REFS[1]].shards[0].serving


def test_the_primary_of_an_earlier_epoch_stops_deciding(shard):
    shard.configure(2, REFS[1:4], REFS[:3], to=REFS[1:])
    assert isinstance(
        shard.propose(REFS[0], 1, claim_of()), claiming.Redirect | None
    )
    assert not shard.keepers[REFS[0]].shards[0].serving


def test_an_entry_with_an_earlier_epoch_is_redirected(shard):
    shard.configure(2, REFS[:3], REFS[:3])
    claim = claim_of()
    answer = shard.propose(REFS[0], 1, claim)
    assert answer == claiming.Redirect(claim.job, 0, 2)


def test_an_epoch_without_a_majority_of_the_one_before_does_not_serve(shard):
    shard.partitioned = set(REFS[:2])
    shard.configure(2, REFS[2:5], REFS[:3], to=REFS[2:])
    shard.tick()
    assert effects.ShardServing(0, 2) not in shard.events


def test_claims_that_no_keeper_has_installed_are_reported_lost(shard):
    shard.partitioned = {REFS[0], REFS[1], REFS[2]}
    shard.configure(2, REFS[2:5], REFS[:3], to=REFS[3:])
    shard.configure(3, REFS[3:5], REFS[2:5], to=REFS[3:])
    shard.tick()
    assert shard.events[-1] == effects.ShardLost(0, 3)
    assert shard.propose(REFS[3], 3, claim_of()).shard_epoch == 3


def test_claims_of_identifiers_before_the_horizon_are_refused(shard):
    shard.configure(2, REFS[2:5], (), horizon_ms=NOW_MS)
    refused = shard.propose(REFS[2], 2, claim_of(at_ms=NOW_MS))
    assert refused.failure.outcome is failure_lib.Outcome.UNKNOWN
    later = claim_of(at_ms=NOW_MS + 1)
    assert shard.propose(REFS[2], 2, later).claim == later


def test_nothing_is_decided_after_lease_expiry(shard):
    answer = shard.propose(REFS[0], 1, claim_of(), now=100.0)
    assert isinstance(answer, claiming.Redirect)


@pytest.mark.parametrize(
    "at_ms",
    [
        NOW_MS - retention.ACCEPT_AGE_MS - 1,
        NOW_MS + retention.MAX_SKEW_MS + 1,
    ],
)
def test_identifiers_outside_the_accepted_time_are_refused(shard, at_ms):
    refused = shard.propose(REFS[0], 1, claim_of(at_ms=at_ms))
    assert refused.failure.outcome is failure_lib.Outcome.UNKNOWN


def test_claims_are_forgotten_once_their_identifiers_are_refused(shard):
    shard.propose(REFS[0], 1, claim_of())
    shard.tick(now_ms=NOW_MS + retention.ACCEPT_AGE_MS)
    assert [len(shard.keepers[ref].shards[0].claims) for ref in REFS[:3]] == [
        1,
        1,
        1,
    ]
    shard.tick(now_ms=NOW_MS + retention.FORGET_AGE_MS + 1000)
    assert not any(shard.keepers[ref].shards[0].claims for ref in REFS[:3])


def test_a_claim_of_a_later_epoch_without_the_first_is_refused(shard):
    refused = shard.propose(REFS[0], 1, claim_of(epoch=2))
    assert refused.failure.outcome is failure_lib.Outcome.UNKNOWN
