"""Caches the configuration in force on a front and fetches newer ones.

The log decides which configuration is in force. Every front keeps a copy in
memory, so that jobs are served while no front leads the log. It queries the
leader several times a second, and accepts a newer one from any other front.
"""

from __future__ import annotations

import eliot

from skylarkcleat import clock as clock_lib
from skylarkcleat.configuration import content
from skylarkcleat.configuration import store as store_lib
from skylarkcleat.protocol import locating

FETCH_INTERVAL_S = 0.1
"""How long to wait for a configuration before fetching again."""


class ConfigurationCache:
    """A front's copy of the configuration in force.

    Args:
        store: What the log holds; None on a front without a disk.

    Attributes:
        latest_known_version: The newest version that any process has used.
    """

    def __init__(self, store: store_lib.Store | None) -> None:
        self._store = store
        self._current = content.Configuration()
        self._index = content.QueueIndex(self._current)
        self.latest_known_version = 0
        self._fetched_at = float("-inf")

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
    def is_behind(self) -> bool:
        """Whether another process has used a newer configuration."""
        return self.version < self.latest_known_version

    def find(self, host: str, path: str) -> content.Match | None:
        """Returns the queue that a path belongs to, or None."""
        self._refresh()
        return self._index.find(host, path)

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
        self.latest_known_version = max(self.latest_known_version, version)
        now = clock_lib.read_monotonic()
        if version <= self.version or now - self._fetched_at < FETCH_INTERVAL_S:
            return False
        self._fetched_at = now
        return True

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
