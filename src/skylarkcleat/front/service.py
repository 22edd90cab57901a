"""What a front does for callers and operators, whatever they speak."""

from __future__ import annotations

import abc

from skylarkcleat.configuration import content
from skylarkcleat.protocol import scheduling


class FrontService(abc.ABC):
    """A front, as the adapter sees it."""

    @property
    @abc.abstractmethod
    def is_ready(self) -> bool:
        """Whether callers had better be sent here."""

    @property
    @abc.abstractmethod
    def is_draining(self) -> bool:
        """Whether the front is about to stop."""

    @abc.abstractmethod
    async def submit(
        self, host: str, path: str, job: scheduling.Job, caller_timeout_ms: int
    ) -> scheduling.Reply:
        """Answers once the job has ended or is refused.

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
        """Answers about a job or, if `job` is empty, a queue."""

    @abc.abstractmethod
    async def put_configuration(
        self, configuration: content.Configuration
    ) -> scheduling.Reply:
        """Answers once the configuration is durable."""

    @abc.abstractmethod
    async def read_configuration(self) -> content.Configuration | None:
        """Returns the newest configuration; None if that is not certain."""
