"""Messages about events and incidents, between any two processes."""

from __future__ import annotations

import typing as t

from skylarkcleat.timeline import event as event_lib
from skylarkcleat.wire import codec

MAX_EVENTS_PER_PAGE = 512
MAX_INCIDENTS_PER_PAGE = 256


@codec.sent_as("EventsWanted")
class EventQuery(t.NamedTuple):
    """Asks a process for a piece of its events.

    Attributes:
        request: Chosen by the asker; the answer carries it.
        job: The job whose events are wanted; empty for all the recent ones.
        after: 0, or `after` of the piece before.
        limit: The most events wanted, at most `MAX_EVENTS_PER_PIECE`.
    """

    request: int
    job: str = ""
    after: int = 0
    limit: int = MAX_EVENTS_PER_PAGE


@codec.sent_as("EventsFound")
class EventPage(t.NamedTuple):
    """A piece of a process's events.

    Attributes:
        request: That of the question.
        process: The name of the process that answers.
        events: In the order of recording.
        after: Ask for the next piece with it.
        missed: Events between the position asked for and the first of these
            that are gone, or events of the job that were not recorded.
        done: Whether there is nothing behind this piece yet.
    """

    request: int
    process: str
    events: tuple[event_lib.Event, ...]
    after: int
    missed: int
    done: bool


class IncidentReport(t.NamedTuple):
    """Hands incidents to a control replica; sent until acknowledged.

    Attributes:
        request: Chosen by the reporter; the acknowledgement carries it.
        process: The name of the process that reports.
        packed: The incidents, by `incident_codec.pack_incidents`; they are
            told apart by their ids, however often they come.
        unrecorded: Incidents that the process had no room for, since it
            started.
    """

    request: int
    process: str
    packed: bytes
    unrecorded: int = 0


class IncidentAck(t.NamedTuple):
    """Says which incidents are on the replica's disk.

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
        request: Chosen by the asker; the answer carries it.
        job: The job; empty if a period is asked for.
        begin_ms: The first moment, in milliseconds since the epoch.
        end_ms: The first moment after it, in milliseconds since the epoch.
        skip: How many to pass over, for the next piece.
    """

    request: int
    job: str = ""
    begin_ms: int = 0
    end_ms: int = 0
    skip: int = 0


@codec.sent_as("IncidentsFound")
class IncidentPage(t.NamedTuple):
    """A piece of a replica's incidents.

    Attributes:
        request: That of the question.
        packed: At most `MAX_INCIDENTS_PER_PIECE`, oldest first, by
            `incident_codec.pack_incidents`.
        damaged: Records of the store that could not be read.
        done: Whether there is nothing behind this piece.
    """

    request: int
    packed: bytes
    damaged: int
    done: bool
