"""Counters and histograms of the platform's processes, from their log lines.

Each decision writes a line; counting those keeps metrics and logs from telling
different stories, and the decisions free of counting.
"""

from __future__ import annotations

import typing as t

from skylarkcleat.metrics import label
from skylarkcleat.metrics import metrics as metrics_lib
from skylarkcleat.metrics import registry as registry_lib
from skylarkcleat.scheduling import active_job

MAX_TYPES = 64
MAX_REASONS = 32


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
        self._values = {
            "term": registry.add_gauge("owner_term", "Term of the owner here."),
            "version": registry.add_gauge(
                "configuration_version", "Version of the configuration."
            ),
            "waiting": registry.add_gauge(
                "owner_waiting_sides",
                "Side processes that the owner here waits for.",
            ),
        }

    def __call__(self, message: dict[str, t.Any]) -> None:
        """Takes in a log line."""
        kind = message.get("message_type", "")
        self._lines.inc({"type": self._types.admit(kind.replace(":", "."))})
        if kind == active_job.JOB_ENDED:
            self._count_job(message)
        elif kind in ("owner:begun", "owner:extended"):
            self._values["term"].set({}, message["term"])
        elif kind == "owner:ended":
            self._values["term"].set({}, 0)
            self._values["waiting"].set({}, 0)
        elif kind == "owner:waiting":
            self._values["waiting"].set({}, message["sides"])
        elif kind == "owner:settled":
            self._values["waiting"].set({}, 0)
        elif kind == "front:configuration":
            self._values["version"].set({}, message["version"])

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
        for record in message["runs"]:
            self._runs.inc({"event": self._reasons.admit(record.event)})
        if message["verdict"] == "completed":
            labels = {"queue": queue}
            self._took.observe(labels, message["age_ms"] / 1000)
            objective_ms = max(message["objective_ms"], 1)
            self._ratio.observe(labels, message["age_ms"] / objective_ms)
