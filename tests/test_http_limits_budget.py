"""Which connections are closed while a process holds too much."""

from __future__ import annotations

import pytest

from skylarkcleat.http_limits import budget as budget_lib
from skylarkcleat.http_limits import holding as holding_lib
from skylarkcleat.http_limits import limits as limits_lib
from skylarkcleat.http_limits import line_rate
from skylarkcleat.http_limits import phase as phase_lib
from skylarkcleat.http_limits import reason as reason_lib

Phase = phase_lib.Phase
Reason = reason_lib.Reason
BALANCER = "10.0.0.1"


@pytest.fixture
def budget():
    return budget_lib.Budget(limits_lib.Limits(held_bytes=1000, connections=8))


def open_body(budget, address, size, at, is_proven=True):
    holding = budget.open(address, at)
    if is_proven:
        holding.source.prove(at)
    holding.begin(Phase.BODY, at)
    budget.hold(holding, size)
    return holding


def test_closes_first_what_held_longest_without_progress(budget):
    # Guards against closing the client that happens to exceed the budget.
    old = open_body(budget, "a", 400, at=0.0)
    open_body(budget, "b", 400, at=4.9)
    new = open_body(budget, "c", 300, at=5.0)
    assert budget.is_over(new, 5.0)
    assert budget.choose(new, 5.0) == [(old, Reason.HELD_BYTES)]


def test_single_bytes_are_no_progress(budget):
    # Guards against clients that send a byte now and then.
    old = open_body(budget, "a", 600, at=0.0)
    old.progress(1, 4.9)
    new = open_body(budget, "b", 600, at=4.5)
    assert [each.holding for each in budget.choose(new, 5.0)] == [old]


def test_open_requests_are_never_closed(budget):
    # Guards against a complete request that is cut off for others.
    for _ in range(7):
        holding = open_body(budget, BALANCER, 200, at=0.0)
        holding.begin(Phase.OPEN, 0.0)
        holding.open_requests = 1
    new = open_body(budget, "b", 10, at=5.0)
    chosen = budget.choose(new, 5.0)
    assert [each.holding for each in chosen] == [new]


def test_silent_connections_go_before_kept_ones(budget):
    # Guards against idle connections of the load balancer being closed first.
    for _ in range(5):
        budget.open(BALANCER, 0.0).is_used = True
    budget.open(BALANCER, 0.0).source.prove(1.0)
    silent = [budget.open(f"s{n}", 2.0) for n in range(3)]
    chosen = [each.holding for each in budget.choose(silent[-1], 3.0)]
    assert all(not holding.is_used for holding in chosen)


@pytest.mark.parametrize(("is_proven", "closed"), [(False, 1), (True, 0)])
def test_only_addresses_without_a_complete_request_have_a_share(
    budget, is_proven, closed
):
    # Guards against a load balancer being taken for a flood.
    for _ in range(5):
        last = open_body(budget, BALANCER, 1, 0.0, is_proven)
    assert budget.is_over(last, 0.0) == bool(closed)
    assert len(budget.choose(last, 0.0)) == closed


def test_closed_connections_hold_nothing(budget):
    # Guards against a budget that leaks until nobody is served.
    holding = open_body(budget, "a", 400, at=0.0)
    budget.close(holding)
    budget.close(holding)
    assert (budget.held_bytes, budget.connections) == (0, 0)


@pytest.mark.parametrize(
    ("phase", "age_s", "reason"),
    [
        (Phase.HEAD, 3.5, None),
        (Phase.HEAD, 6, Reason.HEAD_TIMEOUT),
        (Phase.BODY, 16, None),
        (Phase.BODY, 21, Reason.BODY_TIMEOUT),
        (Phase.IDLE, 16, None),
        (Phase.IDLE, 61, Reason.IDLE_TIMEOUT),
        (Phase.OPEN, 600, None),
    ],
)
def test_timeouts_are_longer_than_what_clients_may_take(
    budget, phase, age_s, reason
):
    holding = budget.open("a", 0.0)
    holding.begin(phase, 0.0)
    holding.open_requests = int(phase is Phase.OPEN)
    assert holding.find_overdue(age_s) is reason


def test_bytes_count_as_progress_together(budget):
    holding = open_body(budget, "a", 1, at=0.0)
    holding.progress(holding_lib.PROGRESS_BYTES - 1, 1.0)
    assert holding.progressed_at == 0.0
    holding.progress(1, 2.0)
    assert holding.progressed_at == 2.0


def test_line_rate_refills():
    rate = line_rate.LineRate(burst=10, per_s=5, now=0.0)
    assert rate.take(10, 0.0)
    assert not rate.take(1, 0.1)
    assert rate.take(5, 1.1)


def test_small_vms_get_the_least_budgets():
    limits = limits_lib.derive_limits(memory_mb=1, max_fds=1)
    assert limits.held_bytes >= 2 * limits_lib.CONTROL_BODY_BYTES
    assert limits.connections == limits_lib.MIN_CONNECTIONS
