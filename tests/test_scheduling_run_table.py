from __future__ import annotations

import pytest

from skylarkcleat.protocol import leasing
from skylarkcleat.scheduling import lease
from skylarkcleat.scheduling import local_run
from skylarkcleat.scheduling import probe_result
from skylarkcleat.scheduling import run_table as run_table_lib

RUNNER = leasing.Runner("i-1", 7, "desk", 2000, 1024, 0, ("a",), False)


def _order(task="t", run=1, cpu=1000):
    return leasing.Start(5, task, run, "spec", cpu, 64, 0)


def _probe(asked_at, running=(), ends=(), answered_at=None):
    answered_at = asked_at if answered_at is None else answered_at
    clock_ms = round(answered_at * 1000)
    return probe_result.ProbeResult(
        asked_at, answered_at, clock_ms, tuple(running), tuple(ends)
    )


def _end(number, task="t", run=1, ending=leasing.Ending.DONE):
    return leasing.End(number, task, run, ending)


@pytest.fixture
def run_table():
    made = run_table_lib.RunTable()
    made.runner = RUNNER
    return made


def test_admits_tasks_up_to_the_capacity_of_the_runner(run_table):
    assert [run_table.admit(_order(t)) for t in "abc"] == ["", "", "room"]


# LIMIT: a runner's capacity may shrink and grow again while it works.
def test_a_capacity_that_shrinks_and_grows_holds_for_each_start(run_table):
    assert run_table.admit(_order("a")) == ""
    run_table.runner = RUNNER._replace(cpu=500)
    assert run_table.admit(_order("b", cpu=100)) == "room"
    run_table.runner = RUNNER._replace(cpu=1500)
    assert run_table.admit(_order("b", cpu=500)) == ""
    assert run_table.admit(_order("c", cpu=500)) == "room"
    run_table.runner = RUNNER
    assert run_table.admit(_order("c", cpu=500)) == ""


def test_a_run_uses_capacity_until_its_end_is_reported(run_table):
    run_table.admit(_order("a", cpu=2000))
    run_table.record_started("a", 1, 1.0)
    run_table.record_stopped("a", 1, 1.1)
    assert run_table.admit(_order("b")) == "room"
    run_table.apply_probe(_probe(1.2, ends=[_end(1, "a")]))
    assert run_table.admit(_order("b")) == ""


@pytest.mark.parametrize(("run", "reason"), [(1, "old"), (2, "busy")])
def test_a_second_run_of_a_task_on_the_runner_is_refused(
    run_table, run, reason
):
    run_table.admit(_order(run=1))
    assert run_table.admit(_order(run=run)) == reason


def test_starts_are_refused_without_a_runner_or_while_it_drains():
    run_table = run_table_lib.RunTable()
    assert run_table.admit(_order()) == "unknown-runner"
    run_table.runner = RUNNER._replace(draining=True)
    assert run_table.admit(_order()) == "draining"


def test_a_run_of_unknown_size_uses_all_capacity(run_table):
    run_table.apply_probe(_probe(1.0, running=[("a", 4)]))
    assert run_table.admit(_order("b", cpu=1)) == "room"
    assert run_table.list_running() == (leasing.Run("a", 4, -1, 0, 0),)


def test_an_unanswered_start_is_not_missing_before_it_expires(run_table):
    run_table.admit(_order())
    run_table.record_unanswered("t", 1, expires_at=2.1)
    assert not run_table.apply_probe(_probe(2.0)).missing
    assert run_table.admit(_order("b", cpu=2000)) == "room"
    (missing,) = run_table.apply_probe(_probe(2.2)).missing
    assert (missing.task, missing.run) == ("t", 1)


def test_an_unanswered_start_found_running_counts_as_started(run_table):
    run_table.admit(_order())
    run_table.record_unanswered("t", 1, expires_at=2.1)
    run_table.apply_probe(_probe(1.1, running=[("t", 1)]))
    assert run_table.runs["t"].state is local_run.RunState.STARTED


def test_after_a_stop_an_unanswered_start_can_be_missing_at_once(run_table):
    run_table.admit(_order())
    run_table.record_unanswered("t", 1, expires_at=2.1)
    run_table.record_stopped("t", 1, 1.2)
    assert run_table.apply_probe(_probe(1.3)).missing


def test_a_probe_sent_before_a_start_does_not_report_it_missing(run_table):
    run_table.admit(_order())
    run_table.record_started("t", 1, 1.5)
    assert not run_table.apply_probe(_probe(1.4)).missing


