"""What a process knows of the fronts."""

from __future__ import annotations

import random
import typing as t

from skylarkcleat.protocol import locating
from skylarkcleat.scheduling import lease

RETENTION_S = 60.0
"""How long a front that nobody hears is still tried."""

RANDOM_TARGETS = 3


class _SeenFront(t.NamedTuple):
    ref: locating.FrontRef
    at: float


class PeerTable:
    """Merges what fronts tell about each other.

    Args:
        seeds: The IP numbers of a few fronts, in the settings' order.
        generator: Picks whom to ask.

    Attributes:
        log: What is known of the replicated log.
        promises: The founders that each seed promised to accept.
        views: The latest answer of each front itself, and when it came.
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

    def record_front(self, ref: locating.FrontRef, now: float) -> None:
        """Takes in a front, seen of `ref.last_seen_ms` ago."""
        at = now - ref.last_seen_ms / 1000
        known = self._fronts.get(ref.name)
        if known is None or known.at < at:
            self._fronts[ref.name] = _SeenFront(ref, at)

    def merge(self, view: locating.View, now: float) -> None:
        """Takes in what a front itself says that it knows."""
        name = view.sender.name
        for ref in view.fronts:
            self.record_front(ref, now)
        self.record_front(view.sender, now)
        self.views[name] = (view, now)
        if view.promised_replicas:
            self.promises[name] = view.promised_replicas
        self.record_log(view.log)

    def record_log(self, log: locating.LogRef) -> None:
        """Takes in who leads the log, unless a later term is known."""
        if log.term < self.log.term or not log.leader:
            return
        replicas = log.replicas or self.log.replicas
        self.log = log._replace(replicas=replicas)

    def find_owner(self, now: float) -> locating.OwnerRef:
        """Returns the latest owner that any front hears; for side processes.

        Its name is empty if no front hears one.
        """
        found = locating.OwnerRef()
        for view, at in self.views.values():
            silence_s = now - at + view.owner_last_seen_ms / 1000
            is_heard = view.owner_last_seen_ms >= 0
            if is_heard and silence_s < lease.OWNER_TIMEOUT_S:
                found = max(found, view.owner, key=lambda owner: owner.term)
        return found

    def list_fronts(self, now: float) -> list[locating.FrontRef]:
        """Returns the fronts seen of lately, with the age of that."""
        return [
            seen.ref._replace(last_seen_ms=round((now - seen.at) * 1000))
            for seen in self._fronts.values()
            if now - seen.at < RETENTION_S
        ]

    def list_names(self, local_name: str, now: float) -> list[str]:
        """Returns the names of the seeds and of all fronts seen of lately."""
        names = {ref.name for ref in self.list_fronts(now)}
        return sorted({*self.seeds, *names} - {local_name, ""})

    def choose_targets(self, local_name: str, now: float) -> list[str]:
        """Returns the seeds, the log's leader and a few other fronts."""
        names = [ref.name for ref in self.list_fronts(now)]
        others = self._random.sample(names, min(len(names), RANDOM_TARGETS))
        targets = {*self.seeds, *others, self.log.leader}
        return sorted(targets - {local_name, ""})
