"""Takes part in the choice of the initial replicas of the log."""

from __future__ import annotations

import asyncio
import typing as t

import eliot

from skylarkcleat import supervision
from skylarkcleat.consensus import driver as driver_lib
from skylarkcleat.discovery import bootstrap as bootstrap_lib
from skylarkcleat.discovery import bootstrap_record
from skylarkcleat.discovery import peer_table as peer_table_lib
from skylarkcleat.protocol import locating


class LogBootstrap:
    """One front's part in the choice, at the very first start.

    Args:
        local_name: The name of this front.
        keeper: Keeps what it knows of the first start.
        peers: The fronts that are known.
        log: Its replica of the log; None without a disk.
        send: Sends a message to a process by name.
    """

    def __init__(
        self,
        local_name: str,
        keeper: bootstrap_record.RecordKeeper,
        peers: peer_table_lib.PeerTable,
        log: driver_lib.LogDriver | None,
        send: t.Callable[[str, t.Any], None],
    ) -> None:
        self._local_name = local_name
        self._keeper = keeper
        self._peers = peers
        self._log = log
        self._send = send
        self._bootstrap = bootstrap_lib.Bootstrap(
            local_name, keeper.record, log is not None, peers
        )
        self._is_saving = False
        self._has_begun = False
        self._calls = supervision.BackgroundTasks("keep a promise")

    @property
    def promised(self) -> tuple[str, ...]:
        """The initial replicas that this front has promised to accept."""
        return self._bootstrap.promised

    @property
    def is_candidate(self) -> bool:
        """Whether this front can be one of the initial replicas."""
        return (
            self._bootstrap.may_be_chosen
            and self._log is not None
            and self._log.is_empty
        )

    @property
    def deciders(self) -> tuple[str, ...]:
        """The fronts that decide, while this one waits for their decision."""
        is_waiting = self._bootstrap.may_be_chosen and self._may_begin
        return self._bootstrap.seeds if is_waiting else ()

    def receive(self, proposal: locating.Propose) -> None:
        """Promises to accept a proposal, unless it has promised another."""
        self._bootstrap.accept(proposal.replicas)
        self._save_promise()

    def advance(self, now: float) -> None:
        """Proposes initial replicas, or begins with those that are chosen."""
        self._save_promise()
        if not self._may_begin:
            return
        initial_replicas = self._bootstrap.find_initial_replicas()
        if initial_replicas:
            self._has_begun = True
            eliot.log_message("front:founding", founders=list(initial_replicas))
            self._log.allow_bootstrap(initial_replicas)
            return
        proposal = self._bootstrap.find_proposal(now)
        if proposal:
            self._propose(proposal)

    @property
    def _may_begin(self) -> bool:
        log = self._log
        return log is not None and not self._has_begun and log.may_found

    def _propose(self, proposal: tuple[str, ...]) -> None:
        for seed in self._bootstrap.seeds:
            if seed == self._local_name:
                self.receive(locating.Propose(proposal))
            else:
                self._send(seed, locating.Propose(proposal))

    def _save_promise(self) -> None:
        """Makes a promise durable before anybody is told of it."""
        record = self._bootstrap.unsaved
        if record is None or self._is_saving:
            return
        if self._keeper.has_disk:
            self._is_saving = True
            self._calls.spawn(self._save(record))
        else:
            self._keeper.save(record)
            self._bootstrap.record_saved(record)

    async def _save(self, record: bootstrap_record.BootstrapRecord) -> None:
        try:
            await asyncio.to_thread(self._keeper.save, record)
            self._bootstrap.record_saved(record)
        finally:
            self._is_saving = False
