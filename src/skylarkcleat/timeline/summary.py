"""What went wrong over a period, by profile and cause."""

from __future__ import annotations

import collections.abc
import typing as t

from skylarkcleat.model import cause as cause_lib
from skylarkcleat.timeline import incident as incident_lib

MAX_SAMPLES = 3


class SummaryRow(t.NamedTuple):
    """One cause of one profile.

    Attributes:
        profile: The profile's name.
        cause: The cause.
        jobs: How many jobs it concerned.
        worst_late_ms: The latest of them, in milliseconds.
        samples: Some of the jobs, to be explained one by one.
    """

    profile: str
    cause: cause_lib.Cause
    jobs: int
    worst_late_ms: float
    samples: tuple[str, ...]


class Summary(t.NamedTuple):
    """What went wrong over a period.

    Attributes:
        begin_ms: The first moment, in milliseconds since the epoch.
        end_ms: The first moment after it, in milliseconds since the epoch.
        rows: Most jobs first.
        unrecorded: Incidents that no process had room to report.
        damaged: Records of the store that could not be read.
    """

    begin_ms: int
    end_ms: int
    rows: tuple[SummaryRow, ...]
    unrecorded: int = 0
    damaged: int = 0


def summarize(
    incidents: collections.abc.Iterable[incident_lib.Incident],
    begin_ms: int,
    end_ms: int,
    unrecorded: int = 0,
    damaged: int = 0,
) -> Summary:
    """Returns the jobs of a period, by profile and cause.

    A job that several processes reported counts once, with the cause that
    the report with the most evidence gave.

    Args:
        incidents: Also of other times and repeated; read once.
        begin_ms: The first moment, in milliseconds since the epoch.
        end_ms: The first moment after it, in milliseconds since the epoch.
        unrecorded: Incidents that no process had room to report.
        damaged: Records of the store that could not be read.
    """
    best: dict[str, _Finding] = {}
    for incident in incidents:
        if not begin_ms <= incident.wall_ms < end_ms:
            continue
        finding = _find(incident)
        known = best.get(incident.job)
        if known is None or finding.weight > known.weight:
            best[incident.job] = finding
    groups: dict[tuple[str, cause_lib.Cause], list[tuple[str, float]]] = {}
    for job, finding in best.items():
        group = groups.setdefault((finding.profile, finding.cause), [])
        group.append((job, finding.late_ms))
    rows = [
        SummaryRow(
            profile=profile,
            cause=cause,
            jobs=len(jobs),
            worst_late_ms=max(late_ms for _, late_ms in jobs),
            samples=_choose_samples(jobs),
        )
        for (profile, cause), jobs in groups.items()
    ]
    rows.sort(key=lambda row: (-row.jobs, row.profile, row.cause))
    return Summary(begin_ms, end_ms, tuple(rows), unrecorded, damaged)


class _Finding(t.NamedTuple):
    weight: tuple[bool, bool, int]
    profile: str
    cause: cause_lib.Cause
    late_ms: float


def _find(incident: incident_lib.Incident) -> _Finding:
    known = incident.cause is not cause_lib.Cause.NOT_KNOWN
    weight = (incident.ending is not None, known, len(incident.events))
    return _Finding(weight, incident.profile, incident.cause, incident.late_ms)


def _choose_samples(jobs: list[tuple[str, float]]) -> tuple[str, ...]:
    latest = sorted(jobs, key=lambda each: (-each[1], each[0]))
    return tuple(job for job, _ in latest[:MAX_SAMPLES])
