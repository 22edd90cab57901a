"""Handles the replies to a front's requests."""

from __future__ import annotations

import typing as t

from skylarkcleat.discovery import election as election_lib
from skylarkcleat.front import configuration_cache as configuration_cache_lib
from skylarkcleat.front import requests as requests_lib
from skylarkcleat.protocol import locating
from skylarkcleat.protocol import scheduling


class ReplyHandler:
    """Records replies, and fetches a newer configuration that one tells of.

    Args:
        election: Tells the owner, which has that configuration.
        configuration_cache: Holds the configuration of this front.
        job_requests: The open requests for the owner.
        log_requests: The open requests for the log's leader.
        send_any: Sends a message to a front by its name.
    """

    def __init__(
        self,
        election: election_lib.Election,
        configuration_cache: configuration_cache_lib.ConfigurationCache,
        job_requests: requests_lib.Requests,
        log_requests: requests_lib.Requests,
        send_any: t.Callable[[str, t.Any], None],
    ) -> None:
        self._election = election
        self._configuration_cache = configuration_cache
        self._job_requests = job_requests
        self._log_requests = log_requests
        self._send_any = send_any

    def handle(self, reply: scheduling.Reply) -> None:
        """Handles a reply of the owner or of the log's leader."""
        if self._configuration_cache.record_version(reply.version):
            owner = self._election.followed.name
            version = self._configuration_cache.version
            self._send_any(owner, locating.FetchConfiguration(version))
        self._job_requests.handle_reply(reply)
        self._log_requests.handle_reply(reply)
