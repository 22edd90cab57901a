"""Gauges that entries and agents share."""

from __future__ import annotations

from skylarkcleat import clock as clock_lib
from skylarkcleat import network as network_lib
from skylarkcleat.directory import subscription as subscription_lib
from skylarkcleat.metrics import gauge as gauge_lib
from skylarkcleat.metrics import metrics as metrics_lib
from skylarkcleat.timeline import account as account_lib

_Gauge = gauge_lib.Gauge
_UNKNOWN_AGE_S = float("inf")


def set_common(
    metrics: metrics_lib.Metrics,
    subscription: subscription_lib.Subscription,
    account: account_lib.Account,
    network: network_lib.Network,
) -> None:
    """Sets the gauges and counts the messages that entries and agents share."""
    for kind, count in network.drain_sent_counts():
        metrics.count_messages(kind, count)
    now = clock_lib.read_monotonic()
    age = subscription.subscriber.freshness.measure_age(now)
    age = _UNKNOWN_AGE_S if age is None else age
    metrics.set_gauge(_Gauge.LEASE_AGE, age)
    metrics.set_gauge(_Gauge.CONFIGURATION_AGE, age)
    revision = subscription.view.revision
    metrics.set_gauge(_Gauge.CONFIGURATION_REVISION, revision)
    metrics.set_gauge(_Gauge.EVENTS_DROPPED, account.recorder.dropped)
    metrics.set_gauge(_Gauge.INCIDENTS_PENDING, account.reporter.pending)
