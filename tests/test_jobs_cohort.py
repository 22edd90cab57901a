"""Tests of the choice of cohorts and of the interning of claims."""

from __future__ import annotations

import random

import pytest

from skylarkcleat.jobs import cohort as cohort_lib
from skylarkcleat.jobs import interning
from skylarkcleat.protocol import claiming


def create_agents(count):
    return [claiming.MemberRef(f"agent-{i}", 1) for i in range(count)]


@pytest.mark.parametrize(
    ("agents", "tasks", "size"),
    [(10, 20, 10), (1000, 1, 16), (1000, 20, 16), (1000, 480, 120)],
)
def test_a_cohort_is_as_large_as_the_job_needs(agents, tasks, size):
    for seed in range(50):
        rng = random.Random(seed)
        chosen = cohort_lib.choose_cohort(create_agents(agents), tasks, rng)
        assert len(set(chosen)) == len(chosen) == size


def test_agents_are_chosen_equally_often():
    agents = create_agents(64)
    rng = random.Random(1)
    counts = dict.fromkeys(agents, 0)
    for _ in range(1600):
        for agent in cohort_lib.choose_cohort(agents, 20, rng):
            counts[agent] += 1
    assert min(counts.values()) > 300
    assert max(counts.values()) < 500


def test_equal_parts_of_claims_are_interned():
    parts = interning.Interner()

    def intern(job):
        agents = tuple(create_agents(3))
        claim = claiming.Claim(
            job, 1, "d", claiming.MemberRef("e", 1), "a", 1, agents, 1, "p"
        )
        shared = parts.intern_claim(claim)
        assert shared == claim
        return shared

    first, second = intern("1"), intern("2")
    assert first.cohort is second.cohort
    assert first.owner is second.owner
