"""A table of the fronts that a process knows, merged from their views."""

from __future__ import annotations

import collections.abc
import random
import typing as t

import eliot

from skylarkcleat.protocol import locating
from skylarkcleat.scheduling import lease

RETENTION_S = 60.0
"""How long messages are still sent to a front that no peer has seen."""

LAST_RESORT_FRONTS = 12
"""How many of the fronts seen last are asked if none was seen recently: whoever
was cut off for longer has no other way back if the seeds have been replaced."""

RANDOM_TARGETS = 3

SEARCH_CANDIDATES = 12
"""How many of the fronts that suit best as owner a front asks in a search: one
that is asked and answers keeps the others from claiming the jobs."""

SEARCH_TARGETS = 4
"""How many fronts a side process asks at a time. Each front hears a new owner
within a heartbeat, so that any of them can tell."""

SILENT_AFTER = 2
"""After this many unanswered requests of a search, others are asked instead."""

ANSWER_TTL_S = 0.25
"""How long an answer counts in a search."""


class _SeenFront(t.NamedTuple):
    ref: locating.FrontRef
    at: float


class PeerTable:
    """Merges the views that fronts send of each other.

    Args:
        seeds: The IP addresses of a few fronts, in the settings' order.
        generator: Picks the random targets.

    Attributes:
        log: The leader, term and replicas of the replicated log.
        promises: The initial replicas that each front promised to accept.
        views: The latest view that each front sent, and when it arrived.
    """

    def __init__(
        self, seeds: t.Sequence[str], generator: random.Random
    ) -> None:
        self.seeds = tuple(seeds)
        self.log = locating.LogRef()
        self.promises: dict[str, tuple[str, ...]] = {}
        self.views: dict[str, tuple[locating.View, float]] = {}
        self._random = generator
        self._fronts: dict[str, _SeenFront] = {}

    def update_seeds(self, seeds: t.Sequence[str]) -> None:
        """Replaces the seeds; those before are fronts like others."""
        if self.seeds != tuple(seeds):
            self.seeds = tuple(seeds)
            eliot.log_message("process:seeds", seeds=list(seeds))

    def record_front(self, ref: locating.FrontRef, now: float) -> None:
        """Records a front, unless a later sign of it is recorded."""
        at = now - ref.last_seen_ms / 1000
        known = self._fronts.get(ref.name)
        if known is None or known.at < at:
            self._fronts[ref.name] = _SeenFront(ref, at)

    def merge(self, view: locating.View, now: float) -> None:
        """Merges a front's own view."""
        name = view.sender.name
        for ref in view.fronts:
            self.record_front(ref, now)
        self.record_front(view.sender, now)
        self.views[name] = (view, now)
        if view.promised_replicas:
            self.promises[name] = view.promised_replicas
        self.record_log(view.log)

    def record_log(self, log: locating.LogRef) -> None:
        """Records the leader of the log, unless a later term is known.

        Its replicas are recorded without a leader too if none are known: they
        have to find each other before they can elect one.
        """
        if log.term < self.log.term:
            return
        if log.leader:
            replicas = log.replicas or self.log.replicas
            self.log = log._replace(replicas=replicas)
        elif not self.log.replicas:
            self.log = self.log._replace(replicas=log.replicas)

    def find_owner(self, now: float) -> locating.OwnerRef:
        """Returns the latest owner that a front receives heartbeats from.

        For side processes. Its name is empty if there is none.
        """
        found = locating.OwnerRef()
        for view, at in self.views.values():
            age_s = now - at + view.owner_last_seen_ms / 1000
            is_known = view.owner_last_seen_ms >= 0
            if is_known and age_s < lease.OWNER_TIMEOUT_S:
                found = max(found, view.owner, key=lambda owner: owner.term)
        return found

    def list_fronts(self, now: float) -> list[locating.FrontRef]:
        """Returns the fronts seen recently, with the time since then."""
        return [
            seen.ref._replace(last_seen_ms=round((now - seen.at) * 1000))
            for seen in self._fronts.values()
            if now - seen.at < RETENTION_S
        ]

    def list_names(self, local_name: str, now: float) -> list[str]:
        """Returns the names of the seeds and of all fronts seen recently.

        If no other front was, of those seen last.
        """
        names = self._list_contacts(local_name, now)
        return sorted({*self.seeds, *names} - {local_name, ""})

    def choose_search_targets(
        self,
        local_name: str,
        asked: collections.abc.Mapping[str, int],
        now: float,
    ) -> list[str]:
        """Returns the fronts that a front asks for an owner.

        Their number doesn't grow with the fleet, since all fronts search at
        the same time when the owner is lost.

        Args:
            local_name: The front that searches.
            asked: How often each front has been asked in this search.
            now: The time, in seconds.
        """
        fronts = sorted(
            self.list_fronts(now), key=lambda ref: (ref.rank, ref.name)
        )
        names = [ref.name for ref in fronts]
        others = (*self.seeds, *self._list_contacts(local_name, now))
        names += [name for name in dict.fromkeys(others) if name not in names]
        names = [
            name
            for name in names
            if name not in (local_name, "")
            and (asked.get(name, 0) < SILENT_AFTER or self._answers(name, now))
        ]
        rest = names[SEARCH_CANDIDATES:]
        count = min(len(rest), RANDOM_TARGETS)
        return names[:SEARCH_CANDIDATES] + self._random.sample(rest, count)

    def sample_names(self, now: float) -> list[str]:
        """Returns a few fronts, for a side process that looks for an owner."""
        names = self.list_names("", now)
        return self._random.sample(names, min(len(names), SEARCH_TARGETS))

    def _list_contacts(self, local_name: str, now: float) -> list[str]:
        """Returns the other fronts seen recently, or else those seen last."""
        names = [ref.name for ref in self.list_fronts(now)]
        recent = [name for name in names if name != local_name]
        if recent:
            return recent
        others = [s for s in self._fronts.values() if s.ref.name != local_name]
        others.sort(key=lambda seen: seen.at, reverse=True)
        return [seen.ref.name for seen in others[:LAST_RESORT_FRONTS]]

    def _answers(self, name: str, now: float) -> bool:
        """Returns whether a front has answered a moment ago."""
        found = self.views.get(name)
        return found is not None and now - found[1] < ANSWER_TTL_S

    def choose_targets(self, local_name: str, now: float) -> list[str]:
        """Returns the seeds, the log's leader and a few random fronts.

        While no leader is known, the replicas of the log are among them: after
        a restart a replica knows them from its disk, and the seeds may be down.
        """
        names = self._list_contacts(local_name, now)
        others = self._random.sample(names, min(len(names), RANDOM_TARGETS))
        leader = self.log.leader
        holders = (leader,) if leader else self.log.replicas
        return sorted({*self.seeds, *others, *holders} - {local_name, ""})
