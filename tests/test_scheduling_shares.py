"""Properties of shares and admission, for any load that queues may bring."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from skylarkcleat.configuration import content
from skylarkcleat.protocol import scheduling
from skylarkcleat.scheduling import active_job
from skylarkcleat.scheduling import backlog as backlog_lib
from skylarkcleat.scheduling import capacity_shares
from skylarkcleat.scheduling import job_forecast
from skylarkcleat.scheduling import offer_result
from skylarkcleat.scheduling import policy as policy_lib

SHARED = policy_lib.Policy(shares_capacity=True)
DEMANDS = st.lists(
    st.builds(
        capacity_shares.Demand,
        st.integers(0, 9).map(capacity_shares.find_weight),
        st.floats(0, 1e4),
    ),
    min_size=1,
    max_size=6,
)


@given(capacity=st.floats(1, 1e4), demands=DEMANDS)
def test_capacity_is_shared_by_weight_and_none_is_left_unused(
    capacity, demands
):
    """Guards against queues that starve, and against lost capacity."""
    parts = capacity_shares.fill(capacity, demands)
    asked = sum(demand.rate for demand in demands)
    assert sum(parts) == pytest.approx(min(capacity, asked))
    weights = sum(demand.weight for demand in demands)
    for demand, part in zip(demands, parts, strict=True):
        guaranteed = capacity * demand.weight / weights
        assert part >= min(demand.rate, guaranteed) * 0.999
        assert part <= demand.rate


def _create_job(number, priority, tasks, at):
    queue = content.Queue(
        f"q{priority}", "h", "/p/", "desk", 1500, 60, priority, 4, 1.6
    )
    step = scheduling.Step(tasks, 1000, 64, 0, 100)
    job = scheduling.Job(f"{number:016x}", "spec", (step,))
    return active_job.ActiveJob(job, queue, at, [0.1])


@given(
    jobs=st.lists(
        st.tuples(st.integers(0, 3), st.integers(1, 8)), min_size=1, max_size=20
    ),
    cores=st.floats(0.1, 50),
)
def test_every_job_is_offered_room_that_it_fits_into(jobs, cores):
    """No task waits beside free room, however short the capacity is."""
    backlog = backlog_lib.Backlog(SHARED)
    for number, (priority, tasks) in enumerate(jobs):
        backlog.add(_create_job(number, priority, tasks, 0.1))
        backlog.review(0.1 + number / 100, {"desk": cores})
    backlog.place(0.1, lambda _: offer_result.OfferResult.PLACED)
    assert not len(backlog)


@given(
    jobs=st.lists(
        st.tuples(st.integers(0, 3), st.integers(1, 8)), min_size=1, max_size=40
    ),
    cores=st.floats(0.1, 50),
)
def test_a_refusal_leaves_work_for_all_runners_and_nothing_that_runs(
    jobs, cores
):
    """Guards against idle runners after a refusal, and against false ones."""
    backlog = backlog_lib.Backlog(SHARED)
    waiting = []
    for number, (priority, tasks) in enumerate(jobs):
        waiting.append(_create_job(number, priority, tasks, 0.0))
        waiting[-1].started = number % 5 == 0
        backlog.add(waiting[-1])
        backlog.review(number / 100, {"desk": cores})
    now = 0.2
    backlog.review(now, {"desk": cores})
    surplus = backlog.list_surplus(now)
    if surplus:
        kept = [job for job in waiting if job not in surplus]
        left = sum(job.find_waiting_core_s() for job in kept)
        assert left >= backlog_lib.HELD_BRIEFLY_S * cores
    assert not any(job.started or job.latest_start >= now for job in surplus)


def test_the_line_about_a_job_tells_its_forecast_and_what_came_of_it():
    """Guards against a wait that no line explains."""
    backlog = backlog_lib.Backlog(SHARED)
    for number in range(400):
        backlog.add(_create_job(number, 0, 8, number / 1000))
        backlog.review(number / 1000, {"desk": 1.0})
    last = _create_job(400, 0, 8, 0.4)
    backlog.add(last)
    backlog.review(0.4, {"desk": 1.0})
    fields = job_forecast.describe(last.forecast, 0.25)
    assert fields["admission"] == "deferred"
    assert fields["queue_rate"] == pytest.approx(1.0)
    assert fields["forecast_wait_ms"] > 0
    assert fields["waited_ms"] == 250
    assert job_forecast.describe(None, None) == {}


def _overload(factor, policy, jobs=100):
    """Returns a backlog whose queue asks for so many times the capacity."""
    backlog = backlog_lib.Backlog(policy)
    cores = 0.8 * 100 / factor
    for number in range(jobs):
        now = number / 100
        backlog.add(_create_job(number, number % 3, 8, now))
        backlog.review(now, {"desk": cores})
    return backlog, cores


@pytest.mark.parametrize(
    ("factor", "policy", "is_shared"),
    [
        (1.4, SHARED, False),
        (2.2, SHARED, True),
        (2.2, policy_lib.DEFAULT, False),
    ],
)
def test_shares_are_applied_only_where_asked_for_and_in_a_deep_shortage(
    factor, policy, is_shared
):
    """Guards against refusals that slight overloads don't need.

    A deployment refused 30 jobs in a second for others that were served in
    time without.
    """
    backlog, cores = _overload(factor, policy)
    last = _create_job(999, 2, 8, 0.99)
    backlog.add(last)
    backlog.review(1.0, {"desk": cores})
    is_deferred = last.forecast.admission is job_forecast.Admission.DEFERRED
    assert is_deferred == is_shared
    order = []

    def record(job):
        order.append(job.submitted_at)
        return offer_result.OfferResult.PLACED

    backlog.place(1.4, record)
    assert order == sorted(order, reverse=is_shared)
