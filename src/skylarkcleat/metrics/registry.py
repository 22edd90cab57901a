"""Creates a process's metrics and answers scrapes of them."""

from __future__ import annotations

import collections.abc

import aioprometheus

PREFIX = "skylarkcleat_"


class Registry:
    """The metrics of one process, under the project's prefix."""

    def __init__(self) -> None:
        self._registry = aioprometheus.Registry()

    def add_counter(self, name: str, doc: str) -> aioprometheus.Counter:
        """Returns a new counter."""
        return aioprometheus.Counter(
            PREFIX + name, doc, registry=self._registry
        )

    def add_gauge(self, name: str, doc: str) -> aioprometheus.Gauge:
        """Returns a new gauge."""
        return aioprometheus.Gauge(PREFIX + name, doc, registry=self._registry)

    def add_histogram(
        self, name: str, doc: str, buckets: tuple[float, ...]
    ) -> aioprometheus.Histogram:
        """Returns a new histogram; its last bucket has to be infinite."""
        return aioprometheus.Histogram(
            PREFIX + name, doc, registry=self._registry, buckets=buckets
        )

    def render(
        self, accepts: collections.abc.Sequence[str]
    ) -> tuple[bytes, dict[str, str]]:
        """Returns the body and the headers of an answer to a scrape.

        Args:
            accepts: The values of the request's `Accept` headers.
        """
        return aioprometheus.render(self._registry, list(accepts))
