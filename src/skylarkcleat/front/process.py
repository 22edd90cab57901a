"""The front process: discovery, the log, ownership and requests."""

from __future__ import annotations

import asyncio
import random
import typing as t

import eliot

from skylarkcleat import clock as clock_lib
from skylarkcleat import supervision
from skylarkcleat.configuration import content
from skylarkcleat.configuration import store as store_lib
from skylarkcleat.consensus import driver as driver_lib
from skylarkcleat.discovery import bootstrap_record
from skylarkcleat.discovery import owner_load
from skylarkcleat.discovery import peer_table as peer_table_lib
from skylarkcleat.front import configuration_cache as configuration_cache_lib
from skylarkcleat.front import configuration_requests
from skylarkcleat.front import drain as drain_lib
from skylarkcleat.front import election_settings
from skylarkcleat.front import election_task as election_task_lib
from skylarkcleat.front import evacuation_cache
from skylarkcleat.front import job_requests as job_requests_lib
from skylarkcleat.front import load_log
from skylarkcleat.front import log_bootstrap
from skylarkcleat.front import log_service as log_service_lib
from skylarkcleat.front import message_receiver as message_receiver_lib
from skylarkcleat.front import ownership as ownership_lib
from skylarkcleat.front import pause as pause_lib
from skylarkcleat.front import peer_discovery as peer_discovery_lib
from skylarkcleat.front import reply_handler as reply_handler_lib
from skylarkcleat.front import request_resender as request_resender_lib
from skylarkcleat.front import requests as requests_lib
from skylarkcleat.front import service as service_lib
from skylarkcleat.front import targets
from skylarkcleat.front import zone_orders as zone_orders_lib
from skylarkcleat.platform import seed_watch
from skylarkcleat.platform import settings as settings_lib
from skylarkcleat.protocol import locating
from skylarkcleat.protocol import scheduling
from skylarkcleat.scheduling import policy as policy_lib
from skylarkcleat.wire import hub as hub_lib
from skylarkcleat.wire import session as session_lib

_DRAIN_POLL_S = 0.05


