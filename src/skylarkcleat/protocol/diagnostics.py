"""Messages that query events, and that report and query incidents.

Any process records events of its own; control replicas store incidents.
"""

from __future__ import annotations

import typing as t

from skylarkcleat.timeline import event as event_lib
from skylarkcleat.wire import codec

MAX_EVENTS_PER_PAGE = 512
MAX_INCIDENTS_PER_PAGE = 256


@codec.sent_as("EventsWanted")
class EventQuery(t.NamedTuple):
    """Asks a process for a page of its events.

    Attributes:
        request: Chosen by the sender; the reply carries it.
        job: The job whose events to return; empty for all recent ones.
        after: 0, or `after` of the previous page.
        limit: The most events to return, at most `MAX_EVENTS_PER_PAGE`.
    """

    request: int
    job: str = ""
    after: int = 0
    limit: int = MAX_EVENTS_PER_PAGE


@codec.sent_as("EventsFound")
class EventPage(t.NamedTuple):
    """A page of a process's events.

    Attributes:
        request: That of the query.
        process: The name of the process that replies.
        events: The events, in the order of recording.
        after: The position to query the next page with.
        missed: The number of events that are no longer kept between the
            queried position and the first of these, or of the job's events
            that were not recorded.
        done: Whether no events follow this page yet.
    """

    request: int
    process: str
    events: tuple[event_lib.Event, ...]
    after: int
    missed: int
    done: bool


class IncidentReport(t.NamedTuple):
    """Reports incidents to a control replica; resent until acknowledged.

    Attributes:
        request: Chosen by the reporter; the acknowledgement carries it.
        process: The name of the process that reports.
        packed: The incidents, by `incident_codec.pack_incidents`; duplicates
            are recognised by their ids.
        unrecorded: The number of incidents that the process had no room for
            since it started.
    """

    request: int
    process: str
    packed: bytes
    unrecorded: int = 0


class IncidentAck(t.NamedTuple):
    """Acknowledges incidents that are on the replica's disk.

    Attributes:
        request: That of the report.
        ids: The ids of the incidents.
    """

    request: int
    ids: tuple[str, ...]


@codec.sent_as("IncidentsWanted")
class IncidentQuery(t.NamedTuple):
    """Asks a control replica for incidents of a job or of a period.

    Attributes:
        request: Chosen by the sender; the reply carries it.
        job: The job; empty to query a period.
        begin_ms: The start of the period, in milliseconds since the epoch.
        end_ms: The end of the period, exclusive, in milliseconds since the
            epoch.
        skip: How many incidents to skip: those of the previous pages.
    """

    request: int
    job: str = ""
    begin_ms: int = 0
    end_ms: int = 0
    skip: int = 0


@codec.sent_as("IncidentsFound")
class IncidentPage(t.NamedTuple):
    """A page of a replica's incidents.

    Attributes:
        request: That of the query.
        packed: At most `MAX_INCIDENTS_PER_PAGE`, oldest first, by
            `incident_codec.pack_incidents`.
        damaged: The number of stored records that could not be read.
        done: Whether no incidents follow this page.
    """

    request: int
    packed: bytes
    damaged: int
    done: bool