def test_a_runner_restart_clears_runs_and_acknowledgements(run_table):
    run_table.admit(_order())
    run_table.record_acknowledged(9)
    run_table.begin_life()
    assert not run_table.runs
    assert run_table.last_acknowledged == 0


# ROUTE (beside review/3): a runner that had started again as another kind got
# tasks by the description of its former life until its first heartbeat.
def test_nothing_starts_before_a_new_life_has_described_itself(run_table):
    run_table.begin_life()
    assert run_table.admit(_order()) == "unknown-runner"


def test_ends_are_reported_until_they_are_acknowledged(run_table):
    result = _probe(1.0, ends=[_end(1), _end(2, "u")])
    assert len(run_table.apply_probe(result).ends) == 2
    assert run_table.has_unacknowledged_ends
    run_table.record_acknowledged(1)
    assert [e.number for e in run_table.apply_probe(result).ends] == [2]
    run_table.record_acknowledged(2)
    assert not run_table.has_unacknowledged_ends


def test_runs_not_adopted_by_a_new_owner_end_with_the_previous_lease(
    run_table,
):
    run_table.admit(_order("a"))
    run_table.admit(_order("b"))
    run_table.begin_lease(10.0, 9.5)
    run_table.adopt("a", 1)
    assert run_table.find_hold_limit() == 10.0
    assert not run_table.list_overdue(10.0 - 2 * lease.STOP_LEAD_S)
    (overdue,) = run_table.list_overdue(10.0)
    assert overdue.task == "b"
    run_table.record_stopped("b", 1, 10.0)
    assert run_table.find_hold_limit() is None


def test_a_run_that_can_not_be_stopped_limits_the_hold_of_the_runner(run_table):
    run_table.admit(_order())
    assert run_table.request_stop("t", 1, 5.0)
    assert [known.task for known in run_table.list_overdue(5.0)] == ["t"]
    assert run_table.find_hold_limit() == 5.0 + lease.STOP_TIMEOUT_S
    run_table.request_stop("t", 1, 5.3)
    assert run_table.find_hold_limit() == 5.0 + lease.STOP_TIMEOUT_S
    assert not run_table.request_stop("other", 1, 5.0)


def test_runs_of_a_previous_process_are_not_held_before_adoption(
    run_table,
):
    run_table.begin_lease(5.0, 6.0)
    run_table.apply_probe(_probe(6.1, running=[("t", 1)]))
    assert run_table.find_hold_limit() == 5.0
    assert not run_table.list_overdue(6.0 + lease.ADOPTION_GRACE_S - 0.01)
    assert run_table.list_overdue(6.0 + lease.ADOPTION_GRACE_S)
    run_table.adopt("t", 1)
    assert run_table.find_hold_limit() is None


def test_a_probe_that_was_answered_before_the_start_does_not_end_the_run(
    run_table,
):
    """Once two runs of a task began, one on each of two runners."""
    run_table.admit(_order())
    before_start = _probe(1.1, answered_at=1.19)
    run_table.record_unanswered("t", 1, 9.0)
    confirming = _probe(1.0, running=[("t", 1)], answered_at=1.2)
    run_table.apply_probe(confirming)
    assert not run_table.apply_probe(before_start).missing
    assert "t" in run_table.runs


def test_a_probe_in_flight_while_another_confirms_a_run_is_inconclusive(
    run_table,
):
    run_table.admit(_order())
    run_table.record_unanswered("t", 1, 9.0)
    confirming = _probe(1.0, running=[("t", 1)], answered_at=1.2)
    run_table.apply_probe(confirming)
    same_millisecond = _probe(1.1, answered_at=1.2)
    assert not run_table.apply_probe(same_millisecond).missing
    assert run_table.apply_probe(_probe(1.3)).missing


def test_an_overtaken_answer_does_not_bring_a_run_back(run_table):
    run_table.admit(_order(cpu=2000))
    run_table.record_started("t", 1, 1.0)
    overtaken = _probe(1.1, running=[("t", 1)], answered_at=1.2)
    run_table.apply_probe(_probe(1.15, ends=[_end(1)], answered_at=1.3))
    run_table.apply_probe(overtaken)
    assert run_table.admit(_order("u")) == ""


def test_a_runner_whose_clock_started_anew_is_heard_again(run_table):
    """Also one that does not tell when it was born."""
    run_table.apply_probe(_probe(60.0))
    run_table.admit(_order())
    early = _probe(61.0, ends=[_end(1)])._replace(clock_ms=20)
    assert run_table.apply_probe(early).ends
