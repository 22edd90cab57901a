"""Choice of the initial replicas of the log at the very first start.

All fronts start at about the same time and know the same seeds. The initial
replicas are the fronts with an empty disk. Each seed promises to accept one
set of them and never another, so at most one set is promised by a majority.
"""

from __future__ import annotations

from skylarkcleat.discovery import peer_table as peer_table_lib

STABLE_S = 1.0
"""How long the candidates must have been the same before they are proposed;
starts of the fronts differ by 0.3 s."""

FRESH_FRONT_S = 1.5


class Bootstrap:
    """One front's part in the choice of the initial replicas.

    Args:
        local_name: This front's name.
        may_bootstrap: Whether it is the first start and its disk is empty.
        may_promise: Whether it is the first start.
        peers: The known fronts, and the seeds' promises.

    Attributes:
        promised: The initial replicas that this front promised to accept.
        seeds: Those of the very first start, who decide; later ones may differ.
    """

    def __init__(
        self,
        local_name: str,
        may_bootstrap: bool,
        may_promise: bool,
        peers: peer_table_lib.PeerTable,
    ) -> None:
        self.promised: tuple[str, ...] = ()
        self.seeds = peers.seeds
        self._local_name = local_name
        self._may_bootstrap = may_bootstrap
        self._may_promise = may_promise
        self._peers = peers
        self._candidates: tuple[str, ...] = ()
        self._since = 0.0

    def promise(self, founders: tuple[str, ...]) -> None:
        """Promises to accept initial replicas unless it has promised before."""
        if self._may_promise and not self.promised:
            self.promised = founders

    def find_proposal(self, now: float) -> tuple[str, ...]:
        """Returns the initial replicas to propose to the seeds, if any.

        Only the first candidate by name proposes.
        """
        if not self._may_bootstrap or self._peers.log.replicas:
            return ()
        candidates = self._list_candidates(now)
        if candidates != self._candidates:
            self._candidates = candidates
            self._since = now
        if now - self._since < STABLE_S or candidates[:1] != (
            self._local_name,
        ):
            return ()
        return self._choose(candidates)

    def find_initial_replicas(self) -> tuple[str, ...]:
        """Returns the initial replicas that a majority of the seeds promised.

        Empty if there is no such set, or if this front isn't in it.
        """
        majority = len(self.seeds) // 2 + 1
        promises = self._list_promises()
        for founders in set(promises):
            is_mine = self._may_bootstrap and self._local_name in founders
            if is_mine and promises.count(founders) >= majority:
                return founders
        return ()

    def _choose(self, candidates: tuple[str, ...]) -> tuple[str, ...]:
        promises = [p for p in self._list_promises() if self._local_name in p]
        if promises:
            return max(promises, key=promises.count)
        return candidates

    def _list_promises(self) -> list[tuple[str, ...]]:
        known: dict[str, tuple[str, ...]] = dict(self._peers.promises)
        if self.promised:
            known[self._local_name] = self.promised
        return [known[seed] for seed in self.seeds if seed in known]

    def _list_candidates(self, now: float) -> tuple[str, ...]:
        names = [
            ref.name
            for ref in self._peers.list_fronts(now)
            if ref.has_disk
            and ref.is_empty
            and ref.last_seen_ms < FRESH_FRONT_S * 1000
        ]
        if self._local_name not in names:
            names.append(self._local_name)
        return tuple(sorted(names))
