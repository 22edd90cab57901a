"""Caches the configuration in force on a front and fetches newer ones.

The log decides which configuration is in force. Every front keeps a copy in
memory, so that jobs are served while no front leads the log. It queries the
leader several times a second, and accepts a newer one from any other front.
"""

from __future__ import annotations

import eliot

from skylarkcleat.configuration import content
from skylarkcleat.configuration import store as store_lib
from skylarkcleat.front import evacuation_cache
from skylarkcleat.front import latest_version
from skylarkcleat.protocol import locating
from skylarkcleat.protocol import scheduling


class ConfigurationCache:
    """A front's copy of the configuration in force.

    Args:
        store: What the log holds; None on a front without a disk.
        evacuations: The front's copy of what else the log holds.

    Attributes:
        evacuations: That copy.
    """

    def __init__(
        self,
        store: store_lib.Store | None,
        evacuations: evacuation_cache.EvacuationCache | None = None,
    ) -> None:
        self._store = store
        self.evacuations = evacuations or evacuation_cache.EvacuationCache()
        self._current = content.Configuration()
        self._index = content.QueueIndex(self._current)
        self._latest = latest_version.LatestVersion()

    @property
    def current(self) -> content.Configuration:
        """The newest configuration that this front has."""
        self._refresh()
        return self._current

    @property
    def version(self) -> int:
        """The version of the current configuration; 0 before there is any."""
        return self.current.version

    @property
    def latest_known_version(self) -> int:
        """The newest version that any process has used."""
        return self._latest.number

    @property
    def is_behind(self) -> bool:
        """Whether another process has used a newer configuration."""
        return self.version < self.latest_known_version

    def find(self, host: str, path: str) -> content.Match | None:
        """Returns the queue that a path belongs to, or None."""
        self._refresh()
        return self._index.find(host, path)

    def find_queue(self, host: str, path: str) -> content.Queue | None:
        """Returns the queue whose own path it is, not one below; or None."""
        match = self.find(host, path)
        return match.queue if match and not match.rest else None

    def find_submission_queue(
        self, message: scheduling.Submit
    ) -> content.Queue | None:
        """Returns the queue of a submission; None if it has none.

        A job that was accepted before its queue was removed goes on there.
        """
        return self.find_queue(message.host, message.path) or message.queue

    def update(self, configuration: content.Configuration) -> None:
        """Replaces the configuration in force if the given one is newer."""
        if configuration.version > self._current.version:
            self._current = configuration
            self._index = content.QueueIndex(configuration)
            eliot.log_message(
                "front:configuration",
                version=configuration.version,
                queues=len(configuration.queues),
            )

    def record_version(self, version: int) -> bool:
        """Records the version that another process has.

        Returns:
            Whether to fetch the configuration from that process.
        """
        return self._latest.record(version, self.version)

    def handle_fetch(
        self, fetch: locating.FetchConfiguration
    ) -> locating.GiveConfiguration | None:
        """Returns the reply to a fetch; None without a newer version."""
        if self.version <= fetch.version:
            return None
        return locating.GiveConfiguration(content.encode(self.current))

    def _refresh(self) -> None:
        if self._store is not None:
            self.update(self._store.configuration)
