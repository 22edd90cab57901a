from __future__ import annotations

from skylarkcleat.protocol import locating
from skylarkcleat.scheduling import lease
from skylarkcleat.scheduling import tenure as tenure_lib
from skylarkcleat.side import runner_clock

OWNER = locating.OwnerRef("a", 1)
OTHER = locating.OwnerRef("b", 2)


def _create_tenure(asked_at):
    tenure = tenure_lib.Tenure(100, 0.0)
    epoch = tenure.ask(OWNER)
    assert tenure.grant(OWNER.name, epoch, asked_at)
    return tenure


def test_a_lease_counts_from_when_it_was_asked_for():
    assert not tenure_lib.Tenure(100, 0.0).is_valid(0.0)
    tenure = _create_tenure(10.0)
    assert tenure.epoch > 100
    assert tenure.is_valid(10.0 + lease.LEASE_S - 0.01)
    assert not tenure.is_valid(10.0 + lease.LEASE_S)


def test_a_late_answer_to_an_old_question_prolongs_nothing():
    tenure = _create_tenure(10.0)
    epoch = tenure.epoch
    tenure.renew(epoch, 11.0, 11.0)
    tenure.renew(epoch, 10.5, 11.1)
    tenure.renew(epoch - 1, 20.0, 20.0)
    assert not tenure.grant(OWNER.name, epoch, 20.0)
    assert not tenure.is_valid(11.0 + lease.LEASE_S)


def test_only_the_owner_that_was_asked_last_can_give_a_lease():
    tenure = tenure_lib.Tenure(100, 0.0)
    first = tenure.ask(OWNER)
    assert tenure.ask(OWNER) == first
    second = tenure.ask(OTHER)
    assert second > first
    assert not tenure.grant(OWNER.name, first, 1.0)
    assert not tenure.grant(OWNER.name, second, 1.0)
    assert tenure.grant(OTHER.name, second, 1.0)
    assert tenure.owner == OTHER


def test_a_lease_that_is_asked_for_again_has_a_larger_token():
    tenure = _create_tenure(10.0)
    former = tenure.epoch
    assert tenure.ask(OWNER) > former
    tenure.skip(1000)
    assert not tenure.is_valid(10.0)
    assert tenure.ask(OWNER) > former + 1000


def test_what_ran_under_a_lease_ends_with_it_though_another_has_begun():
    tenure = _create_tenure(10.0)
    tenure.renew(tenure.epoch, 10.4, 10.4)
    assert tenure.grant(OTHER.name, tenure.ask(OTHER), 10.9)
    assert tenure.former_until == 10.4 + lease.LEASE_S
    assert tenure.is_valid(10.9 + lease.LEASE_S - 0.01)


def test_no_task_runs_any_more_when_a_callers_front_is_lost_and_it_resends():
    resend_s = 1.3
    assert resend_s - 0.05 > lease.LAPSE_S
    assert lease.FRONT_LEASE_S < lease.OWNER_SILENCE_S < lease.LEASE_S


def test_the_owner_waits_longer_than_a_runner_may_go_on():
    # A runner's clock may be 2 % slow and an end may take 50 ms.
    slowest = lease.LEASE_S * 1.02 + 0.05
    assert lease.find_expiry(0.0) > slowest


def test_a_runners_clock_is_never_taken_to_be_ahead():
    clock = runner_clock.RunnerClock()
    assert clock.find_time(1.0, 0.0) is None
    clock.note(5000, 1.0)
    # After a second a clock that is 2 % slow shows 980 ms more.
    assert clock.find_time(2.0, 0.0) <= 5980
    clock.note(None, 2.0)
    clock.reset()
    assert clock.find_time(3.0, 0.0) is None
