"""Sends a front's open requests to their target once it is known."""

from __future__ import annotations

import asyncio

import eliot

from skylarkcleat import clock as clock_lib
from skylarkcleat.discovery import election as election_lib
from skylarkcleat.discovery import peer_table as peer_table_lib
from skylarkcleat.front import configuration_cache as configuration_cache_lib
from skylarkcleat.front import pause as pause_lib
from skylarkcleat.front import requests as requests_lib
from skylarkcleat.protocol import locating

TARGET_POLL_S = 0.02
"""How often the targets are compared with the last ones."""


class RequestResender:
    """Resends open requests whenever their target changes.

    Args:
        election: Tells the owner of the jobs.
        peers: Tells the leader of the log.
        configuration_cache: Holds the configuration of this front.
        pauses: Tells whether this front has just stood still.
        job_requests: The open requests for the owner.
        log_requests: The open requests for the log's leader.
    """

    def __init__(
        self,
        election: election_lib.Election,
        peers: peer_table_lib.PeerTable,
        configuration_cache: configuration_cache_lib.ConfigurationCache,
        pauses: pause_lib.PauseWatch,
        job_requests: requests_lib.Requests,
        log_requests: requests_lib.Requests,
    ) -> None:
        self._election = election
        self._peers = peers
        self._configuration_cache = configuration_cache
        self._pauses = pauses
        self._job_requests = job_requests
        self._log_requests = log_requests

    async def run(self) -> None:
        """Polls the targets until it is cancelled."""
        known = locating.OwnerRef()
        known_log = self._peers.log
        while True:
            now = clock_lib.read_monotonic()
            is_recovering = self._pauses.is_recovering(now)
            owner = self._find_owner(now, is_recovering)
            if owner != known:
                known = owner
                eliot.log_message(
                    "front:owner", owner=owner.name, term=owner.term
                )
                self._job_requests.resend()
            if not owner.term and not is_recovering:
                self._job_requests.give_up_expired()
            if self._peers.log[:2] != known_log[:2]:
                known_log = self._peers.log
                self._log_requests.resend()
            self._job_requests.send_unsent()
            self._log_requests.send_unsent()
            await asyncio.sleep(TARGET_POLL_S)

    def _find_owner(self, now: float, is_recovering: bool) -> locating.OwnerRef:
        """Returns the owner that jobs can be sent to; an empty one if none."""
        has_owner = self._election.has_live_owner(now)
        if (
            has_owner
            and not is_recovering
            and self._configuration_cache.version
        ):
            return self._election.followed
        return locating.OwnerRef()
