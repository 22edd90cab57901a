"""Which replica a leader promotes or removes next."""

import pytest

from skylarkcleat.consensus import identity as identity_lib
from skylarkcleat.consensus import membership as membership_lib
from skylarkcleat.consensus import membership_plan as plan_lib

SILENT = plan_lib.Standing(is_silent=True)
READY = plan_lib.Standing(has_caught_up=True)
LEAVING = plan_lib.Standing(is_leaving=True, has_caught_up=True)
BEHIND = plan_lib.Standing()


def identify(name):
    """Returns the replica `a`, or with `a2` the one of its second disk."""
    return identity_lib.Identity(name[0], name)


def find_change(voters, learners, standings, target=3):
    membership = membership_lib.Membership(
        tuple(identify(name) for name in voters),
        tuple(identify(name) for name in learners),
    )
    known = {identify(n): READY for n in (*voters, *learners)}
    known |= {identify(n): s for n, s in standings.items()}
    plan = plan_lib.MembershipPlan(membership, known, identify(voters[0]))
    return plan.find_change(target)


def describe(change):
    if change is None:
        return None
    voters = " ".join(v.disk for v in change.membership.voters)
    learners = " ".join(v.disk for v in change.membership.learners)
    return f"{voters} | {learners}".strip()


@pytest.mark.parametrize(
    ("voters", "learners", "standings", "expected"),
    [
        # A learner waits while all voters answer.
        ("abc", "d", {}, None),
        ("abc", "d", {"c": BEHIND}, None),
        # A lost voter stays as long as nobody can take its place.
        ("abc", "", {"c": SILENT}, None),
        ("abc", "d", {"c": SILENT, "d": BEHIND}, None),
        # A silent voter is exchanged in two steps, which any leader goes on
        # with, and without the learner the lost voter would stay for ever.
        ("abc", "d", {"c": SILENT}, "a b c d |"),
        ("abcd", "", {"c": SILENT}, "a b d |"),
        ("abcd", "e", {"c": SILENT}, "a b d | e"),
        # A voter that is about to stop is exchanged in the same way.
        ("abc", "d", {"c": LEAVING}, "a b c d |"),
        ("abcd", "", {"c": LEAVING}, "a b d |"),
        ("abc", "d", {"c": LEAVING, "d": LEAVING}, None),
        ("abcd", "", {"b": LEAVING, "c": SILENT}, "a b d |"),
        # Surplus voters follow as learners; the leader stays.
        ("abcd", "", {}, "a b c | d"),
        ("abcde", "", {}, "a b c d | e"),
        # Too few voters: any learner that is ready is promoted.
        ("ab", "d", {"b": SILENT}, "a b d |"),
        ("ab", "d", {"d": BEHIND}, None),
        ("ab", "d", {"d": SILENT}, "a b |"),
        # A learner that is gone is not sent entries for ever.
        ("abc", "de", {"d": SILENT, "e": BEHIND}, "a b c | e"),
        ("abc", "de", {"d": SILENT}, "a b c | e"),
    ],
)
def test_finds_the_next_change(voters, learners, standings, expected):
    change = find_change(list(voters), list(learners), standings)
    assert describe(change) == expected


# No majority may need a disk that is lost, so its voter goes first.
@pytest.mark.parametrize(
    ("voters", "learners", "standings", "expected"),
    [
        (["a", "b", "c"], ["c2"], {"c2": BEHIND}, None),
        (["a", "b", "c"], ["c2"], {}, "a b | c2"),
        (["a", "b"], ["c2"], {}, "a b c2 |"),
        (["a", "b", "c"], ["c2", "d"], {"c2": BEHIND}, "a b | c2 d"),
        (["a", "b"], ["c2", "d"], {"c2": BEHIND}, "a b d | c2"),
        (["a", "b", "c", "d"], ["c2"], {"d": SILENT}, "a b d | c2"),
    ],
)
def test_removes_a_lost_disk_first(voters, learners, standings, expected):
    assert describe(find_change(voters, learners, standings)) == expected


def test_never_goes_below_the_voters_that_bear_the_losses():
    silent = {"c": SILENT, "d": SILENT}
    assert find_change(list("abcde"), [], silent, target=5) is None
    change = find_change(list("abcdef"), [], silent, target=5)
    assert describe(change) == "a b d e f |"


@pytest.mark.parametrize(("losses", "voters"), [(0, 3), (1, 3), (2, 5), (3, 7)])
def test_counts_the_voters_that_bear_some_losses(losses, voters):
    assert plan_lib.count_voters(losses) == voters
