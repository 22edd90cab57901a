"""The agent's `/livez`, `/readyz` and `/metrics`."""

from __future__ import annotations

from aiohttp import web

from skylarkcleat import gauges as gauges_lib
from skylarkcleat import network as network_lib
from skylarkcleat import web as web_lib
from skylarkcleat.agent import process as process_lib
from skylarkcleat.directory import subscription as subscription_lib
from skylarkcleat.metrics import gauge as gauge_lib
from skylarkcleat.metrics import metrics as metrics_lib
from skylarkcleat.model import member as member_lib
from skylarkcleat.protocol import claiming
from skylarkcleat.timeline import account as account_lib

_READY = 200
_NOT_READY = 503
_MS_PER_S = 1000
_Gauge = gauge_lib.Gauge


class Health:
    """Serves the liveness, readiness and metrics endpoints of an agent."""

    def __init__(
        self,
        process: process_lib.AgentProcess,
        member: member_lib.Member,
        subscription: subscription_lib.Subscription,
        account: account_lib.Account,
        metrics: metrics_lib.Metrics,
        network: network_lib.Network,
    ) -> None:
        """Initializes the endpoints.

        Args:
            process: The agent's main task.
            member: The agent's entry in the directory.
            subscription: The agent's copy of the directory.
            account: The agent's recorded events and incidents.
            metrics: The agent's metrics.
            network: Sends to other members.
        """
        self._process = process
        self._member = member
        self._subscription = subscription
        self._account = account
        self._metrics = metrics
        self._network = network

    def create_app(self) -> web.Application:
        """Returns the HTTP application."""
        app = web.Application()
        app.router.add_get("/livez", web_lib.answer_live)
        app.router.add_get("/readyz", self._answer_ready)
        app.router.add_get("/metrics", self._answer_metrics)
        return app

    async def _answer_ready(self, _: web.Request) -> web.Response:
        is_ready = self._subscription.is_taking_part()
        status = _READY if is_ready else _NOT_READY
        return web.json_response({"ready": is_ready}, status=status)

    async def _answer_metrics(self, request: web.Request) -> web.Response:
        gauges_lib.set_common(
            self._metrics, self._subscription, self._account, self._network
        )
        no_entry = claiming.MemberRef("", 0)
        load = self._process.slots.read_load(no_entry)
        metrics = self._metrics
        metrics.set_gauge(_Gauge.QUEUED_TASKS, load.queued)
        metrics.set_gauge(_Gauge.QUEUED_SECONDS, load.queued_ms / _MS_PER_S)
        metrics.set_gauge(_Gauge.SLOTS, self._member.slots)
        metrics.set_gauge(_Gauge.BUSY_SLOTS, load.running)
        metrics.set_gauge(_Gauge.CONNECTIONS, load.running)
        accepts = request.headers.getall("Accept", [])
        body, headers = metrics.render(accepts)
        return web.Response(body=body, headers=headers)
