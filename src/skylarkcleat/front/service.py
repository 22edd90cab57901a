"""The interface of a front for callers and operators.

It does not depend on the protocol that they use.
"""

from __future__ import annotations

import abc

from skylarkcleat.configuration import content
from skylarkcleat.protocol import scheduling


class FrontService(abc.ABC):
    """A front, as used by the adapter to the users' infrastructure."""

    @property
    @abc.abstractmethod
    def is_ready(self) -> bool:
        """Whether the load balancer should send callers here."""

    @property
    @abc.abstractmethod
    def is_draining(self) -> bool:
        """Whether the front is about to stop."""

    @abc.abstractmethod
    async def submit(
        self, host: str, path: str, job: scheduling.Job, caller_timeout_ms: int
    ) -> scheduling.Reply:
        """Submits a job and replies once it has ended or is refused.

        Args:
            host: The caller's host.
            path: The path up to the job's id.
            job: The job.
            caller_timeout_ms: How long the caller waits, in milliseconds.
        """

    @abc.abstractmethod
    async def query(
        self, host: str, path: str, job: str, cancel: bool
    ) -> scheduling.Reply:
        """Returns the state of a job or, if `job` is empty, of a queue."""

    @abc.abstractmethod
    async def put_configuration(
        self, configuration: content.Configuration
    ) -> scheduling.Reply:
        """Returns a reply once the configuration is durable."""

    @abc.abstractmethod
    async def order_zone(self, zone: str, evacuate: bool) -> scheduling.Reply:
        """Returns a reply once an order for a zone is durable, or refused.

        Args:
            zone: The availability zone.
            evacuate: Whether to evacuate it, or to return it to service.
        """

    @abc.abstractmethod
    async def read_configuration(self) -> content.Configuration | None:
        """Returns the newest configuration; None if that is not certain."""
