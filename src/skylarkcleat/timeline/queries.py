"""Answers questions about events and incidents, piece by piece."""

from __future__ import annotations

import collections.abc
import itertools

from skylarkcleat.protocol import diagnostics
from skylarkcleat.timeline import incident as incident_lib
from skylarkcleat.timeline import incident_codec
from skylarkcleat.timeline import recorder as recorder_lib


def answer_query(
    recorder: recorder_lib.Recorder,
    process: str,
    question: diagnostics.EventQuery,
) -> diagnostics.EventPage:
    """Returns the piece that was asked for.

    Args:
        recorder: The events of this process.
        process: The name of this process.
        question: Also one with a limit out of bounds, which is cut to them.
    """
    limit = min(max(question.limit, 1), diagnostics.MAX_EVENTS_PER_PAGE)
    if not question.job:
        piece = recorder.read_after(question.after, limit)
        return diagnostics.EventPage(
            request=question.request,
            process=process,
            events=piece.events,
            after=piece.after,
            missed=piece.missed,
            done=len(piece.events) < limit,
        )
    rows = recorder.find_job(question.job)
    begin = min(max(question.after, 0), len(rows))
    events = rows[begin : begin + limit]
    after = begin + len(events)
    return diagnostics.EventPage(
        request=question.request,
        process=process,
        events=events,
        after=after,
        missed=recorder.count_short(question.job),
        done=after >= len(rows),
    )


def answer_incident_inquiry(
    incidents: collections.abc.Iterable[incident_lib.Incident],
    damaged: int,
    question: diagnostics.IncidentQuery,
) -> diagnostics.IncidentPage:
    """Returns the piece of incidents that was asked for.

    Args:
        incidents: All that the question is about, oldest first.
        damaged: Records of the store that could not be read.
        question: The question.
    """
    begin = max(question.skip, 0)
    end = begin + diagnostics.MAX_INCIDENTS_PER_PAGE
    rows = list(itertools.islice(incidents, begin, end + 1))
    piece = rows[: diagnostics.MAX_INCIDENTS_PER_PAGE]
    return diagnostics.IncidentPage(
        request=question.request,
        packed=incident_codec.pack_incidents(piece),
        damaged=damaged,
        done=len(rows) == len(piece),
    )
