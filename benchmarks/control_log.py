"""A model of claims that are decided by a replicated log with syncs."""

from __future__ import annotations

import random

from benchmarks import claim_network

SYNC_S = 0.005
ONE_WAY_S = 0.001
REPLICAS = 3


def simulate(jobs: int, rate: float, seed: int) -> claim_network.Delays:
    """Simulates the delays of claims that share syncs.

    The leader syncs one batch at a time while a follower receives, syncs and
    acknowledges it; a claim that arrives meanwhile goes into the next batch.

    Args:
        jobs: The number of jobs.
        rate: The arrival rate, in jobs a second; arrivals are random.
        seed: The seed of the arrivals.
    """
    rng = random.Random(seed)
    at = 0.0
    arrivals = []
    for _ in range(jobs):
        at += rng.expovariate(rate)
        arrivals.append(at + ONE_WAY_S)
    delays = []
    batches = 0
    free_at = 0.0
    index = 0
    while index < jobs:
        begin = max(free_at, arrivals[index])
        end = index
        while end < jobs and arrivals[end] <= begin:
            end += 1
        free_at = begin + SYNC_S
        decided = begin + ONE_WAY_S + SYNC_S + ONE_WAY_S
        for arrival in arrivals[index:end]:
            delays.append(decided + ONE_WAY_S - (arrival - ONE_WAY_S))
        batches += 1
        index = end
    messages = 2 * jobs + 2 * (REPLICAS - 1) * batches
    return claim_network.Delays(delays, messages)
