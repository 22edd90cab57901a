"""Choice of the agent for a task, or deferral of the task."""

from __future__ import annotations

import abc
import random
import typing as t

from skylarkcleat.dispatch import agent_view
from skylarkcleat.model import profile as profile_lib

DEFAULT_MAX_WAIT_MS = 100.0
DEFAULT_SAMPLE_SIZE = 16

# Added to the cost of an agent in another availability zone.
CROSS_ZONE_PENALTY_MS = 2.0

# The weight of waiting relative to running in the cost of an agent: a task
# that queues for a fast agent also delays the tasks behind it.
WAIT_WEIGHT = 2.5


class Request(t.NamedTuple):
    """A task that needs an agent.

    Attributes:
        profile: The profile that it runs under.
        work_ms: The expected run time on a runner of speed 1.
        mean_ms: The mean run time of all tasks on a runner of speed 1.
        zone: The entry's availability zone.
        backlog_ms: Added to the expected wait for an agent without a free
            slot, which its own load underestimates, in milliseconds.
    """

    profile: profile_lib.Profile
    work_ms: float
    mean_ms: float
    zone: str
    backlog_ms: float = 0.0


class Route(t.NamedTuple):
    """The agent for a task.

    Attributes:
        view: The agent chosen.
        defer: Whether to keep the task queued at the entry until the agent is
            expected to have a free slot.
    """

    view: agent_view.AgentView
    defer: bool


class Router(abc.ABC):
    """Chooses among the agents that a task may be sent to."""

    @abc.abstractmethod
    def choose(
        self,
        request: Request,
        views: t.Sequence[agent_view.AgentView],
        now: float,
    ) -> Route:
        """Returns the agent for a task and whether to defer the task.

        Args:
            request: The task.
            views: The agents that it may be sent to; at least one.
            now: The monotonic clock in seconds.
        """


class LeastCompletionRouter(Router):
    """Chooses the agent with the earliest expected completion.

    Waiting counts for more than running, since a task that queues for a fast
    agent also delays those behind it. A task is deferred at the entry while
    its agent has no slot for it, so that it can still be sent to another agent
    that turns out to be faster.
    """

    def __init__(
        self, max_wait_ms: float, rng: random.Random, sample_size: int
    ):
        self._max_wait_ms = max_wait_ms
        self._rng = rng
        self._sample_size = sample_size

    def choose(
        self,
        request: Request,
        views: t.Sequence[agent_view.AgentView],
        now: float,
    ) -> Route:
        """Returns the agent that is expected to complete the task first."""
        if len(views) > self._sample_size:
            views = self._rng.sample(views, self._sample_size)
        best = views[0]
        best_ms = best_wait_ms = float("inf")
        for view in views:
            run_ms = request.work_ms / view.speed
            if run_ms >= best_ms:
                continue
            wait_ms = _estimate_wait_ms(request, view, now)
            if wait_ms > self._max_wait_ms:
                wait_ms += request.backlog_ms
            cost_ms = WAIT_WEIGHT * wait_ms + run_ms
            if view.member.zone != request.zone:
                cost_ms += CROSS_ZONE_PENALTY_MS
            if cost_ms < best_ms:
                best, best_ms, best_wait_ms = view, cost_ms, wait_ms
        return Route(best, best_wait_ms > self._max_wait_ms)


def _estimate_wait_ms(
    request: Request, view: agent_view.AgentView, now: float
) -> float:
    """Returns the expected wait for a slot, in milliseconds.

    A profile below its guaranteed share at the agent is served before the
    profiles over theirs, so it waits for at most one slot to become free.
    """
    wait_ms = view.find_wait_ms(request.mean_ms, now)
    if wait_ms <= 0.0:
        return 0.0
    competing_weight = view.find_excess_weight(now)
    if competing_weight <= 0.0:
        return wait_ms
    share = request.profile.weight / (request.profile.weight + competing_weight)
    own = view.count_own(request.profile.name)
    if own >= share * view.member.slots:
        return wait_ms
    return min(wait_ms, request.mean_ms / view.speed / view.member.slots)


def create_router(
    seed: int,
    max_wait_ms: float = DEFAULT_MAX_WAIT_MS,
    sample_size: int = DEFAULT_SAMPLE_SIZE,
) -> Router:
    """Returns the router that the entry process uses.

    Args:
        seed: Makes its random choices reproducible.
        max_wait_ms: A task is sent when its expected wait at the agent is at
            most this, in milliseconds; with infinity no task is deferred.
        sample_size: How many agents it compares, drawn at random if there are
            more.
    """
    return LeastCompletionRouter(max_wait_ms, random.Random(seed), sample_size)
