"""The side process: its lease, its runner's reports and the runs there."""

from __future__ import annotations

import asyncio
import contextlib
import random
import typing as t

import eliot

from skylarkcleat import clock as clock_lib
from skylarkcleat.discovery import peer_table as peer_table_lib
from skylarkcleat.platform import runner_body
from skylarkcleat.platform import runner_client
from skylarkcleat.platform import runner_reports
from skylarkcleat.platform import settings as settings_lib
from skylarkcleat.protocol import locating
from skylarkcleat.protocol import owning
from skylarkcleat.protocol import scheduling
from skylarkcleat.scheduling import lease
from skylarkcleat.scheduling import local_run
from skylarkcleat.scheduling import run_table as run_table_lib
from skylarkcleat.scheduling import side_lease as side_lease_lib
from skylarkcleat.side import runner_clock
from skylarkcleat.wire import event as event_lib
from skylarkcleat.wire import hub as hub_lib

PROBE_WAIT_MS = 200
"""How long a probe of the runner waits for a run to end, in milliseconds."""

RETRY_PAUSE_S = 0.02
UNACKNOWLEDGED_PAUSE_S = 0.1
"""How long to wait for the owner to acknowledge ends before the next probe."""

MIN_HOLD_S = 0.1
"""A task is refused if its run could be extended for less than this."""

MAX_MISSED_PROBES = 2
"""After this many unanswered probes a runner counts as unresponsive."""

OWNER_SEARCH_AFTER_S = 0.25
"""After this time without an answer of the owner, other fronts are queried."""

OWNER_SEARCH_INTERVAL_S = 0.1
"""How often they are queried."""

GOSSIP_INTERVAL_S = 1.0
"""How often the owner is queried for the list of fronts."""

FENCED_EPOCH_STEP = 60_000
"""Epochs to skip if the runner has seen a larger fencing token: a previous
process here may have had a clock that was a minute ahead."""


