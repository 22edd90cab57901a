"""What was forecast of a job when it arrived, and what became of it.

Shows in the log line about the job's end why it waited or was refused, and how
far forecasts of an overload were off.
"""

from __future__ import annotations

import enum
import typing as t


class Admission(enum.Enum):
    """What was decided on a job."""

    ACCEPTED = "accepted"
    """It is served in time as far as its queue's share goes."""

    DEFERRED = "deferred"
    """It gets what capacity is left, since it would end late."""


class JobForecast(t.NamedTuple):
    """A forecast, made when the job first entered the backlog.

    Attributes:
        admission: What was decided on it.
        wait_s: The work of its queue ahead of it over the queue's rate, in
            seconds; infinite while the queue gets no capacity, and while its
            rate is unknown.
        rate: The queue's rate, in core-seconds a second; infinite while that
            is unknown, as where the capacity isn't shared.
    """

    admission: Admission
    wait_s: float
    rate: float


def describe(
    forecast: JobForecast | None, waited_s: float | None
) -> dict[str, t.Any]:
    """Returns the fields of the log line about a job's end.

    Args:
        forecast: Its forecast; None if it never waited.
        waited_s: The seconds from its submission to its first start; None if
            nothing was started.
    """
    fields: dict[str, t.Any] = {}
    if forecast is not None:
        fields["admission"] = forecast.admission.value
        if forecast.wait_s < float("inf"):
            fields["forecast_wait_ms"] = round(forecast.wait_s * 1000)
        if forecast.rate < float("inf"):
            fields["queue_rate"] = round(forecast.rate, 1)
    if waited_s is not None:
        fields["waited_ms"] = round(waited_s * 1000)
    return fields
