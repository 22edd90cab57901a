from __future__ import annotations

import pytest

from skylarkcleat.protocol import scheduling
from skylarkcleat.scheduling import lease
from skylarkcleat.scheduling import ledger as ledger_lib

RUNNER = scheduling.Runner("i-1", 7, "desk", 2000, 1024, 0, ("a",), False)


def _order(task="t", run=1, cpu=1000):
    return scheduling.Start(5, task, run, "spec", cpu, 64, 0)


def _look(asked_at, running=(), ends=(), born_ms=7):
    return ledger_lib.Look(asked_at, born_ms, tuple(running), tuple(ends))


def _end(number, task="t", run=1, ending=scheduling.Ending.DONE):
    return scheduling.End(number, task, run, ending)


@pytest.fixture
def ledger():
    made = ledger_lib.Ledger()
    made.take_runner(RUNNER)
    return made


def test_admits_up_to_the_capacity(ledger):
    assert [ledger.admit(_order(t)) for t in "abc"] == ["", "", "room"]


def test_a_run_counts_until_its_end_is_listed(ledger):
    ledger.admit(_order("a", cpu=2000))
    ledger.note_started("a", 1, 1.0)
    ledger.note_stopped("a", 1, 1.1)
    assert ledger.admit(_order("b")) == "room"
    ledger.take_look(_look(1.2, ends=[_end(1, "a")]))
    assert ledger.admit(_order("b")) == ""


@pytest.mark.parametrize(("run", "reason"), [(1, "old"), (2, "busy")])
def test_a_task_runs_once_on_a_runner(ledger, run, reason):
    ledger.admit(_order(run=1))
    assert ledger.admit(_order(run=run)) == reason


def test_refuses_what_it_can_not_judge():
    ledger = ledger_lib.Ledger()
    assert ledger.admit(_order()) == "unknown-runner"
    ledger.take_runner(RUNNER._replace(draining=True))
    assert ledger.admit(_order()) == "draining"


def test_a_run_of_a_former_process_takes_all_the_room(ledger):
    ledger.take_look(_look(1.0, running=[("a", 4)]))
    assert ledger.admit(_order("b", cpu=1)) == "room"
    assert ledger.list_running() == (scheduling.Run("a", 4, -1, 0, 0),)


def test_an_unanswered_start_is_not_missing_before_it_expires(ledger):
    ledger.admit(_order())
    ledger.note_unanswered("t", 1, expires_at=2.1)
    assert not ledger.take_look(_look(2.0)).missing
    assert ledger.admit(_order("b", cpu=2000)) == "room"
    (missing,) = ledger.take_look(_look(2.2)).missing
    assert (missing.task, missing.run) == ("t", 1)


def test_an_unanswered_start_that_runs_is_kept(ledger):
    ledger.admit(_order())
    ledger.note_unanswered("t", 1, expires_at=2.1)
    ledger.take_look(_look(1.1, running=[("t", 1)]))
    assert ledger.runs["t"].state is ledger_lib.RunState.STARTED


def test_a_stop_settles_an_unanswered_start_at_once(ledger):
    ledger.admit(_order())
    ledger.note_unanswered("t", 1, expires_at=2.1)
    ledger.note_stopped("t", 1, 1.2)
    assert ledger.take_look(_look(1.3)).missing


def test_a_look_that_a_start_has_overtaken_does_not_miss_it(ledger):
    ledger.admit(_order())
    ledger.note_started("t", 1, 1.5)
    assert not ledger.take_look(_look(1.4)).missing


def test_another_life_of_the_runner_knows_nothing(ledger):
    ledger.admit(_order())
    ledger.note_noted(9)
    assert ledger.take_runner(RUNNER._replace(born_ms=8))
    assert not ledger.runs
    assert ledger.noted == 0


def test_ends_are_told_until_they_are_noted(ledger):
    look = _look(1.0, ends=[_end(1), _end(2, "u")])
    assert len(ledger.take_look(look).ends) == 2
    assert ledger.has_unnoted_ends
    ledger.note_noted(1)
    assert [e.number for e in ledger.take_look(look).ends] == [2]
    ledger.note_noted(2)
    assert not ledger.has_unnoted_ends


def test_what_the_new_owner_has_not_taken_over_ends_with_the_former_lease(
    ledger,
):
    ledger.admit(_order("a"))
    ledger.admit(_order("b"))
    ledger.begin_lease(10.0, 9.5)
    ledger.keep("a", 1)
    assert ledger.find_limit() == 10.0
    assert not ledger.list_overdue(10.0 - 2 * lease.STOP_S)
    (overdue,) = ledger.list_overdue(10.0)
    assert overdue.task == "b"
    ledger.note_stopped("b", 1, 10.0)
    assert ledger.find_limit() is None


def test_a_run_that_can_not_be_stopped_bounds_the_hold_of_all(ledger):
    ledger.admit(_order())
    assert ledger.order_stop("t", 1, 5.0)
    assert [known.task for known in ledger.list_overdue(5.0)] == ["t"]
    assert ledger.find_limit() == 5.0 + lease.STOP_LIMIT_S
    ledger.order_stop("t", 1, 5.3)
    assert ledger.find_limit() == 5.0 + lease.STOP_LIMIT_S
    assert not ledger.order_stop("other", 1, 5.0)


def test_runs_of_a_former_process_are_not_held_before_they_are_taken_over(
    ledger,
):
    ledger.begin_lease(5.0, 6.0)
    ledger.take_look(_look(6.1, running=[("t", 1)]))
    assert ledger.find_limit() == 5.0
    assert not ledger.list_overdue(6.0 + lease.ADOPT_S - 0.01)
    assert ledger.list_overdue(6.0 + lease.ADOPT_S)
    ledger.keep("t", 1)
    assert ledger.find_limit() is None
