"""The metrics of one process."""

from __future__ import annotations

import collections.abc

from skylarkcleat.metrics import gauge as gauge_lib
from skylarkcleat.metrics import label
from skylarkcleat.metrics import registry as registry_lib
from skylarkcleat.model import cause as cause_lib
from skylarkcleat.model import member
from skylarkcleat.timeline import ending as ending_lib

SECONDS_BUCKETS = (
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
    30.0,
    float("inf"),
)
RATIO_BUCKETS = (1.05, 1.1, 1.25, 1.5, 2.0, 3.0, 5.0, 10.0, float("inf"))
MAX_MESSAGE_TYPES = 64


class Metrics:
    """Counts what one process does.

    Labels take a bounded number of values: a profile beyond
    `label.MAX_PROFILES` is counted as `other`.
    """

    def __init__(
        self,
        registry: registry_lib.Registry,
        gauges: collections.abc.Iterable[gauge_lib.Gauge],
    ) -> None:
        """Registers every metric; see `create_metrics`."""
        self._registry = registry
        self._profiles = label.LabelSet()
        self._messages = label.LabelSet(MAX_MESSAGE_TYPES)
        self._gauges = {
            gauge: registry.add_gauge(gauge.value.name, gauge.value.doc)
            for gauge in gauges
        }
        self._outcomes = registry.add_counter(
            "outcomes_total", "Jobs and requests by profile, ending and cause."
        )
        self._attempts = registry.add_counter(
            "attempts_total", "Attempts by profile and result."
        )
        self._sent = registry.add_counter(
            "messages_sent_total", "Messages between processes by type."
        )
        self._wasted = registry.add_counter(
            "messages_wasted_total", "Messages that changed nothing, by type."
        )
        self._response = registry.add_histogram(
            "response_seconds", "From submission to answer.", SECONDS_BUCKETS
        )
        self._ratio = registry.add_histogram(
            "response_ratio", "Response time over its ideal.", RATIO_BUCKETS
        )
        self._wait = registry.add_histogram(
            "task_wait_seconds", "In the agent's queue.", SECONDS_BUCKETS
        )
        self._run = registry.add_histogram(
            "task_run_seconds", "On the runner.", SECONDS_BUCKETS
        )

    def count_outcome(
        self,
        profile: str,
        ending: ending_lib.Ending,
        cause: cause_lib.Cause,
        elapsed_ms: float,
        ideal_ms: float = 0.0,
    ) -> None:
        """Counts a job or a request that ended.

        Args:
            profile: The profile's name, also an unknown one.
            ending: What the caller was told.
            cause: Why; `ON_TIME` if nothing went wrong.
            elapsed_ms: From the submission to the answer, in milliseconds.
            ideal_ms: The same on an idle fleet, in milliseconds; 0 if
                unknown.
        """
        profile = self._profiles.admit(profile)
        self._outcomes.inc(
            {
                "profile": profile,
                "ending": ending.value,
                "cause": cause.value,
            }
        )
        if ending is not ending_lib.Ending.ANSWERED:
            return
        labels = {"profile": profile}
        self._response.observe(labels, elapsed_ms / 1_000)
        if ideal_ms > 0:
            self._ratio.observe(labels, elapsed_ms / ideal_ms)

    def count_attempt(
        self, profile: str, cause: cause_lib.Cause | None
    ) -> None:
        """Counts an attempt that ended.

        Args:
            profile: The profile's name.
            cause: Why there is no answer; None if there is one.
        """
        result = cause.value if cause else "answered"
        profile = self._profiles.admit(profile)
        self._attempts.inc({"profile": profile, "result": result})

    def observe_task(self, profile: str, wait_ms: float, run_ms: float) -> None:
        """Takes in the times of a task that was answered, in milliseconds."""
        labels = {"profile": self._profiles.admit(profile)}
        self._wait.observe(labels, wait_ms / 1_000)
        self._run.observe(labels, run_ms / 1_000)

    def count_messages(
        self, type_: str, count: int = 1, wasted: int = 0
    ) -> None:
        """Counts messages to other processes.

        Args:
            type_: The name of the message type.
            count: How many were sent.
            wasted: How many were received that changed nothing.
        """
        labels = {"type": self._messages.admit(type_)}
        if count:
            self._sent.add(labels, count)
        if wasted:
            self._wasted.add(labels, wasted)

    def set_gauge(self, gauge: gauge_lib.Gauge, value: float) -> None:
        """Sets a gauge.

        Raises:
            KeyError: The process's role does not have the gauge.
        """
        self._gauges[gauge].set({}, value)

    def render(
        self, accepts: collections.abc.Sequence[str] = ()
    ) -> tuple[bytes, dict[str, str]]:
        """Returns body and headers for a scrape.

        Args:
            accepts: The values of the request's `Accept` headers.
        """
        return self._registry.render(accepts)


def create_metrics(role: member.Role) -> Metrics:
    """Returns metrics with a registry of their own.

    Args:
        role: Decides which gauges there are.
    """
    gauges = [gauge for gauge in gauge_lib.Gauge if role in gauge.value.roles]
    return Metrics(registry_lib.Registry(), gauges)
