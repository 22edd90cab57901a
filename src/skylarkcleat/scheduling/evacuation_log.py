"""Logs what is left in evacuated zones and what they cost."""

from __future__ import annotations

import collections
import typing as t

import eliot

from skylarkcleat.scheduling import zones_in_use

INTERVAL_S = 0.5
"""The shortest interval between two lines about the same evacuation."""

EVACUATION = "owner:evacuation"
"""The type of the line; one for each zone that is evacuated, or was."""


class _Line(t.NamedTuple):
    evacuated: bool
    runs: int
    refused: int


class EvacuationLog:
    """Writes a line for a zone when something has changed since the last."""

    def __init__(self) -> None:
        self._written: dict[str, _Line] = {}
        self._written_at: dict[str, float] = {}

    def record(
        self,
        zones: zones_in_use.ZonesInUse,
        runs: collections.Counter[str],
        refused: collections.Counter[str],
        now: float,
    ) -> None:
        """Records the runs in each zone and the jobs refused because of it."""
        evacuated = {state.zone for state in zones.evacuated}
        for zone in sorted({*evacuated, *self._written}):
            is_evacuated = zone in evacuated
            left = runs[zone] if is_evacuated else 0
            line = _Line(is_evacuated, left, refused[zone])
            written = self._written.get(zone)
            if line == written:
                continue
            is_news = written is None or written.evacuated != is_evacuated
            if is_news or now - self._written_at[zone] >= INTERVAL_S:
                self._write(zone, line, now)

    def _write(self, zone: str, line: _Line, now: float) -> None:
        self._written[zone] = line
        self._written_at[zone] = now
        eliot.log_message(
            EVACUATION,
            zone=zone,
            evacuated=line.evacuated,
            runs=line.runs,
            refused=line.refused,
        )
