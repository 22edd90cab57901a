"""The gauges that an entry updates at each scrape of `/metrics`."""

from __future__ import annotations

from skylarkcleat import gauges as gauges_lib
from skylarkcleat import network as network_lib
from skylarkcleat.directory import subscription as subscription_lib
from skylarkcleat.entry import process as process_lib
from skylarkcleat.http_limits import budget as budget_lib
from skylarkcleat.metrics import gauge as gauge_lib
from skylarkcleat.metrics import metrics as metrics_lib
from skylarkcleat.timeline import account as account_lib

_Gauge = gauge_lib.Gauge


class EntryGauges:
    """Updates an entry's gauges."""

    def __init__(
        self,
        metrics: metrics_lib.Metrics,
        process: process_lib.EntryProcess,
        subscription: subscription_lib.Subscription,
        account: account_lib.Account,
        network: network_lib.Network,
        budget: budget_lib.Budget,
    ) -> None:
        """Initializes the gauges.

        Args:
            metrics: The entry's metrics.
            process: The entry's task.
            subscription: The entry's copy of the directory.
            account: The entry's events and incidents.
            network: Counts the messages sent to other members.
            budget: What HTTP clients make the entry hold.
        """
        self.metrics = metrics
        self._process = process
        self._subscription = subscription
        self._account = account
        self._network = network
        self._budget = budget

    def update(self) -> None:
        """Sets every gauge to its current value."""
        gauges_lib.set_common(
            self.metrics, self._subscription, self._account, self._network
        )
        self.metrics.set_gauge(_Gauge.JOBS, self._process.job_count)
        self.metrics.set_gauge(_Gauge.HTTP_HELD_BYTES, self._budget.held_bytes)
        self.metrics.set_gauge(
            _Gauge.HTTP_CONNECTIONS, self._budget.connections
        )
        self.metrics.set_gauge(_Gauge.HTTP_CLOSED, self._budget.closed)
