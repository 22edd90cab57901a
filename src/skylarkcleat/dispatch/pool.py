"""The agents of one upstream that an entry may send tasks to.

In a large fleet an entry uses a bounded subset of the agents, chosen by
rendezvous hashing, so that an agent that joins or is lost changes at most one
view.
"""

from __future__ import annotations

import random

import sortedcontainers
import xxhash

from skylarkcleat.dispatch import agent_view
from skylarkcleat.dispatch import health as health_lib
from skylarkcleat.model import member as member_lib

DEFAULT_SUBSET_SIZE = 256

# No further healthy agent is ejected beyond this fraction of the pool, so that
# enough agents stay usable when many fail at once.
MAX_EJECTED_FRACTION = 0.34


class Pool:
    """Views of the agents of one upstream.

    Attributes:
        views: The views by agent name.
    """

    def __init__(self, entry_name: str, rng: random.Random, subset_size: int):
        self._entry_name = entry_name
        self._rng = rng
        self._subset_size = subset_size
        self._members: dict[str, member_lib.Member] = {}
        self._ranked = sortedcontainers.SortedList()
        self._usable: list[agent_view.AgentView] = []
        self._usable_until = 0.0
        self.views: dict[str, agent_view.AgentView] = {}

    def __len__(self) -> int:
        return len(self._members)

    def put(self, member: member_lib.Member) -> None:
        """Adds or updates an agent; a new incarnation gets a new view."""
        known = self._members.get(member.name)
        self._members[member.name] = member
        view = self.views.get(member.name)
        if view and view.member.incarnation == member.incarnation:
            view.member = member
        elif view:
            self.views[member.name] = self._create_view(member)
        elif known is None:
            self._ranked.add(self._rank(member.name))
            self._update_views()
        self.invalidate()

    def remove(self, name: str) -> agent_view.AgentView | None:
        """Removes an agent and returns its view, if it had one."""
        if self._members.pop(name, None) is None:
            return None
        self._ranked.remove(self._rank(name))
        view = self.views.pop(name, None)
        self._update_views()
        self.invalidate()
        return view

    def invalidate(self) -> None:
        """Makes the next call of `list_usable` check every view again."""
        self._usable_until = 0.0

    def list_usable(self, now: float) -> list[agent_view.AgentView]:
        """Returns the views that may be sent new work, cached for 0.1 s.

        If none is healthy, these are all agents that are up.

        Args:
            now: The monotonic clock in seconds.
        """
        if now >= self._usable_until:
            self._usable = self._compute_usable(now)
            self._usable_until = now + 0.1
        return self._usable

    def record_failure(self, view: agent_view.AgentView, now: float) -> None:
        """Records a failure that counts against an agent's health.

        Args:
            view: The agent.
            now: The monotonic clock in seconds.
        """
        scores = sorted(other.health.score for other in self.views.values())
        ejected = sum(
            other.health.find_state(now) is not health_lib.HealthState.HEALTHY
            for other in self.views.values()
        )
        may_eject = ejected + 1 <= len(scores) * MAX_EJECTED_FRACTION
        view.health.record_failure(now, scores[len(scores) // 2], may_eject)
        self.invalidate()

    def _compute_usable(self, now: float) -> list[agent_view.AgentView]:
        up = [view for view in self.views.values() if _is_up(view)]
        for view in up:
            view.learn_from_overdue(now)
        healthy = [view for view in up if _accepts_work(view, now)]
        return healthy or up

    def _update_views(self) -> None:
        """Keeps views for the best ranked members.

        Other views are removed if they have no attempt without outcome.
        """
        selected = [name for _, name in self._ranked[: self._subset_size]]
        for name in selected:
            if name not in self.views:
                member = self._members[name]
                self.views[name] = self._create_view(member)
        if len(self.views) > len(selected):
            for name in self.views.keys() - set(selected):
                if not self.views[name].sent:
                    del self.views[name]

    def _create_view(self, member: member_lib.Member) -> agent_view.AgentView:
        log_speeds = sorted(view.log_speed for view in self.views.values())
        log_speed = log_speeds[len(log_speeds) // 2] if log_speeds else 0.0
        return agent_view.AgentView(member, self._rng, log_speed)

    def _rank(self, name: str) -> tuple[int, str]:
        text = f"{self._entry_name}\0{name}"
        digest = xxhash.xxh64_intdigest(text.encode())
        return digest, name


def _is_up(view: agent_view.AgentView) -> bool:
    return view.member.state is member_lib.MemberState.UP


def _accepts_work(view: agent_view.AgentView, now: float) -> bool:
    state = view.health.find_state(now)
    if state is health_lib.HealthState.PROBING:
        return not view.sent
    return state is health_lib.HealthState.HEALTHY
