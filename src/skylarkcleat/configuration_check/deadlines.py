"""Deadlines that contradict the objective or the time of one attempt."""

from __future__ import annotations

import collections.abc

from skylarkcleat.configuration import content
from skylarkcleat.configuration_check import check
from skylarkcleat.configuration_check import findings
from skylarkcleat.front import job_requests

_MARGIN_MS = round(job_requests.SUBMIT_MARGIN_S * 1000)


class Deadlines(check.Check):
    """Finds queues whose requests time out before a job can end.

    Args:
        attempt_ms: The time of one attempt of a job on a runner of speed 1,
            in milliseconds, which no configuration holds; 0 if unknown.
    """

    def __init__(self, attempt_ms: int = 0) -> None:
        self._attempt_ms = attempt_ms

    def find(
        self, configuration: content.Configuration
    ) -> collections.abc.Iterator[findings.Finding]:
        """Yields at most one warning for each queue."""
        for number, queue in enumerate(configuration.queues):
            text = self._describe(queue)
            if text:
                yield findings.warn_queue(
                    number, queue.name, text, "timeout_ms"
                )

    def _describe(self, queue: content.Queue) -> str:
        deadline = f"the deadline of {queue.timeout_ms} ms"
        if queue.timeout_ms <= _MARGIN_MS:
            return (
                f"{deadline} leaves no time for an attempt: fronts answer "
                f"{_MARGIN_MS} ms before a caller's deadline"
            )
        if queue.timeout_ms < self._attempt_ms:
            return f"{deadline} is below one attempt, {self._attempt_ms} ms"
        objective_ms = round(
            queue.stretch * self._attempt_ms + queue.latency_target_ms
        )
        if queue.timeout_ms < objective_ms:
            return f"{deadline} is below the objective of {objective_ms} ms"
        return ""


class Objectives(check.Check):
    """Finds queues whose jobs are late as soon as they arrive.

    A job's objective is `stretch` times its work and the latency target. What
    it leaves beyond the work is the job's slack (`scheduling.intake`).
    """

    def find(
        self, configuration: content.Configuration
    ) -> collections.abc.Iterator[findings.Finding]:
        """Yields a warning for each queue with jobs without slack."""
        for number, queue in enumerate(configuration.queues):
            text = _describe_slack(queue)
            if text:
                yield findings.warn_queue(number, queue.name, text, "stretch")


def _describe_slack(queue: content.Queue) -> str:
    objective = (
        f"the objective of {queue.stretch:g} times the work and "
        f"{queue.latency_target_ms} ms"
    )
    if queue.stretch <= 1 and not queue.latency_target_ms:
        return f"{objective} leaves no job any time beyond its work"
    if queue.stretch < 1:
        work_ms = queue.latency_target_ms / (1 - queue.stretch)
        return f"{objective} is below the work of jobs over {work_ms:.0f} ms"
    return ""
