"""What a process knows of the fronts."""

from __future__ import annotations

import random
import typing as t

from skylarkcleat.protocol import locating

FORGET_S = 60.0
"""How long a front that nobody hears is still tried."""

RANDOM_TARGETS = 3
OWNER_SILENCE_S = 0.6
"""Without a word from the owner for so long, it may not lead any more."""


class _Heard(t.NamedTuple):
    ref: locating.FrontRef
    at: float


class Knowledge:
    """Merges what fronts tell about each other.

    Args:
        seeds: The IP numbers of a few fronts, in the settings' order.
        generator: Picks whom to ask.

    Attributes:
        owner: The name of the front that owns the jobs; empty if unknown.
        term: The term in which it leads.
        replicas: The names of the replicas of the log.
        promises: The founders that each seed promised to accept.
    """

    def __init__(
        self, seeds: t.Sequence[str], generator: random.Random
    ) -> None:
        self.seeds = tuple(seeds)
        self.owner = ""
        self.term = 0
        self.replicas: tuple[str, ...] = ()
        self.promises: dict[str, tuple[str, ...]] = {}
        self._owner_heard_at = 0.0
        self._random = generator
        self._fronts: dict[str, _Heard] = {}

    def hear(self, ref: locating.FrontRef, now: float) -> None:
        """Takes in a front, heard of `ref.heard_ms` ago."""
        at = now - ref.heard_ms / 1000
        known = self._fronts.get(ref.name)
        if known is None or known.at < at:
            self._fronts[ref.name] = _Heard(ref, at)

    def merge(self, sender: str, view: locating.View, now: float) -> bool:
        """Takes in what a front knows; returns whether the owner changed."""
        for ref in view.fronts:
            self.hear(ref, now)
        if sender == view.owner:
            self._owner_heard_at = now
        if view.promised:
            self.promises[sender] = view.promised
        if view.term >= self.term and view.replicas:
            self.replicas = view.replicas
        return self.note_owner(view.owner, view.term)

    def note_owner(self, owner: str, term: int) -> bool:
        """Takes in who leads; returns whether that is news."""
        is_known = (owner, term) == (self.owner, self.term)
        if not owner or term < self.term or is_known:
            return False
        self.owner = owner
        self.term = term
        return True

    def is_owner_heard(self, me: str, now: float) -> bool:
        """Returns whether the owner is this front or was heard lately."""
        if not self.owner:
            return False
        silence_s = now - self._owner_heard_at
        return self.owner == me or silence_s < OWNER_SILENCE_S

    def list_fronts(self, now: float) -> list[locating.FrontRef]:
        """Returns the fronts heard of lately, with the age of that."""
        return [
            heard.ref._replace(heard_ms=round((now - heard.at) * 1000))
            for heard in self._fronts.values()
            if now - heard.at < FORGET_S
        ]

    def choose_targets(self, me: str, now: float) -> list[str]:
        """Returns the seeds, the owner and a few other fronts, to be asked."""
        names = [ref.name for ref in self.list_fronts(now)]
        others = self._random.sample(names, min(len(names), RANDOM_TARGETS))
        targets = {*self.seeds, *others, self.owner}
        return sorted(targets - {me, ""})
