"""Gauges of evacuated availability zones, from the log lines about them."""

from __future__ import annotations

import typing as t

from skylarkcleat.metrics import label
from skylarkcleat.metrics import registry as registry_lib
from skylarkcleat.scheduling import evacuation_log

MAX_ZONES = 64
EVACUATIONS = "front:evacuations"


class ZoneGauges:
    """Sets the gauges of each zone that was ever evacuated.

    Args:
        registry: Where the gauges are added.
    """

    def __init__(self, registry: registry_lib.Registry) -> None:
        self._zones = label.LabelSet(MAX_ZONES)
        self._owned: set[str] = set()
        self._evacuated: set[str] = set()
        self._since = registry.add_gauge(
            "zone_evacuated_since_seconds",
            "Unix time at which a zone was evacuated; 0 while it is in use.",
        )
        self._runs = registry.add_gauge(
            "zone_runs_left", "Runs in an evacuated zone, on the owner."
        )
        self._refused = registry.add_gauge(
            "zone_jobs_refused",
            "Jobs refused by this owner: only that zone has runners for them.",
        )

    def record(self, message: dict[str, t.Any]) -> None:
        """Takes in a log line."""
        kind = message.get("message_type", "")
        if kind == EVACUATIONS:
            self._record_since(message["since_ms"])
        elif kind == evacuation_log.EVACUATION:
            self._owned.add(message["zone"])
            self._record_owned(
                message["zone"], message["runs"], message["refused"]
            )
        elif kind == "owner:ended":
            for zone in self._owned:
                self._record_owned(zone, 0, 0)

    def _record_since(self, since_ms: dict[str, int]) -> None:
        for zone in {*self._evacuated, *since_ms}:
            labels = {"zone": self._zones.admit(zone)}
            self._since.set(labels, since_ms.get(zone, 0) / 1000)
        self._evacuated.update(since_ms)

    def _record_owned(self, zone: str, runs: int, refused: int) -> None:
        labels = {"zone": self._zones.admit(zone)}
        self._runs.set(labels, runs)
        self._refused.set(labels, refused)
