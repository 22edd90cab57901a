"""A short seeded run of the soak; `python -m tests.soak` runs long ones."""

from __future__ import annotations

import pytest

from tests import soak as soak_lib

LENGTH_S = 10.0

SEEDS = {
    # SIGHUP ended a process that had just started and had no handler yet.
    1: "hang-up while a process starts",
    5: "",
}
"""The seeds, with what each of them once broke."""


@pytest.mark.timeout(120)
@pytest.mark.parametrize("seed", SEEDS)
def test_promises_hold_under_overlapping_faults(seed, tmp_path, worker_block):
    run = soak_lib.soak(seed, tmp_path, worker_block, LENGTH_S)
    assert run.violations == [], run.faults
    assert len(run.verdicts) > 50
