"""The agents known to one entry, in one pool for each upstream."""

from __future__ import annotations

import random

from skylarkcleat.dispatch import agent_view
from skylarkcleat.dispatch import pool as pool_lib
from skylarkcleat.model import member as member_lib
from skylarkcleat.model import profile as profile_lib
from skylarkcleat.protocol import dispatching


class Fleet:
    """Finds pools by upstream and agent views by name."""

    def __init__(self, entry_name: str, rng: random.Random, subset_size: int):
        self._entry_name = entry_name
        self._rng = rng
        self._subset_size = subset_size
        self._pools: dict[str, pool_lib.Pool] = {}
        self._upstreams: dict[str, str] = {}

    def put(self, member: member_lib.Member) -> None:
        """Adds or updates an agent from its announcement."""
        self._upstreams[member.name] = member.upstream
        pool = self._pools.get(member.upstream)
        if pool is None:
            pool = pool_lib.Pool(self._entry_name, self._rng, self._subset_size)
            self._pools[member.upstream] = pool
        pool.put(member)

    def has_agent(self, agent: str) -> bool:
        """Returns whether an agent was announced and not removed."""
        return agent in self._upstreams

    def remove(self, agent: str) -> agent_view.AgentView | None:
        """Removes an agent and returns its view, if it had one."""
        upstream = self._upstreams.pop(agent, None)
        if upstream is None:
            return None
        return self._pools[upstream].remove(agent)

    def find_view(self, agent: str) -> agent_view.AgentView | None:
        """Returns the view of an agent, or None if the entry has none."""
        upstream = self._upstreams.get(agent)
        if upstream is None:
            return None
        return self._pools[upstream].views.get(agent)

    def record_load(
        self, agent: str, load: dispatching.Load, now: float
    ) -> agent_view.AgentView | None:
        """Records an agent's load report; returns its view, if any."""
        view = self.find_view(agent)
        if view is not None:
            view.record_load(load, now)
        return view

    def list_usable(
        self, profile: profile_lib.Profile, now: float
    ) -> list[agent_view.AgentView]:
        """Returns the agents that a profile's tasks may be sent to."""
        pools = [
            self._pools[upstream]
            for upstream in profile.upstreams
            if upstream in self._pools
        ]
        if len(pools) == 1:
            return pools[0].list_usable(now)
        return [view for pool in pools for view in pool.list_usable(now)]

    def record_failure(self, view: agent_view.AgentView, now: float) -> None:
        """Records a failure that counts against an agent's health."""
        self._pools[view.member.upstream].record_failure(view, now)

    def invalidate_pool(self, view: agent_view.AgentView) -> None:
        """Discards the cached list of usable agents of a view's upstream."""
        self._pools[view.member.upstream].invalidate()
