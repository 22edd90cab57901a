"""Choice of the initial replicas of the log at the very first start.

All fronts start at about the same time and know the same seeds. The initial
replicas are the fronts with an empty disk. Each seed promises to accept one
set of them and never another, so at most one set is promised by a majority.

A front that starts again takes part if its disk was there at the first start,
and keeps its promise. A seed without a disk forgets it and promises nothing
any more.
"""

from __future__ import annotations

from skylarkcleat.discovery import bootstrap_record
from skylarkcleat.discovery import peer_table as peer_table_lib

STABLE_S = 1.0
"""How long the candidates must have been the same before they are proposed;
starts of the fronts differ by 0.3 s."""

FRESH_FRONT_S = 1.5


class Bootstrap:
    """One front's part in the choice of the initial replicas.

    Args:
        local_name: This front's name.
        record: What it knows of the first start; None if it has no part.
        has_disk: Whether it can be a replica of the log.
        peers: The known fronts, and the seeds' promises.

    Attributes:
        promised: The initial replicas that this front has promised to accept.
        unsaved: The record with a promise that is not durable yet, and that
            nobody may be told of.
        seeds: Those of the very first start, who decide; later ones may differ.
        may_be_chosen: Whether this front may be one of the initial replicas.
    """

    def __init__(
        self,
        local_name: str,
        record: bootstrap_record.BootstrapRecord | None,
        has_disk: bool,
        peers: peer_table_lib.PeerTable,
    ) -> None:
        self.promised = record.promised if record else ()
        self.unsaved: bootstrap_record.BootstrapRecord | None = None
        self.seeds = record.seeds if record else peers.seeds
        self.may_be_chosen = record is not None and has_disk
        self._record = record
        self._local_name = local_name
        self._peers = peers
        self._candidates: tuple[str, ...] = ()
        self._since = 0.0

    def accept(self, founders: tuple[str, ...]) -> None:
        """Promises to accept initial replicas unless it has promised before.

        The promise counts once it is saved.
        """
        record = self.unsaved or self._record
        if record is not None and not record.promised:
            self.unsaved = record._replace(promised=founders)

    def record_saved(self, record: bootstrap_record.BootstrapRecord) -> None:
        """Records that a promise is durable."""
        self._record = record
        self.promised = record.promised
        self.unsaved = None

    def find_proposal(self, now: float) -> tuple[str, ...]:
        """Returns the initial replicas to propose to the seeds, if any.

        Only the first candidate by name proposes.
        """
        if not self.may_be_chosen or self._peers.log.replicas:
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
            is_mine = self.may_be_chosen and self._local_name in founders
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
