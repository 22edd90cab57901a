"""Bounds on latency and waste from the project's aims.

Short runs of the benchmark's scenarios under virtual time.
"""

from __future__ import annotations

import functools

import pytest

from skylarkcleat.emulator import baselines
from skylarkcleat.emulator import figures
from skylarkcleat.emulator import scenarios
from skylarkcleat.emulator import simulation

SEED = 1
SPAN_S = 60.0
FAULT_SPAN_S = 24.0
LOADS = (0.5, 0.8, 0.9)


def run(scenario, policy=None):
    policy = policy or simulation.create_policy()
    outcome = simulation.simulate(
        scenario.jobs, scenario.runners, policy, SEED, scenario.faults
    )
    return outcome, scenario


@pytest.fixture(scope="module")
def steady():
    return {
        load: run(scenarios.create_steady(load, SPAN_S, SEED)) for load in LOADS
    }


@pytest.fixture(scope="module")
def without_flood():
    return run(scenarios.create_flood(0.5, SPAN_S, SEED, None))


@pytest.fixture(scope="module")
def faulty():
    @functools.cache
    def run_fault(name):
        faults = scenarios.create_faults(FAULT_SPAN_S)[name]
        return run(
            scenarios.create_steady(0.8, FAULT_SPAN_S, SEED, True, faults)
        )

    return run_fault


def test_holds_the_aims_against_the_central_queue(steady):
    central = figures.compare_runs([steady[0.8]]).central
    assert central.p50 <= 1.03
    assert central.p99 <= 0.90
    assert central.p999 <= 0.85


@pytest.mark.parametrize("load", LOADS)
def test_answers_all_with_little_waste(steady, load):
    outcome, scenario = steady[load]
    assert len(outcome.responses) == len(scenario.jobs)
    assert outcome.find_waste() <= 0.02


@pytest.mark.parametrize("load", LOADS)
@pytest.mark.parametrize(
    "policy", baselines.create_baselines(), ids=lambda policy: policy.name
)
def test_is_better_than_every_baseline(steady, load, policy):
    ours = figures.compare_runs([steady[load]]).central
    scenario = scenarios.create_steady(load, SPAN_S, SEED)
    theirs = figures.compare_runs([run(scenario, policy)]).central
    assert all(a < b for a, b in zip(ours, theirs, strict=True))


@pytest.mark.parametrize("urgency", [0, 9], ids=["least urgent", "most urgent"])
def test_other_work_keeps_its_service_during_a_flood(without_flood, urgency):
    with_flood = run(scenarios.create_flood(0.5, SPAN_S, SEED, urgency))
    impact = figures.compare_flood([with_flood], [without_flood])
    assert impact.goodput >= 0.98
    assert impact.ratios.p99 <= 1.25
    assert impact.waste <= 0.02


@pytest.mark.parametrize("name", list(scenarios.create_faults(FAULT_SPAN_S)))
def test_accounts_for_every_job_under_a_fault(faulty, name):
    outcome, scenario = faulty(name)
    faults = scenario.faults
    assert outcome.most_running <= scenarios.SLOTS
    assert outcome.leaked == 0
    ended = outcome.refused | outcome.failed | outcome.cancelled
    assert not ended & outcome.responses.keys()
    lost = len(scenario.jobs) - len(ended) - len(outcome.responses)
    assert lost == 0 or (faults.entry_losses and lost < 30)


@pytest.mark.parametrize("name", ["straggler", "entry lost", "flapping"])
def test_answers_nearly_all_under_a_fault_of_one(faulty, name):
    outcome, scenario = faulty(name)
    assert len(outcome.responses) >= 0.9 * len(scenario.jobs)


def test_the_same_seed_gives_the_same_figures():
    first, second = (
        run(scenarios.create_steady(0.8, 5.0, SEED))[0] for _ in range(2)
    )
    assert first == second