class FrontProcess(service_lib.FrontService, seed_watch.SeedListener):
    """Everything that a front does except for its HTTP servers.

    Args:
        settings: The settings of the process.
        hub: Its connections to the other processes.
        store: The configuration that it holds.
        log: Its replica of the log, if it has one.
        generator: Picks the fronts that it asks at random.
        record_keeper: Keeps what it knows of the first start.
    """

    def __init__(
        self,
        settings: settings_lib.Settings,
        hub: hub_lib.Hub,
        store: store_lib.Store,
        log: driver_lib.LogDriver | None,
        generator: random.Random,
        record_keeper: bootstrap_record.RecordKeeper,
    ) -> None:
        self._settings = settings
        self._hub = hub
        self._log = log
        local = hub.local
        now = clock_lib.read_monotonic()
        seeds = settings_lib.list_seed_ips(settings)
        self._peers = peer_table_lib.PeerTable(seeds, generator)
        self._election = election_settings.create_election(settings, local, now)
        self._configuration_cache = configuration_cache_lib.ConfigurationCache(
            store if log is not None else None,
            evacuation_cache.create_evacuation_cache(settings, store, log),
        )
        self._ownership = ownership_lib.Ownership(
            local,
            self._configuration_cache,
            self._send,
            policy_lib.Policy(settings.scheduling.shares_capacity),
        )
        self._pauses = pause_lib.PauseWatch(election_task_lib.TICK_S, now)
        self._election_task = election_task_lib.ElectionTask(
            local,
            self._election,
            self._peers,
            self._configuration_cache,
            self._ownership,
            self._pauses,
            load_log.LoadLog(
                owner_load.OwnerLoad(settings.limits.link_mbps, now),
                self._ownership,
                lambda: hub.bytes_sent,
            ),
            self._send_any,
        )
        self._peer_discovery = peer_discovery_lib.PeerDiscovery(
            settings,
            self._peers,
            self._election,
            self._configuration_cache,
            log,
            log_bootstrap.LogBootstrap(
                settings.ip, record_keeper, self._peers, log, self._send_any
            ),
            self._send_any,
        )
        self._log_service = log_service_lib.LogService(store, log, self._send)
        numbers = requests_lib.create_numbers()
        self._job_requests = requests_lib.Requests(
            targets.OwnerTarget(
                local,
                self._election,
                self._election_task,
                self._ownership,
                self._configuration_cache,
                self._pauses,
                self._send_any,
            ),
            numbers,
        )
        self._log_requests = requests_lib.Requests(
            targets.LogTarget(
                local, self._peers, self._log_service, self._send_any
            ),
            numbers,
        )
        self._zone_orders = zone_orders_lib.ZoneOrders(
            self._log_requests,
            self._configuration_cache.evacuations,
            self._pauses,
            self._inform_owner,
        )
        self._reply_handler = reply_handler_lib.ReplyHandler(
            self._election,
            self._configuration_cache,
            self._job_requests,
            self._log_requests,
            self._send_any,
        )
        self._message_receiver = message_receiver_lib.MessageReceiver(
            hub,
            self._election,
            self._election_task,
            self._peer_discovery,
            self._configuration_cache,
            self._ownership,
            self._log_service,
            self._job_requests,
            self._reply_handler,
        )
        self._request_resender = request_resender_lib.RequestResender(
            self._election,
            self._peers,
            self._configuration_cache,
            self._pauses,
            self._job_requests,
            self._log_requests,
        )
        self._drain: drain_lib.Drain | None = None
        self._background = supervision.BackgroundTasks("leave the log")

    def list_tasks(self) -> list[t.Coroutine[t.Any, t.Any, None]]:
        """Returns the coroutines that run as long as the process."""
        tasks = [
            self._message_receiver.run(),
            supervision.keep_running(
                "discover fronts", self._peer_discovery.run
            ),
            supervision.keep_running("elect an owner", self._election_task.run),
            supervision.keep_running(
                "send open requests", self._request_resender.run
            ),
        ]
        if self._log is not None:
            tasks.append(self._log.wait())
        return tasks

    def update_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replaces the seeds that it asks for other fronts."""
        self._peers.update_seeds(seeds)

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer should send callers here."""
        has_owner = self._election.has_live_owner(clock_lib.read_monotonic())
        return has_owner and not self.is_draining

    @property
    def is_draining(self) -> bool:
        """Whether the front is about to stop."""
        return self._drain is not None

    async def submit(
        self, host: str, path: str, job: scheduling.Job, caller_timeout_ms: int
    ) -> scheduling.Reply:
        """Submits a job and replies once it has ended or is refused."""
        drain, now = self._drain, clock_lib.read_monotonic()
        if drain is not None and drain.is_closed(now):
            verdict = scheduling.Verdict.NOT_RUN
            return scheduling.Reply(0, verdict, "this front is stopping")
        return await job_requests_lib.submit(
            self._job_requests,
            self._configuration_cache.find_queue,
            host,
            path,
            job,
            caller_timeout_ms,
        )

    async def query(
        self, host: str, path: str, job: str, cancel: bool
    ) -> scheduling.Reply:
        """Returns the state of a job or a queue."""
        return await job_requests_lib.query(
            self._job_requests, host, path, job, cancel
        )

    async def put_configuration(
        self, configuration: content.Configuration
    ) -> scheduling.Reply:
        """Returns a reply once the configuration is durable."""
        return await configuration_requests.put(
            self._log_requests, configuration
        )

    async def read_configuration(self) -> content.Configuration | None:
        """Returns the newest configuration; None if that is not certain."""
        return await configuration_requests.read(self._log_requests)

    async def order_zone(self, zone: str, evacuate: bool) -> scheduling.Reply:
        """Returns a reply once an order for a zone is durable, or refused."""
        return await self._zone_orders.carry_out(zone, evacuate)

    async def drain(self) -> None:
        """Stops being ready and waits for the open requests."""
        self._drain = drain_lib.Drain(
            self._settings.bounds.grace_s, clock_lib.read_monotonic()
        )
        eliot.log_message("front:draining", open=self._count_open())
        if self._log is not None:
            # Callers don't wait for the log's next leader.
            self._background.spawn(self._log.leave())
        while True:
            now = clock_lib.read_monotonic()
            if self._drain.is_over(now, self._count_open()):
                break
            excess = self._drain.count_excess(now, self._count_open())
            self._job_requests.answer_at_least(excess)
            self._hand_over()
            await asyncio.sleep(_DRAIN_POLL_S)
        eliot.log_message(
            "front:drained",
            unanswered=self._count_open(),
            after_ms=round(self._drain.find_age_s(now) * 1000),
        )
        self._job_requests.close()
        self._log_requests.close()
        await asyncio.sleep(_DRAIN_POLL_S)

    def _hand_over(self) -> None:
        """Gives the jobs to another front; none takes this one from now on."""
        try:
            self._election_task.resign()
            self._peer_discovery.announce_stop()
        except Exception as error:
            supervision.log_unexpected("hand over the jobs", error)

    def _count_open(self) -> int:
        """Returns how many requests of callers and operators are open."""
        return len(self._job_requests) + len(self._log_requests)

    def _send(self, peer: session_lib.Endpoint, message: t.Any) -> None:
        if peer == self._hub.local:
            self._reply_handler.handle(message)
        else:
            self._hub.send(peer, message)

    def _send_any(self, name: str, message: t.Any) -> None:
        port = self._settings.port_range[0]
        self._hub.send_any(name, f"tcp://{name}:{port}", message)

    def _inform_owner(self, message: locating.GiveEvacuations) -> None:
        owner = self._election.followed.name
        if owner not in ("", self._hub.local.name):
            self._send_any(owner, message)
