"""Checks the invariants of the job protocol and that the checks detect faults.

Random walks and scenarios must pass with the real protocol. With any one rule
left out, they must detect a second start or a false `NOT_RUN`.
"""

from __future__ import annotations

import pytest

from tests import jobs_faults
from tests import jobs_scenarios
from tests import jobs_walk

WALKS = 800

VIOLATION = "a second start|a start after not-run|not-run is false|two bodies"

SCENARIOS = {
    jobs_faults.refuse_without_tombstone: (
        jobs_scenarios.refused_dispatch_is_repeated
    ),
    jobs_faults.revoke_only_received_attempts: (
        jobs_scenarios.revoke_overtakes_dispatch
    ),
    jobs_faults.merge_any_copies: (
        jobs_scenarios.one_of_three_keepers_is_reachable
    ),
    jobs_faults.decide_without_majority: (
        jobs_scenarios.primary_fails_before_replicating
    ),
    jobs_faults.ignore_lease: jobs_scenarios.keepers_run_on_after_lease_expiry,
    jobs_faults.accept_reports_of_earlier_epochs: (
        jobs_scenarios.reports_arrive_an_epoch_late
    ),
    jobs_faults.merge_uninstalled_copies: (
        jobs_scenarios.an_uninstalled_copy_is_collected
    ),
}
WALKED = tuple(fault for fault in jobs_faults.FAULTS if fault not in SCENARIOS)


def get_name(function):
    return function.__name__


def walk_all():
    for seed in range(WALKS):
        jobs_walk.walk(seed)


def test_the_invariants_hold_in_every_walk():
    walk_all()


@pytest.mark.parametrize("fault", WALKED, ids=get_name)
def test_a_walk_catches(fault, monkeypatch):
    fault(monkeypatch)
    with pytest.raises(AssertionError, match=VIOLATION):
        walk_all()


@pytest.mark.parametrize("scenario", SCENARIOS.values(), ids=get_name)
def test_the_invariants_hold_when(scenario):
    scenario()


@pytest.mark.parametrize("fault", SCENARIOS, ids=get_name)
def test_a_scenario_catches(fault, monkeypatch):
    fault(monkeypatch)
    with pytest.raises(AssertionError, match=VIOLATION):
        SCENARIOS[fault]()
