"""Who founds the replicated log at the very first start.

All fronts start at about the same time and know the same seeds. The founders
are the fronts with an empty disk. Each seed promises to accept one set of
founders and never another, so at most one set gets a majority's promise.
"""

from __future__ import annotations

import typing as t

from skylarkcleat.discovery import knowledge as knowledge_lib

SETTLING_S = 1.0
"""How long the founders must have been the same; starts differ by 0.3 s."""

FRESH_S = 1.5


class Founding:
    """One front's part in the founding.

    Args:
        me: This front's name.
        may_found: Whether it is the first start and its disk is empty.
        may_promise: Whether it is the first start.
        knowledge: What this front knows.

    Attributes:
        promised: The founders that this front promised to accept.
    """

    def __init__(
        self,
        me: str,
        may_found: bool,
        may_promise: bool,
        knowledge: knowledge_lib.Knowledge,
    ) -> None:
        self.promised: tuple[str, ...] = ()
        self._me = me
        self._may_found = may_found
        self._may_promise = may_promise
        self._knowledge = knowledge
        self._candidates: tuple[str, ...] = ()
        self._since = 0.0

    def promise(self, founders: tuple[str, ...]) -> None:
        """Promises to accept founders, unless others were promised before."""
        if self._may_promise and not self.promised:
            self.promised = founders

    def find_proposal(self, now: float) -> tuple[str, ...]:
        """Returns the founders to propose to the seeds; empty for none."""
        if not self._may_found or self._knowledge.log.replicas:
            return ()
        candidates = self._list_candidates(now)
        if candidates != self._candidates:
            self._candidates = candidates
            self._since = now
        if now - self._since < SETTLING_S or candidates[:1] != (self._me,):
            return ()
        return self._choose(candidates)

    def find_founders(self) -> tuple[str, ...]:
        """Returns the founders that a majority of the seeds promised."""
        majority = len(self._knowledge.seeds) // 2 + 1
        promises = self._list_promises()
        for founders in set(promises):
            is_mine = self._may_found and self._me in founders
            if is_mine and promises.count(founders) >= majority:
                return founders
        return ()

    def _choose(self, candidates: tuple[str, ...]) -> tuple[str, ...]:
        promises = [p for p in self._list_promises() if self._me in p]
        if promises:
            return max(promises, key=promises.count)
        return candidates

    def _list_promises(self) -> list[tuple[str, ...]]:
        known: dict[str, tuple[str, ...]] = dict(self._knowledge.promises)
        if self.promised:
            known[self._me] = self.promised
        seeds: t.Iterable[str] = self._knowledge.seeds
        return [known[seed] for seed in seeds if seed in known]

    def _list_candidates(self, now: float) -> tuple[str, ...]:
        names = [
            ref.name
            for ref in self._knowledge.list_fronts(now)
            if ref.has_disk
            and ref.is_empty
            and ref.last_seen_ms < FRESH_S * 1000
        ]
        if self._me not in names:
            names.append(self._me)
        return tuple(sorted(names))