class SideProcess(runner_reports.RunnerListener):
    """Everything that a side process does except for its HTTP server."""

    def __init__(
        self,
        settings: settings_lib.Settings,
        hub: hub_lib.Hub,
        client: runner_client.RunnerClient,
    ) -> None:
        self._settings = settings
        self._hub = hub
        self._client = client
        self._port = settings.port_range[0]
        seeds = settings_lib.list_seed_ips(settings)
        self._peers = peer_table_lib.PeerTable(seeds, random.Random())
        self._lease = side_lease_lib.SideLease(
            clock_lib.read_wall_ms(), clock_lib.read_monotonic()
        )
        self._run_table = run_table_lib.RunTable()
        self._clock = runner_clock.RunnerClock()
        self._reported_epoch = 0
        self._searched_at = 0.0
        self._gossiped_at = 0.0
        self._extended_at = 0.0
        self._heartbeat_sequence = 0
        self._missed_probes = 0
        self._is_unresponsive = False
        self._has_given_up = False
        self._wake = asyncio.Event()
        self._stops_changed = asyncio.Event()
        self._calls: set[asyncio.Task] = set()

    def list_tasks(self) -> list[t.Coroutine[t.Any, t.Any, None]]:
        """Returns the coroutines that run as long as the process."""
        return [
            self._receive_events(),
            self._renew_lease(),
            self._probe_repeatedly(),
            self._stop_overdue_runs(),
        ]

    def handle_heartbeat(self, heartbeat: runner_body.Heartbeat) -> None:
        """Handles a heartbeat of the runner."""
        runner = heartbeat.runner
        known = self._run_table.runner
        if known is not None and self._is_stale(heartbeat, known):
            return
        self._heartbeat_sequence = heartbeat.sequence
        if known is not None and (
            (known.id, known.born_ms) == (runner.id, runner.born_ms)
            and known.draining
        ):
            runner = runner._replace(draining=True)
        if known != runner:
            eliot.log_message(
                "side:runner",
                runner=runner.id,
                born_ms=runner.born_ms,
                draining=runner.draining,
                cpu=runner.cpu,
            )
        if self._run_table.update_runner(runner):
            self._clock.reset()
            self._lease.drop()
        changed = known is None or known.draining != runner.draining
        if changed and self._lease.is_valid(self._now()):
            self._renew()
        self._wake.set()

    def _is_stale(
        self, heartbeat: runner_body.Heartbeat, known: scheduling.Runner
    ) -> bool:
        runner = heartbeat.runner
        if runner.born_ms != known.born_ms:
            return runner.born_ms < known.born_ms
        return (
            runner.id == known.id
            and heartbeat.sequence <= self._heartbeat_sequence
        )

    def handle_deregistration(self, runner: str) -> None:
        """Marks the runner as draining once it deregisters."""
        known = self._run_table.runner
        if known is not None and known.id == runner:
            self._run_table.runner = known._replace(draining=True)

    async def close(self) -> None:
        """Extends the runs so that they survive a restart of this process."""
        if self._lease.is_valid(self._now()):
            await self._probe(0)
        for call in list(self._calls):
            call.cancel()

    def _now(self) -> float:
        return clock_lib.read_monotonic()

    def _send(self, name: str, message: t.NamedTuple) -> None:
        self._hub.send_any(name, f"tcp://{name}:{self._port}", message)

    async def _receive_events(self) -> None:
        while True:
            event = await self._hub.events.get()
            if isinstance(event, event_lib.Received):
                self._receive(event.peer.name, event.message)

    def _receive(self, sender: str, message: t.Any) -> None:
        if isinstance(message, locating.View):
            self._peers.merge(message, self._now())
            self._register_with_known_owner()
        elif isinstance(message, locating.OwnerFound):
            self._register_if_needed(message.owner)
        elif isinstance(message, owning.OwnershipMoved):
            if sender == self._lease.owner.name:
                self._lease.record_owner_ended()
                self._register(locating.OwnerRef(message.owner, message.term))
        elif isinstance(message, scheduling.Grant):
            self._handle_grant(sender, message)
        elif isinstance(message, scheduling.Renewed):
            now = self._now()
            self._lease.renew(message.epoch, message.sent_at, now)
        elif isinstance(message, scheduling.Unregistered):
            if message.epoch == self._lease.epoch:
                self._register(self._lease.owner)
        elif message.epoch == self._lease.epoch:
            self._handle_order(message)

    def _register_with_known_owner(self) -> None:
        """Registers with the latest owner that any front reports."""
        found = self._peers.find_owner(self._now())
        if found.name:
            self._register_if_needed(found)

    def _register_if_needed(self, found: locating.OwnerRef) -> None:
        """Registers with an owner unless the current one is responsive."""
        now = self._now()
        is_unresponsive = now - self._lease.last_seen_at >= OWNER_SEARCH_AFTER_S
        is_newer = found.term > self._lease.owner.term
        if not self._lease.is_valid(now) or (is_unresponsive and is_newer):
            self._register(found)

    def _handle_grant(self, sender: str, grant: scheduling.Grant) -> None:
        previous = self._lease.owner
        if not self._lease.grant(sender, grant.epoch, grant.sent_at):
            return
        # A previous process may have extended its runs until just now.
        self._extended_at = self._now()
        self._has_given_up = False
        self._run_table.begin_lease(
            self._lease.previous_expires_at, self._now()
        )
        self._stops_changed.set()
        eliot.log_message(
            "side:lease",
            epoch=grant.epoch,
            owner=sender,
            term=self._lease.owner.term,
            former=previous.name,
        )
        self._spawn(self._probe(0))

    def _handle_order(self, message: t.Any) -> None:
        if isinstance(message, scheduling.Start):
            self._handle_start(message)
        elif isinstance(message, scheduling.Adopt):
            self._run_table.adopt(message.task, message.run)
        elif isinstance(message, scheduling.Stop):
            self._handle_stop(message)
        elif isinstance(message, scheduling.EndsAcknowledged):
            self._run_table.record_acknowledged(message.number)
            self._wake.set()

    def _handle_start(self, order: scheduling.Start) -> None:
        if not self._lease.is_valid(self._now()):
            return
        reason = self._find_refusal() or self._run_table.admit(order)
        if reason:
            self._refuse(order, reason)
        else:
            self._spawn(self._start(order))

    def _find_refusal(self) -> str:
        """Returns why no task can start now; empty if one can."""
        if self._is_unresponsive:
            return "silent"
        limit = self._run_table.find_hold_limit()
        if limit is not None and limit - self._now() < MIN_HOLD_S:
            return "held"
        return ""

    def _refuse(self, order: scheduling.Start, reason: str) -> None:
        eliot.log_message(
            "side:refused", task=order.task, run=order.run, reason=reason
        )
        refusal = scheduling.NotStarted(
            order.epoch, order.task, order.run, reason
        )
        self._send_owner(refusal)

    async def _start(self, order: scheduling.Start) -> None:
        deadline = self._find_deadline()
        if deadline is None:
            self._run_table.record_refused(order.task, order.run)
            self._refuse(order, "no-clock")
            return
        sent_at = self._now()
        self._extended_at = sent_at
        answer = await self._client.start(
            order, deadline, self._run_table.runner.id
        )
        self._clock.record(answer.clock_ms, self._now())
        if answer.status == 200:
            self._run_table.record_started(order.task, order.run, self._now())
        elif answer.status == runner_client.UNANSWERED:
            expires_at = sent_at + self._hold_s * (1 + lease.CLOCK_DRIFT) + 0.05
            self._run_table.record_unanswered(order.task, order.run, expires_at)
            await self._resolve(order)
        else:
            self._run_table.record_refused(order.task, order.run)
            reason = answer.reason or f"status-{answer.status}"
            self._refuse(order, reason)

    async def _resolve(self, order: scheduling.Start) -> None:
        """Stops a task whose start got no answer, unless it is running."""
        eliot.log_message(
            "side:start-unanswered", task=order.task, run=order.run
        )
        await self._probe(0)
        known = self._run_table.runs.get(order.task)
        if known is None or known.run != order.run:
            return
        if known.state is local_run.RunState.UNKNOWN:
            stop = scheduling.Stop(order.epoch, order.task, order.run)
            await self._stop(stop)
            await self._probe(0)

    def _handle_stop(self, order: scheduling.Stop) -> None:
        if self._run_table.request_stop(order.task, order.run, self._now()):
            self._stops_changed.set()
        else:
            self._spawn(self._stop(order))

    async def _stop_overdue_runs(self) -> None:
        """Stops overdue runs, repeatedly until the stop is certain."""
        while True:
            stop_at = self._run_table.find_next_stop()
            wait_s = None if stop_at is None else stop_at - self._now()
            if wait_s is None or wait_s > 0:
                await self._wait_for(self._stops_changed, wait_s)
                self._stops_changed.clear()
                continue
            for known in self._run_table.list_overdue(self._now()):
                epoch = self._lease.epoch
                stop = scheduling.Stop(epoch, known.task, known.run)
                self._spawn(self._stop(stop))
            await asyncio.sleep(lease.STOP_LEAD_S / 2)

    async def _stop(self, order: scheduling.Stop) -> None:
        runner = self._run_table.runner
        answer = await self._client.stop(order, runner.id if runner else "")
        if answer.status == 200:
            self._run_table.record_stopped(order.task, order.run, self._now())

    @property
    def _hold_s(self) -> float:
        return self._settings.bounds.max_hold_ms / 1000

    def _find_deadline(self) -> int | None:
        """Returns the deadline for all runs, on the runner's clock."""
        now = self._now()
        hold_s = min(self._hold_s, self._lease.find_remaining_s(now))
        limit = self._run_table.find_hold_limit()
        if limit is not None:
            hold_s = min(hold_s, limit - now)
        return self._clock.find_time(now, max(hold_s, 0.0))

    async def _probe(self, wait_ms: int) -> run_table_lib.RunChanges | None:
        """Probes the runner for its runs and reports changes to the owner."""
        epoch = self._lease.epoch
        asked_at = self._now()
        deadline = None if self._is_unresponsive else self._find_deadline()
        if deadline is not None:
            self._extended_at = asked_at
        runner = self._run_table.runner
        answer = await self._client.hold(
            epoch,
            self._run_table.last_acknowledged,
            deadline,
            wait_ms,
            runner.id if runner else "",
        )
        if epoch != self._lease.epoch:
            return None
        if answer == runner_body.FENCED:
            self._handle_fenced()
            return None
        if answer is None:
            self._record_missed_probe()
            return None
        self._clock.record(answer.clock_ms, self._now())
        self._record_answered_probe()
        changes = self._run_table.apply_probe(
            runner_body.create_probe_result(answer, asked_at, self._now())
        )
        self._stops_changed.set()
        self._report_changes(epoch, changes)
        return changes

    def _handle_fenced(self) -> None:
        eliot.log_message("side:fenced", epoch=self._lease.epoch)
        self._lease.skip_epochs(FENCED_EPOCH_STEP)
        self._register_with_known_owner()

    def _report_changes(
        self, epoch: int, changes: run_table_lib.RunChanges
    ) -> None:
        if self._reported_epoch != epoch:
            self._reported_epoch = epoch
            running = self._run_table.list_running()
            self._send_owner(scheduling.Report(epoch, running, changes.ends))
            return
        if changes.ends:
            self._send_owner(scheduling.Ended(epoch, changes.ends))
        for known in changes.missing:
            refusal = scheduling.NotStarted(
                epoch, known.task, known.run, "gone"
            )
            self._send_owner(refusal)

    async def _probe_repeatedly(self) -> None:
        while True:
            self._wake.clear()
            if not self._lease.is_valid(self._now()):
                await asyncio.sleep(RETRY_PAUSE_S)
                continue
            changes = await self._probe(
                0 if self._missed_probes else PROBE_WAIT_MS
            )
            if changes is None:
                await asyncio.sleep(RETRY_PAUSE_S)
                self._give_up_expired_runs()
            elif self._run_table.has_unacknowledged_ends:
                await self._wait_for(self._wake, UNACKNOWLEDGED_PAUSE_S)

    def _record_missed_probe(self) -> None:
        """Records that a probe got no answer.

        The runs of an unresponsive runner are not extended any more, so that
        they have certainly ended some time later.
        """
        self._missed_probes += 1
        if (
            self._missed_probes >= MAX_MISSED_PROBES
            and not self._is_unresponsive
        ):
            self._is_unresponsive = True
            self._report_responsiveness()

    def _record_answered_probe(self) -> None:
        self._missed_probes = 0
        self._has_given_up = False
        if self._is_unresponsive:
            self._is_unresponsive = False
            self._report_responsiveness()

    def _report_responsiveness(self) -> None:
        eliot.log_message(
            "side:runner-silent",
            epoch=self._lease.epoch,
            is_silent=self._is_unresponsive,
        )
        message = scheduling.RunnerUnresponsive(
            self._lease.epoch, self._is_unresponsive
        )
        self._send_owner(message)

    def _give_up_expired_runs(self) -> None:
        """Gives up an unresponsive runner's runs once they have expired.

        The owner is told even if no run is known: it starts no task anywhere
        before it has heard each side process of its predecessor.
        """
        if not self._is_unresponsive or self._has_given_up:
            return
        has_reported = self._reported_epoch == self._lease.epoch
        if has_reported and not self._run_table.runs:
            return
        if self._now() < lease.find_expiry(self._extended_at):
            return
        epoch = self._lease.epoch
        runs = self._run_table.list_running()
        eliot.log_message("side:runner-lost", epoch=epoch, runs=len(runs))
        self._has_given_up = True
        self._reported_epoch = epoch
        self._run_table.runs.clear()
        self._send_owner(scheduling.RunnerLost(epoch, runs))

    async def _wait_for(
        self, event: asyncio.Event, timeout_s: float | None
    ) -> None:
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(event.wait(), timeout_s)

    async def _renew_lease(self) -> None:
        while True:
            now = self._now()
            self._query_fronts(now)
            if self._lease.is_valid(now):
                self._renew()
            else:
                self._register_with_known_owner()
            await asyncio.sleep(lease.RENEW_INTERVAL_S)

    def _query_fronts(self, now: float) -> None:
        owner = self._lease.owner.name
        if now - self._lease.last_seen_at >= OWNER_SEARCH_AFTER_S or not owner:
            if now - self._searched_at >= OWNER_SEARCH_INTERVAL_S:
                self._searched_at = now
                names = self._peers.list_names("", now)
                self._send_hello(names)
        elif now - self._gossiped_at >= GOSSIP_INTERVAL_S:
            self._gossiped_at = now
            self._hub.disconnect_others(owner)
            self._send_hello([owner])

    def _send_hello(self, names: t.Iterable[str]) -> None:
        for name in names:
            self._send(name, locating.ViewRequest(None))

    def _register(self, owner: locating.OwnerRef) -> None:
        if not owner.name:
            return
        register = scheduling.Register(
            self._settings.ip,
            self._settings.zone,
            self._lease.request(owner),
            self._run_table.runner,
            self._now(),
        )
        self._send(owner.name, register)

    def _renew(self) -> None:
        self._send_owner(
            scheduling.Renew(
                self._lease.epoch, self._now(), self._run_table.runner
            )
        )

    def _send_owner(self, message: t.NamedTuple) -> None:
        self._send(self._lease.owner.name, message)

    def _spawn(self, work: t.Coroutine[t.Any, t.Any, t.Any]) -> None:
        task = asyncio.create_task(work)
        self._calls.add(task)
        task.add_done_callback(self._end_call)

    def _end_call(self, task: asyncio.Task) -> None:
        self._calls.discard(task)
        if not task.cancelled() and task.exception() is not None:
            eliot.log_message("side:call-failed", reason=repr(task.exception()))
