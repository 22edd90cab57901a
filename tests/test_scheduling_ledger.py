from __future__ import annotations

import pytest

from skylarkcleat.protocol import scheduling
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
