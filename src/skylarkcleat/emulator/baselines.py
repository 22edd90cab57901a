"""Simple scheduling policies that others are compared with."""

from __future__ import annotations

import collections
import random
import typing as t

from skylarkcleat.dispatch import agent_view
from skylarkcleat.dispatch import fair_queue
from skylarkcleat.dispatch import router as router_lib
from skylarkcleat.dispatch import task_queue
from skylarkcleat.emulator import simulation
from skylarkcleat.model import profile as profile_lib


class FirstComeQueue(task_queue.TaskQueue):
    """Serves tasks in order of arrival, without shares or refusals."""

    def __init__(self):
        self._tasks: collections.OrderedDict = collections.OrderedDict()

    def push(self, task: task_queue.QueuedTask) -> None:
        """Adds a task at the end."""
        self._tasks[task.key] = task

    def pop(
        self, excluded: frozenset[str] = task_queue.NO_PROFILES
    ) -> task_queue.QueuedTask | None:
        """Removes and returns the first task, or None if there is none."""
        if not self._tasks:
            return None
        return self._tasks.popitem(last=False)[1]

    def pop_last(self) -> task_queue.QueuedTask | None:
        """Removes and returns the last task, or None if there is none."""
        if not self._tasks:
            return None
        return self._tasks.popitem()[1]

    def restore(self, task: task_queue.QueuedTask) -> None:
        """Puts back a task at the front."""
        self._tasks[task.key] = task
        self._tasks.move_to_end(task.key, last=False)

    def remove(self, key: task_queue.Key) -> task_queue.QueuedTask | None:
        """Removes and returns a task, or None if it is not queued."""
        return self._tasks.pop(key, None)

    def adjust_charge(
        self, profile: str, estimated_ms: float, actual_ms: float
    ) -> None:
        """Does nothing: profiles are not charged."""

    def find_wait_ms(self, profile: profile_lib.Profile, slots: int) -> float:
        """Returns 0: nothing is refused."""
        return 0.0

    def find_backlog_ms(self, profile: profile_lib.Profile) -> float:
        """Returns 0: costs are not counted."""
        return 0.0

    def find_share(self, profile: profile_lib.Profile) -> float:
        """Returns 1: there are no shares."""
        return 1.0

    def find_weight(self, profiles: frozenset[str]) -> int:
        """Returns 0: profiles have no weight."""
        return 0

    def find_queued_ms(self) -> float:
        """Returns 0: costs are not counted."""
        return 0.0

    def __len__(self) -> int:
        """Returns how many tasks are queued."""
        return len(self._tasks)


class RandomRouter(router_lib.Router):
    """Chooses a random agent and never defers."""

    def __init__(self, seed: int):
        self._rng = random.Random(seed)

    def choose(
        self,
        request: router_lib.Request,
        views: t.Sequence[agent_view.AgentView],
        now: float,
    ) -> router_lib.Route:
        """Returns an agent drawn uniformly."""
        return router_lib.Route(self._rng.choice(views), False)


class TwoChoicesRouter(router_lib.Router):
    """Draws two agents and chooses the one with less load from this entry.

    The weighted variant draws agents in proportion to their speeds, and
    divides their loads by them.
    """

    def __init__(self, seed: int, weighted: bool):
        self._rng = random.Random(seed)
        self._weighted = weighted

    def choose(
        self,
        request: router_lib.Request,
        views: t.Sequence[agent_view.AgentView],
        now: float,
    ) -> router_lib.Route:
        """Returns the less loaded of two agents."""
        speeds = [view.speed for view in views] if self._weighted else None
        drawn = self._rng.choices(views, weights=speeds, k=2)
        return router_lib.Route(min(drawn, key=self._find_relative_load), False)

    def _find_relative_load(self, view: agent_view.AgentView) -> float:
        capacity = view.member.slots * (view.speed if self._weighted else 1.0)
        return (len(view.sent) + 1) / capacity


def create_baselines() -> list[simulation.Policy]:
    """Returns the baselines, all first come, first served without limits."""
    routers: dict[str, t.Callable[[int], router_lib.Router]] = {
        "random": RandomRouter,
        "two choices": lambda seed: TwoChoicesRouter(seed, False),
        "two choices by speed": lambda seed: TwoChoicesRouter(seed, True),
    }
    return [
        simulation.Policy(name, router, FirstComeQueue, FirstComeQueue)
        for name, router in routers.items()
    ]


def create_variants() -> list[simulation.Policy]:
    """Returns variants of the policy that lack some of its parts."""
    return [
        simulation.Policy(
            "least completion, bound at once",
            lambda seed: router_lib.create_router(seed, float("inf")),
            FirstComeQueue,
            FirstComeQueue,
        ),
        simulation.Policy(
            "fair queues, bound at once",
            lambda seed: router_lib.create_router(seed, float("inf")),
            fair_queue.create_fair_queue,
            fair_queue.create_fair_queue,
        ),
        simulation.Policy(
            "late binding, first come first served",
            router_lib.create_router,
            FirstComeQueue,
            FirstComeQueue,
        ),
    ]
