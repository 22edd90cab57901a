"""Counters and histograms of the platform's processes, from their log lines.

Each decision writes a line; counting those keeps metrics and logs from telling
different stories, and the decisions free of counting.
"""

from __future__ import annotations

import typing as t

from skylarkcleat import loop_lag
from skylarkcleat.discovery import owner_load
from skylarkcleat.http_limits import closed_log
from skylarkcleat.metrics import label
from skylarkcleat.metrics import metrics as metrics_lib
from skylarkcleat.metrics import registry as registry_lib
from skylarkcleat.metrics import zone_gauges
from skylarkcleat.scheduling import active_job
from skylarkcleat.scheduling import workers_log

MAX_TYPES = 64
MAX_REASONS = 32

_GAUGES = {
    "owner_term": "Term of the owner here.",
    "owner_waiting_sides": "Side processes that the owner here waits for.",
    "owner_open_sides": "Side processes that the owner here may send tasks to.",
    "owner_closed_sides": "Side processes that it may not send tasks to.",
    "configuration_version": "Version of the configuration.",
    "owner_intake": "Submissions that the owner here has not taken up.",
    "owner_intake_wait_seconds": "How long the oldest of them has waited.",
    "owner_link_share": "Share of its link that the owner here uses.",
    "owner_congested_share": "Share of its time that its intake is congested.",
    "loop_lag_seconds": "How late the event loop ran in the last second.",
    "http_held_bytes": "What HTTP clients make the process hold, in bytes.",
    "http_connections": "Open connections of HTTP clients.",
    "log_has_leader": "1 while this replica of the log knows a leader.",
    "log_voters": "Voters of the log; 0 on a replica that does not lead.",
    "log_silent_voters": "Voters that do not answer the leader here.",
    "log_spare_voters": "Voters that may be lost before the log stops.",
}

_Reading = t.Callable[[dict[str, t.Any]], float]


def _read_zero(message: dict[str, t.Any]) -> float:
    del message
    return 0


_FOLLOWS: dict[str, _Reading] = {
    "log_has_leader": lambda message: int(message["leader"] != ""),
    "log_voters": _read_zero,
    "log_silent_voters": _read_zero,
    "log_spare_voters": _read_zero,
}
_OWNS: dict[str, _Reading] = {"owner_term": lambda message: message["term"]}

_READINGS: dict[str, dict[str, _Reading]] = {
    "owner:begun": _OWNS,
    "owner:extended": _OWNS,
    "owner:ended": {
        "owner_term": _read_zero,
        "owner_waiting_sides": _read_zero,
        "owner_open_sides": _read_zero,
        "owner_closed_sides": _read_zero,
        "owner_intake": _read_zero,
        "owner_intake_wait_seconds": _read_zero,
        "owner_link_share": _read_zero,
        "owner_congested_share": _read_zero,
    },
    workers_log.WORKERS: {
        "owner_open_sides": lambda message: message["open"],
        "owner_closed_sides": lambda message: sum(message["closed"].values()),
    },
    "owner:waiting": {"owner_waiting_sides": lambda message: message["sides"]},
    "owner:settled": {"owner_waiting_sides": _read_zero},
    owner_load.LOAD: {
        "owner_intake": lambda message: message["intake"],
        "owner_intake_wait_seconds": lambda message: message["wait_ms"] / 1000,
        "owner_link_share": lambda message: message["link_share"],
        "owner_congested_share": lambda message: message["congested_share"],
    },
    loop_lag.LAG: {
        "loop_lag_seconds": lambda message: message["late_ms"] / 1000
    },
    "front:configuration": {
        "configuration_version": lambda message: message["version"]
    },
    closed_log.HELD: {
        "http_held_bytes": lambda message: message["held_bytes"],
        "http_connections": lambda message: message["connections"],
    },
    "consensus:leader": _FOLLOWS,
    "consensus:margin": {
        "log_voters": lambda message: message["voters"],
        "log_silent_voters": lambda message: len(message["silent"]),
        "log_spare_voters": lambda message: message["spare"],
    },
}
"""What a line of each type sets the gauges to."""


class DecisionMetrics:
    """Counts what one process decides; an eliot destination.

    Labels take a bounded number of values, as in `metrics.Metrics`.
    """

    def __init__(self) -> None:
        registry = self._registry = registry_lib.Registry()
        self._types = label.LabelSet(MAX_TYPES)
        self._queues = label.LabelSet()
        self._reasons = label.LabelSet(MAX_REASONS)
        self._lines = registry.add_counter(
            "log_lines_total", "Log lines by type: what was decided how often."
        )
        self._lost = registry.add_gauge(
            "log_lines_lost", "Log lines that were lost since the start."
        )
        self._jobs = registry.add_counter(
            "jobs_total", "Jobs that ended here, by queue, verdict and cause."
        )
        self._runs = registry.add_counter(
            "runs_total", "What became of tasks' runs, by event."
        )
        self._closed = registry.add_counter(
            "http_connections_closed_total",
            "Connections of HTTP clients closed over a limit, by reason.",
        )
        self._took = registry.add_histogram(
            "job_seconds",
            "From submission to the end of completed jobs.",
            metrics_lib.SECONDS_BUCKETS,
        )
        self._ratio = registry.add_histogram(
            "job_ratio",
            "The same over the job's objective.",
            metrics_lib.RATIO_BUCKETS,
        )
        self._forecast_error = registry.add_histogram(
            "job_forecast_error_seconds",
            "Between the forecast wait of a job that has started and its wait.",
            metrics_lib.SECONDS_BUCKETS,
        )
        self._gauges = {
            name: registry.add_gauge(name, doc) for name, doc in _GAUGES.items()
        }
        self._zones = zone_gauges.ZoneGauges(registry)

    def __call__(self, message: dict[str, t.Any]) -> None:
        """Takes in a log line."""
        kind = message.get("message_type", "")
        self._lines.inc({"type": self._types.admit(kind.replace(":", "."))})
        if kind == active_job.JOB_ENDED:
            self._count_job(message)
        elif kind == closed_log.CLOSED:
            labels = {"reason": message["reason"]}
            self._closed.add(labels, message["count"])
        self._zones.record(message)
        for gauge, read in _READINGS.get(kind, {}).items():
            self._gauges[gauge].set({}, read(message))

    def render(
        self, accepts: t.Sequence[str], lost: int
    ) -> tuple[bytes, dict[str, str]]:
        """Returns the body and the headers of an answer to a scrape.

        Args:
            accepts: The values of the request's `Accept` headers.
            lost: How many log lines were lost.
        """
        self._lost.set({}, lost)
        return self._registry.render(accepts)

    def _count_job(self, message: dict[str, t.Any]) -> None:
        queue = self._queues.admit(message["queue"])
        cause = message["detail"].replace(" ", "-") or "none"
        self._jobs.inc(
            {
                "queue": queue,
                "verdict": message["verdict"],
                "cause": self._reasons.admit(cause),
            }
        )
        if "forecast_wait_ms" in message and "waited_ms" in message:
            error_ms = abs(message["waited_ms"] - message["forecast_wait_ms"])
            labels = {"queue": queue, "admission": message["admission"]}
            self._forecast_error.observe(labels, error_ms / 1000)
        for record in message["runs"]:
            self._runs.inc({"event": self._reasons.admit(record.event)})
        if message["verdict"] == "completed":
            labels = {"queue": queue}
            self._took.observe(labels, message["age_ms"] / 1000)
            objective_ms = max(message["objective_ms"], 1)
            self._ratio.observe(labels, message["age_ms"] / objective_ms)
