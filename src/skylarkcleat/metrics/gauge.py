"""The gauges, and which roles have them."""

from __future__ import annotations

import enum
import typing as t

from skylarkcleat.model import member

_Role = member.Role
_EVERY = frozenset(_Role)
_ENTRY = frozenset({_Role.ENTRY})
_AGENT = frozenset({_Role.AGENT})
_CONTROL = frozenset({_Role.CONTROL})
_NODES = _ENTRY | _AGENT


class GaugeSpec(t.NamedTuple):
    """What a gauge tells, and where.

    Attributes:
        name: Behind the prefix that every metric has.
        doc: One sentence.
        roles: The roles that have it.
    """

    name: str
    doc: str
    roles: frozenset[member.Role]


class Gauge(enum.Enum):
    """Every gauge."""

    JOBS = GaugeSpec("jobs", "Jobs in flight.", _ENTRY)
    HTTP_HELD_BYTES = GaugeSpec(
        "http_held_bytes", "What HTTP clients make it hold, in bytes.", _ENTRY
    )
    HTTP_CONNECTIONS = GaugeSpec(
        "http_connections", "Open connections of HTTP clients.", _ENTRY
    )
    HTTP_CLOSED = GaugeSpec(
        "http_connections_closed",
        "Connections of HTTP clients closed over a limit since the start.",
        _ENTRY,
    )
    QUEUED_TASKS = GaugeSpec(
        "queued_tasks", "Tasks that wait for a slot.", _AGENT
    )
    QUEUED_SECONDS = GaugeSpec(
        "queued_seconds", "Expected run time of the queued tasks.", _AGENT
    )
    SLOTS = GaugeSpec("slots", "Tasks that the runner runs at once.", _AGENT)
    BUSY_SLOTS = GaugeSpec("busy_slots", "Slots that are taken.", _AGENT)
    CONNECTIONS = GaugeSpec(
        "connections", "Open connections to the runner.", _AGENT
    )
    LEASE_AGE = GaugeSpec(
        "lease_age_seconds", "Time since the lease was renewed.", _NODES
    )
    CONFIGURATION_REVISION = GaugeSpec(
        "configuration_revision", "The revision in force.", _EVERY
    )
    CONFIGURATION_AGE = GaugeSpec(
        "configuration_age_seconds",
        "Time since control confirmed that the revision is the latest.",
        _EVERY,
    )
    COMMIT_INDEX = GaugeSpec(
        "commit_index", "The last entry of the log that is decided.", _CONTROL
    )
    COMMIT_AGE = GaugeSpec(
        "commit_age_seconds", "Time since an entry was decided.", _CONTROL
    )
    LEADER = GaugeSpec(
        "leader", "1 on the replica that leads, 0 elsewhere.", _CONTROL
    )
    TERM = GaugeSpec("term", "The term of the replica.", _CONTROL)
    MEMBERS = GaugeSpec("members", "Members that hold a lease.", _CONTROL)
    INCIDENT_BYTES = GaugeSpec(
        "incident_bytes", "Size of the incidents on the disk.", _CONTROL
    )
    DAMAGED_RECORDS = GaugeSpec(
        "damaged_records", "Incidents that cannot be read.", _CONTROL
    )
    EVENTS_DROPPED = GaugeSpec(
        "events_dropped", "Events not recorded since the start.", _EVERY
    )
    INCIDENTS_PENDING = GaugeSpec(
        "incidents_pending", "Incidents not yet with control.", _NODES
    )
    INCIDENTS_UNRECORDED = GaugeSpec(
        "incidents_unrecorded",
        "Incidents left out since the start for lack of room.",
        _NODES,
    )
    DRAINING = GaugeSpec(
        "draining", "1 while the process takes no new work.", _EVERY
    )
