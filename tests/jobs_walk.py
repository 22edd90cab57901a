"""Seeded random walks over the rules of `JobMachine`, without shrinking."""

from __future__ import annotations

import random

from tests import test_jobs_machine

STEPS = 90
WEIGHTS = {
    "submit": 6,
    "deliver": 22,
    "deliver_all": 6,
    "lose": 1,
    "place": 14,
    "work": 20,
    "advance": 4,
    "freeze": 2,
    "thaw": 3,
    "declare_frozen_departed": 2,
    "crash_entry": 1.2,
    "crash_agent": 0.6,
    "add_agent": 1,
    "deliver_notice": 5,
    "partition_from_control": 0.4,
    "heal": 1,
    "replace_keepers": 0.8,
    "lose_keepers": 0.1,
    "forget_outcome": 0.6,
    "forget_records": 0.15,
    "widen_cohort": 1,
    "remove_caller": 1,
    "add_job": 0.7,
}


def walk(seed):
    """Runs one walk; raises AssertionError if an invariant is violated."""
    rng = random.Random(seed)
    machine = test_jobs_machine.JobMachine()
    names = tuple(WEIGHTS)
    weights = tuple(WEIGHTS.values())
    for _ in range(STEPS):
        name = rng.choices(names, weights)[0]
        if is_enabled(machine, name):
            getattr(machine, name)(**draw(rng, name))
    machine.teardown()
    return machine.world


def is_enabled(machine, name):
    world = machine.world
    return {
        "thaw": bool(world.frozen),
        "declare_frozen_departed": bool(world.frozen),
        "deliver_notice": bool(world.notices),
        "crash_agent": len(world.incarnations) < 12,
        "add_agent": len(world.agents) < 6,
        "add_job": len(machine.jobs) < len(test_jobs_machine.TASKS),
    }.get(name, True)


def draw(rng, name):
    index = rng.randrange(31)
    return {
        "submit": {
            "entry": index,
            "job": rng.randrange(31),
            "digest": rng.choice("ddddddde"),
            "cohort": rng.randint(1, 4),
            "budget": rng.choice([0.5, 3.0, 3.0]),
            "is_refused": rng.random() < 0.08,
        },
        "deliver": {
            "index": rng.choice([0, 0, 0, index]),
            "keep": rng.random() < 0.1,
            "count": rng.choice([1, 1, 5, 20]),
        },
        "lose": {"index": index},
        "place": {"item": rng.randrange(31), "agent": index},
        "work": {
            "agent": index,
            "step": rng.choice(["start", "start", "finish", "finish"])
            if rng.random() < 0.85
            else "fail",
            "is_refused": rng.random() < 0.15,
        },
        "advance": {
            "seconds": 310.0
            if rng.random() < 0.02
            else rng.choice([0.1, 0.1, 0.6, 2.0])
        },
        "freeze": {"member": index},
        "thaw": {"member": index},
        "declare_frozen_departed": {"member": index},
        "crash_entry": {"entry": index},
        "crash_agent": {"agent": index, "is_restarted": rng.random() < 0.5},
        "deliver_notice": {"index": index},
        "partition_from_control": {"agent": index},
        "forget_outcome": {"entry": index, "job": rng.randrange(31)},
        "forget_records": {"agent": index},
        "widen_cohort": {"entry": index, "job": rng.randrange(31)},
        "remove_caller": {"caller": index},
    }.get(name, {})
