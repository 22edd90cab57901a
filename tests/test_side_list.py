"""Whoever takes a list of side processes for complete knows all that are used.

One owner and two fronts, with messages that wait for any time, in order, and
sessions that end with all that is on its way.
"""

from __future__ import annotations

import collections

import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies as st

from skylarkcleat.discovery import side_list as side_list_lib
from skylarkcleat.discovery import side_list_leases
from skylarkcleat.protocol import owning
from skylarkcleat.scheduling import lease

TERM = 1_000_001
FRONTS = ("front-1", "front-2")
SIDES = ("side-1", "side-2")
SLOWER = {"front-1": 1.0, "front-2": 1 / (1 + lease.CLOCK_DRIFT)}
"""How fast the fronts' clocks run beside the owner's."""


class Front:
    """A follower, and the messages that are on their way to and from it.

    Attributes:
        claimable: When it could have taken over since its last reply, and what
            its list was then.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.side_list = side_list_lib.SideList()
        self.to_front: collections.deque = collections.deque()
        self.to_owner: collections.deque = collections.deque()
        self.claimable: list[tuple[float, frozenset[str]]] = []

    def find_time(self, now: float) -> float:
        return now * SLOWER[self.name]

    def receive(self, now: float) -> None:
        message = self.to_front.popleft()
        if isinstance(message, owning.OwnerHeartbeat):
            reply = owning.OwnerHeartbeatReply(TERM, message.sent_at)
            self.side_list.record_reply(reply, self.find_time(now))
            self.to_owner.append(reply)
            # Whoever replies has not claimed the jobs before.
            self.claimable.clear()
        elif isinstance(message, owning.SideNames):
            self.side_list.update(message)
        else:
            self.side_list.confirm(message)


class SideLists(stateful.RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.fronts = {name: Front(name) for name in FRONTS}
        self.leases = side_list_leases.SideListLeases()
        self.registered: set[str] = set()
        self.published: tuple[str, ...] = ()
        self.open: set[str] = set()

    @stateful.rule(seconds=st.sampled_from((0.02, 0.3, 0.65, 0.71, 0.75, 1.0)))
    def wait(self, seconds: float) -> None:
        self.now += seconds

    @stateful.rule(name=st.sampled_from(FRONTS), rounds=st.integers(1, 3))
    def exchange(self, name: str, rounds: int) -> None:
        """Lets heartbeats and replies of one front pass without delay."""
        for _ in range(rounds):
            self.now += lease.HEARTBEAT_INTERVAL_S
            self.send_heartbeats()
            self.deliver_to_front(name, len(self.fronts[name].to_front))
            self.deliver_to_owner(name, len(self.fronts[name].to_owner))

    @stateful.rule(name=st.sampled_from(FRONTS))
    def hold_reply_back(self, name: str) -> None:
        """Lets a front reply to a heartbeat; the reply is on its way."""
        self.send_heartbeats()
        self.deliver_to_front(name, len(self.fronts[name].to_front))

    @stateful.rule(side=st.sampled_from(SIDES))
    def register(self, side: str) -> None:
        self.registered.add(side)

    @stateful.rule(side=st.sampled_from(SIDES))
    def lose(self, side: str) -> None:
        self.registered.discard(side)
        self.open.discard(side)

    @stateful.rule()
    def send_heartbeats(self) -> None:
        self.now += 1e-6
        self.published = tuple(sorted(self.registered))
        for front in self.fronts.values():
            self._send_names(front)
            front.to_front.append(
                owning.OwnerHeartbeat(TERM, (), self.now, 0, 0)
            )
            confirmation = self.leases.confirm(front.name, self.now)
            if confirmation is not None:
                front.to_front.append(
                    owning.SideNamesConfirmed(TERM, *confirmation)
                )

    @stateful.rule(name=st.sampled_from(FRONTS), count=st.integers(1, 6))
    def deliver_to_front(self, name: str, count: int) -> None:
        self.now += 1e-6
        front = self.fronts[name]
        for _ in range(min(count, len(front.to_front))):
            front.receive(self.now)

    @stateful.rule(name=st.sampled_from(FRONTS), count=st.integers(1, 6))
    def deliver_to_owner(self, name: str, count: int) -> None:
        front = self.fronts[name]
        self.now += 1e-6
        for _ in range(min(count, len(front.to_owner))):
            reply = front.to_owner.popleft()
            self.leases.record_reply(
                name, reply.sent_at, self.published, self.now
            )
            self._send_names(front)

    @stateful.rule(name=st.sampled_from(FRONTS), lost=st.integers(0, 6))
    def end_session(self, name: str, lost: int) -> None:
        """Drops the last messages to a front; the owner is told of the end."""
        front = self.fronts[name]
        for _ in range(min(lost, len(front.to_front))):
            front.to_front.pop()
        self.leases.forget_sent(name)

    @stateful.rule()
    def open_sides(self) -> None:
        unknown = self.registered - self.open
        listed = [side for side in self.published if side in unknown]
        self.open.update(self.leases.list_known(listed, self.now))

    @stateful.invariant()
    def successors_know_every_open_side(self) -> None:
        for front in self.fronts.values():
            now = front.find_time(self.now)
            if front.side_list.is_complete(TERM, now):
                names = frozenset(front.side_list.names)
                front.claimable.append((self.now, names))
            # Tasks of other fronts may start that long after a claim.
            since = self.now - lease.FRONT_LEASE_S
            front.claimable = [c for c in front.claimable if c[0] > since]
            assert all(self.open <= names for _, names in front.claimable)

    def _send_names(self, front: Front) -> None:
        if self.leases.record_sent(front.name, self.published, self.now):
            names = owning.SideNames(TERM, self.published)
            front.to_front.append(names)


TestSideLists = SideLists.TestCase
TestSideLists.settings = hypothesis.settings(
    max_examples=600, stateful_step_count=40, deadline=None, derandomize=True
)


@pytest.fixture
def leases():
    """Leases of a front that has replied to a heartbeat and has one name."""
    created = side_list_leases.SideListLeases()
    created.record_reply("front-1", 0.0, ("side-1",), 0.0)
    assert created.record_sent("front-1", ("side-1",), 0.0)
    created.record_reply("front-1", 0.08, ("side-1",), 0.09)
    confirmation = created.confirm("front-1", 0.16)
    assert confirmation == pytest.approx((0.08, lease.SIDE_LIST_LEASE_S + 0.08))
    return created


def test_a_side_process_is_used_once_each_front_has_its_name(leases):
    names = ("side-1", "side-2")
    assert leases.list_known(names, 0.1) == ["side-1"]
    assert leases.record_sent("front-1", names, 0.16)
    assert leases.list_known(names, 0.17) == ["side-1"]
    leases.record_reply("front-1", 0.17, names, 0.18)
    assert leases.list_known(names, 0.18) == ["side-1", "side-2"]


# TWICE (review/6): a front that stands still is sent no names, and later takes
# the heartbeats that waited for new ones.
def test_a_side_process_waits_for_the_lease_of_a_front_that_is_silent(leases):
    names = ("side-1", "side-2")
    leases.record_sent("front-1", names, 0.16)
    lasts_s = lease.SIDE_LIST_LEASE_S + 0.08
    ends_at = 0.09 + lasts_s * (1 + lease.CLOCK_DRIFT)
    # The owner may run jobs of other fronts that much longer.
    ends_at += lease.FRONT_LEASE_S
    assert leases.list_known(names, ends_at - 0.001) == ["side-1"]
    assert leases.list_known(names, ends_at + 0.001) == list(names)


def test_a_reply_to_an_earlier_heartbeat_shows_no_receipt(leases):
    names = ("side-1", "side-2")
    leases.record_sent("front-1", names, 0.16)
    leases.record_reply("front-1", 0.15, names, 0.17)
    assert leases.confirm("front-1", 0.18) is None
    assert leases.list_known(names, 0.17) == ["side-1"]


def test_a_name_that_left_the_list_has_to_be_received_again(leases):
    leases.record_sent("front-1", (), 0.16)
    leases.record_sent("front-1", ("side-1",), 0.24)
    assert leases.list_known(("side-1",), 0.25) == []
    leases.record_reply("front-1", 0.25, ("side-1",), 0.26)
    assert leases.list_known(("side-1",), 0.26) == ["side-1"]


def test_a_list_that_is_out_of_date_is_not_confirmed(leases):
    leases.record_reply("front-1", 0.16, ("side-1", "side-2"), 0.17)
    assert leases.confirm("front-1", 0.18) is None


def test_names_that_may_be_lost_are_sent_again(leases):
    leases.forget_sent("front-1")
    leases.record_reply("front-1", 0.16, ("side-1",), 0.17)
    assert leases.confirm("front-1", 0.18) is None
    assert leases.record_sent("front-1", ("side-1",), 0.18)


def test_a_front_without_a_list_keeps_no_side_process_waiting():
    leases = side_list_leases.SideListLeases()
    leases.record_reply("front-1", 0.0, ("side-1",), 0.0)
    assert leases.list_known(("side-1",), 0.01) == ["side-1"]


def test_a_list_counts_from_the_reply_that_was_confirmed():
    side_list = side_list_lib.SideList()
    side_list.update(owning.SideNames(TERM, ("side-1",)))
    for at in (0.0, 0.08, 0.16):
        reply = owning.OwnerHeartbeatReply(TERM, at)
        side_list.record_reply(reply, at + 5.0)
    assert not side_list.is_complete(TERM, 5.2)
    side_list.confirm(owning.SideNamesConfirmed(TERM, 0.08, 0.7))
    assert side_list.is_complete(TERM, 5.77)
    assert not side_list.is_complete(TERM, 5.79)
    assert not side_list.is_complete(TERM + 1, 5.2)


# An overloaded owner confirms replies late; a front that took over waited for
# the leases of its side processes each time.
@pytest.mark.parametrize("late_s", [0.0, 0.3, 1.0])
def test_a_list_that_is_confirmed_late_is_complete_for_as_long(leases, late_s):
    leases.record_reply("front-1", 0.16, ("side-1",), 0.17 + late_s)
    confirmed_at = 0.24 + late_s
    heartbeat_at, lasts_s = leases.confirm("front-1", confirmed_at)
    remaining_s = heartbeat_at + lasts_s - confirmed_at
    assert remaining_s == pytest.approx(lease.SIDE_LIST_LEASE_S)


# A front goes by the confirmation that it has handled; a later one may be on
# its way.
def test_a_later_confirmation_does_not_shorten_a_lease(leases):
    leases.record_reply("front-1", 0.16, ("side-1",), 1.36)
    leases.confirm("front-1", 1.4)
    leases.record_reply("front-1", 1.4, ("side-1",), 1.41)
    leases.confirm("front-1", 1.48)
    assert leases.record_sent("front-1", ("side-1", "side-2"), 1.5)
    ends_at = 0.16 + lease.SIDE_LIST_LEASE_S + 1.24 + 1.2
    assert leases.list_known(("side-2",), ends_at) == []


def test_no_list_is_complete_for_longer_than_the_maximum(leases):
    leases.record_reply("front-1", 0.16, ("side-1",), 8.0)
    maximum = (0.16, lease.MAX_SIDE_LIST_LEASE_S)
    assert leases.confirm("front-1", 8.0) == maximum
