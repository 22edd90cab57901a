from __future__ import annotations

import random

import hypothesis
import pytest
from hypothesis import strategies as st

from skylarkcleat.discovery import founding as founding_lib
from skylarkcleat.discovery import knowledge as knowledge_lib
from skylarkcleat.protocol import locating

SEEDS = ("10.0.0.1", "10.0.0.2", "10.0.0.3")


def _ref(name, empty=True, last_seen_ms=0):
    return locating.FrontRef(name, "z", 0, True, empty, last_seen_ms)


def _knowledge():
    return knowledge_lib.Knowledge(SEEDS, random.Random(1))


def _view(
    me="a", promised=(), fronts=(), owner=("", 0), last_seen_ms=-1, log=()
):
    return locating.View(
        _ref(me),
        tuple(fronts),
        locating.OwnerRef(*owner),
        last_seen_ms,
        locating.LogRef(*log),
        promised,
        0,
    )


def test_a_later_term_names_the_leader_of_the_log():
    knowledge = _knowledge()
    knowledge.merge(_view("a", log=("a", 3, ("a", "b"))), 1.0)
    knowledge.merge(_view("b", log=("b", 2, ("b",))), 1.1)
    assert knowledge.log == ("a", 3, ("a", "b"))
    knowledge.merge(_view("c", log=("c", 4)), 1.2)
    assert knowledge.log == ("c", 4, ("a", "b"))


def test_the_owner_is_the_latest_that_a_front_hears_itself():
    knowledge = _knowledge()
    knowledge.merge(_view("a", owner=("x", 3), last_seen_ms=100), 1.0)
    knowledge.merge(_view("b", owner=("y", 4), last_seen_ms=-1), 1.0)
    assert knowledge.find_owner(1.1) == ("x", 3)
    knowledge.merge(_view("c", owner=("z", 5), last_seen_ms=0), 1.1)
    assert knowledge.find_owner(1.2) == ("z", 5)
    assert knowledge.find_owner(1.6) == ("", 0)


def test_asks_the_seeds_the_leader_and_others_but_not_itself():
    knowledge = _knowledge()
    knowledge.merge(_view("b", fronts=[_ref("c")], log=("b", 1)), 1.0)
    targets = knowledge.choose_targets("10.0.0.1", 1.0)
    assert targets == ["10.0.0.2", "10.0.0.3", "b", "c"]
    assert knowledge.list_names("b", 1.0) == [*SEEDS, "c"]


def _create_founding(me, knowledge, empty=True, first=True):
    return founding_lib.Founding(me, empty and first, first, knowledge)


def test_the_first_front_proposes_once_nothing_has_changed_for_a_while():
    knowledge = _knowledge()
    founding = _create_founding("10.0.0.1", knowledge)
    for name in SEEDS:
        knowledge.hear(_ref(name), 0.0)
    assert not founding.find_proposal(0.1)
    for name in SEEDS:
        knowledge.hear(_ref(name), 1.0)
    assert founding.find_proposal(1.2) == SEEDS
    other = _create_founding("10.0.0.2", knowledge)
    other.find_proposal(0.1)
    assert not other.find_proposal(1.2)


@pytest.mark.parametrize(("empty", "first"), [(False, True), (True, False)])
def test_only_an_empty_disk_at_the_first_start_founds(empty, first):
    knowledge = _knowledge()
    founding = _create_founding("10.0.0.1", knowledge, empty, first)
    founding.find_proposal(0.0)
    assert not founding.find_proposal(2.0)
    for seed in SEEDS:
        knowledge.merge(_view(seed, ("10.0.0.1",)), 0.0)
    assert not founding.find_founders()


@hypothesis.given(
    st.lists(
        st.tuples(st.integers(0, 2), st.integers(0, 3)),
        max_size=12,
    )
)
def test_at_most_one_set_of_founders_gets_a_majority(proposals):
    """Seeds get proposals in any order, some of them not at all."""
    sets = [
        ("10.0.0.1", "10.0.0.2"),
        ("10.0.0.2", "10.0.0.3"),
        ("10.0.0.1", "10.0.0.3"),
        SEEDS,
    ]
    seeds = {seed: _create_founding(seed, _knowledge()) for seed in SEEDS}
    for seed, choice in proposals:
        seeds[SEEDS[seed]].promise(sets[choice])
    founders = set()
    for me in SEEDS:
        knowledge = _knowledge()
        founding = _create_founding(me, knowledge)
        for seed, each in seeds.items():
            knowledge.merge(_view(seed, each.promised), 0.0)
        found = founding.find_founders()
        if found:
            founders.add(found)
    assert len(founders) <= 1
