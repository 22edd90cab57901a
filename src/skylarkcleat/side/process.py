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
from skylarkcleat.scheduling import run_table as run_table_lib
from skylarkcleat.scheduling import side_lease as side_lease_lib
from skylarkcleat.side import runner_clock
from skylarkcleat.wire import event as event_lib
from skylarkcleat.wire import hub as hub_lib

WAIT_MS = 200
"""How long a look at the runner waits for an end, in milliseconds."""

PAUSE_S = 0.02
UNNOTED_PAUSE_S = 0.1
"""How long to wait for the owner's note of ends before looking again."""

MIN_HOLD_S = 0.1
"""Nothing starts that could be held for less than this."""

SILENT_MISSES = 2
"""After so many looks without an answer a runner counts as silent."""

SEEK_S = 0.25
"""Without the owner's answer for so long, other fronts are asked for it."""

SEEK_ASK_S = 0.1
"""How often they are asked."""

GOSSIP_S = 1.0
"""How often the owner is asked which fronts there are."""

FENCED_EPOCHS = 60_000
"""Passed over if the runner has seen a larger fencing token: a former process
here may have had a clock that was a minute ahead."""


class SideProcess(runner_reports.RunnerListener):
    """Everything that a side process does, but for its HTTP server."""

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
        self._knowledge = peer_table_lib.PeerTable(seeds, random.Random())
        self._tenure = side_lease_lib.SideLease(
            clock_lib.read_wall_ms(), clock_lib.read_monotonic()
        )
        self._ledger = run_table_lib.RunTable()
        self._clock = runner_clock.RunnerClock()
        self._reported_epoch = 0
        self._sought_at = 0.0
        self._gossiped_at = 0.0
        self._held_at = 0.0
        self._sequence = 0
        self._misses = 0
        self._is_silent = False
        self._wake = asyncio.Event()
        self._stops = asyncio.Event()
        self._calls: set[asyncio.Task] = set()

    def list_tasks(self) -> list[t.Coroutine[t.Any, t.Any, None]]:
        """Returns what has to run while the process does."""
        return [
            self._listen(),
            self._keep_lease(),
            self._keep_runs(),
            self._keep_stopping(),
        ]

    def take_heartbeat(self, heartbeat: runner_body.Heartbeat) -> None:
        """Takes in a heartbeat of the runner."""
        runner = heartbeat.runner
        known = self._ledger.runner
        if known is not None and self._is_stale(heartbeat, known):
            return
        self._sequence = heartbeat.sequence
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
        if self._ledger.update_runner(runner):
            self._clock.reset()
            self._tenure.drop()
        changed = known is None or known.draining != runner.draining
        if changed and self._tenure.is_valid(self._now()):
            self._renew()
        self._wake.set()

    def _is_stale(
        self, heartbeat: runner_body.Heartbeat, known: scheduling.Runner
    ) -> bool:
        runner = heartbeat.runner
        if runner.born_ms != known.born_ms:
            return runner.born_ms < known.born_ms
        return runner.id == known.id and heartbeat.sequence <= self._sequence

    def take_leave(self, runner: str) -> None:
        """Takes in that the runner ends."""
        known = self._ledger.runner
        if known is not None and known.id == runner:
            self._ledger.runner = known._replace(draining=True)

    async def close(self) -> None:
        """Lets the runs outlive a restart of this process."""
        if self._tenure.is_valid(self._now()):
            await self._look(0)
        for call in list(self._calls):
            call.cancel()

    def _now(self) -> float:
        return clock_lib.read_monotonic()

    def _send(self, name: str, message: t.NamedTuple) -> None:
        self._hub.send_any(name, f"tcp://{name}:{self._port}", message)

    async def _listen(self) -> None:
        while True:
            event = await self._hub.events.get()
            if isinstance(event, event_lib.Received):
                self._receive(event.peer.name, event.message)

    def _receive(self, sender: str, message: t.Any) -> None:
        if isinstance(message, locating.View):
            self._knowledge.merge(message, self._now())
            self._follow()
        elif isinstance(message, locating.OwnerFound):
            self._consider(message.owner)
        elif isinstance(message, owning.OwnershipMoved):
            if sender == self._tenure.owner.name:
                self._tenure.record_owner_ended()
                self._register(locating.OwnerRef(message.owner, message.term))
        elif isinstance(message, scheduling.Grant):
            self._take_grant(sender, message)
        elif isinstance(message, scheduling.Renewed):
            now = self._now()
            self._tenure.renew(message.epoch, message.sent_at, now)
        elif isinstance(message, scheduling.Unregistered):
            if message.epoch == self._tenure.epoch:
                self._register(self._tenure.owner)
        elif message.epoch == self._tenure.epoch:
            self._take_order(message)

    def _follow(self) -> None:
        """Registers with the latest owner that any front hears."""
        found = self._knowledge.find_owner(self._now())
        if found.name:
            self._consider(found)

    def _consider(self, found: locating.OwnerRef) -> None:
        """Registers with an owner, unless the present one is heard."""
        now = self._now()
        is_silent = now - self._tenure.last_seen_at >= SEEK_S
        is_newer = found.term > self._tenure.owner.term
        if not self._tenure.is_valid(now) or (is_silent and is_newer):
            self._register(found)

    def _take_grant(self, sender: str, grant: scheduling.Grant) -> None:
        former = self._tenure.owner
        if not self._tenure.grant(sender, grant.epoch, grant.sent_at):
            return
        # A former process may have let its runs go on until just now.
        self._held_at = self._now()
        self._ledger.begin_lease(self._tenure.previous_expires_at, self._now())
        self._stops.set()
        eliot.log_message(
            "side:lease",
            epoch=grant.epoch,
            owner=sender,
            term=self._tenure.owner.term,
            former=former.name,
        )
        self._spawn(self._look(0))

    def _take_order(self, message: t.Any) -> None:
        if isinstance(message, scheduling.Start):
            self._take_start(message)
        elif isinstance(message, scheduling.Adopt):
            self._ledger.adopt(message.task, message.run)
        elif isinstance(message, scheduling.Stop):
            self._take_stop(message)
        elif isinstance(message, scheduling.EndsAcknowledged):
            self._ledger.record_acknowledged(message.number)
            self._wake.set()

    def _take_start(self, order: scheduling.Start) -> None:
        if not self._tenure.is_valid(self._now()):
            return
        reason = self._find_refusal() or self._ledger.admit(order)
        if reason:
            self._refuse(order, reason)
        else:
            self._spawn(self._start(order))

    def _find_refusal(self) -> str:
        """Returns why no task can start now; empty if one can."""
        if self._is_silent:
            return "silent"
        limit = self._ledger.find_hold_limit()
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
            self._ledger.record_refused(order.task, order.run)
            self._refuse(order, "no-clock")
            return
        sent_at = self._now()
        self._held_at = sent_at
        answer = await self._client.start(
            order, deadline, self._ledger.runner.id
        )
        self._clock.note(answer.clock_ms, self._now())
        if answer.status == 200:
            self._ledger.record_started(order.task, order.run, self._now())
        elif answer.status == runner_client.UNANSWERED:
            expires_at = sent_at + self._hold_s * (1 + lease.CLOCK_DRIFT) + 0.05
            self._ledger.record_unanswered(order.task, order.run, expires_at)
            await self._resolve(order)
        else:
            self._ledger.record_refused(order.task, order.run)
            reason = answer.reason or f"status-{answer.status}"
            self._refuse(order, reason)

    async def _resolve(self, order: scheduling.Start) -> None:
        """Stops a start that got no answer, unless the task runs."""
        eliot.log_message(
            "side:start-unanswered", task=order.task, run=order.run
        )
        await self._look(0)
        known = self._ledger.runs.get(order.task)
        if known is None or known.run != order.run:
            return
        if known.state is run_table_lib.RunState.UNKNOWN:
            stop = scheduling.Stop(order.epoch, order.task, order.run)
            await self._stop(stop)
            await self._look(0)

    def _take_stop(self, order: scheduling.Stop) -> None:
        if self._ledger.request_stop(order.task, order.run, self._now()):
            self._stops.set()
        else:
            self._spawn(self._stop(order))

    async def _keep_stopping(self) -> None:
        """Stops runs when it is time, again until it is certain."""
        while True:
            stop_at = self._ledger.find_next_stop()
            wait_s = None if stop_at is None else stop_at - self._now()
            if wait_s is None or wait_s > 0:
                await self._wait_for(self._stops, wait_s)
                self._stops.clear()
                continue
            for known in self._ledger.list_overdue(self._now()):
                epoch = self._tenure.epoch
                stop = scheduling.Stop(epoch, known.task, known.run)
                self._spawn(self._stop(stop))
            await asyncio.sleep(lease.STOP_LEAD_S / 2)

    async def _stop(self, order: scheduling.Stop) -> None:
        runner = self._ledger.runner
        answer = await self._client.stop(order, runner.id if runner else "")
        if answer.status == 200:
            self._ledger.record_stopped(order.task, order.run, self._now())

    @property
    def _hold_s(self) -> float:
        return self._settings.bounds.max_hold_ms / 1000

    def _find_deadline(self) -> int | None:
        """Returns until when everything on the runner may run."""
        now = self._now()
        hold_s = min(self._hold_s, self._tenure.find_remaining_s(now))
        limit = self._ledger.find_hold_limit()
        if limit is not None:
            hold_s = min(hold_s, limit - now)
        return self._clock.find_time(now, max(hold_s, 0.0))

    async def _look(self, wait_ms: int) -> run_table_lib.RunChanges | None:
        """Asks the runner for its runs and tells the owner what changed."""
        epoch = self._tenure.epoch
        asked_at = self._now()
        deadline = None if self._is_silent else self._find_deadline()
        if deadline is not None:
            self._held_at = asked_at
        runner = self._ledger.runner
        held = await self._client.hold(
            epoch,
            self._ledger.last_acknowledged,
            deadline,
            wait_ms,
            runner.id if runner else "",
        )
        if epoch != self._tenure.epoch:
            return None
        if held == runner_body.FENCED:
            self._pass_fence()
            return None
        if held is None:
            self._note_miss()
            return None
        self._clock.note(held.clock_ms, self._now())
        self._note_heard()
        news = self._ledger.apply_probe(runner_body.create_look(held, asked_at))
        self._stops.set()
        self._tell(epoch, news)
        return news

    def _pass_fence(self) -> None:
        eliot.log_message("side:fenced", epoch=self._tenure.epoch)
        self._tenure.skip_epochs(FENCED_EPOCHS)
        self._follow()

    def _tell(self, epoch: int, news: run_table_lib.RunChanges) -> None:
        if self._reported_epoch != epoch:
            self._reported_epoch = epoch
            running = self._ledger.list_running()
            self._send_owner(scheduling.Report(epoch, running, news.ends))
            return
        if news.ends:
            self._send_owner(scheduling.Ended(epoch, news.ends))
        for known in news.missing:
            gone = scheduling.NotStarted(epoch, known.task, known.run, "gone")
            self._send_owner(gone)

    async def _keep_runs(self) -> None:
        while True:
            self._wake.clear()
            if not self._tenure.is_valid(self._now()):
                await asyncio.sleep(PAUSE_S)
                continue
            news = await self._look(0 if self._misses else WAIT_MS)
            if news is None:
                await asyncio.sleep(PAUSE_S)
                self._note_lapse()
            elif self._ledger.has_unacknowledged_ends:
                await self._wait_for(self._wake, UNNOTED_PAUSE_S)

    def _note_miss(self) -> None:
        """Takes in that a look got no answer.

        A runner that is silent is held no longer, so that what runs there has
        ended for certain some time later.
        """
        self._misses += 1
        if self._misses >= SILENT_MISSES and not self._is_silent:
            self._is_silent = True
            self._tell_silence()

    def _note_heard(self) -> None:
        self._misses = 0
        if self._is_silent:
            self._is_silent = False
            self._tell_silence()

    def _tell_silence(self) -> None:
        eliot.log_message(
            "side:runner-silent",
            epoch=self._tenure.epoch,
            is_silent=self._is_silent,
        )
        silence = scheduling.RunnerUnresponsive(
            self._tenure.epoch, self._is_silent
        )
        self._send_owner(silence)

    def _note_lapse(self) -> None:
        """Gives up what ran on a silent runner, once it has lapsed."""
        if not self._is_silent or not self._ledger.runs:
            return
        if self._now() < lease.find_expiry(self._held_at):
            return
        eliot.log_message("side:runner-lost", epoch=self._tenure.epoch)
        self._ledger.runs.clear()
        self._send_owner(scheduling.RunnerLost(self._tenure.epoch))

    async def _wait_for(
        self, event: asyncio.Event, timeout_s: float | None
    ) -> None:
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(event.wait(), timeout_s)

    async def _keep_lease(self) -> None:
        while True:
            now = self._now()
            self._ask_fronts(now)
            if self._tenure.is_valid(now):
                self._renew()
            else:
                self._follow()
            await asyncio.sleep(lease.RENEW_INTERVAL_S)

    def _ask_fronts(self, now: float) -> None:
        owner = self._tenure.owner.name
        if now - self._tenure.last_seen_at >= SEEK_S or not owner:
            if now - self._sought_at >= SEEK_ASK_S:
                self._sought_at = now
                names = self._knowledge.list_names("", now)
                self._say_hello(names)
        elif now - self._gossiped_at >= GOSSIP_S:
            self._gossiped_at = now
            self._hub.disconnect_others(owner)
            self._say_hello([owner])

    def _say_hello(self, names: t.Iterable[str]) -> None:
        for name in names:
            self._send(name, locating.ViewRequest(None))

    def _register(self, owner: locating.OwnerRef) -> None:
        if not owner.name:
            return
        register = scheduling.Register(
            self._settings.ip,
            self._settings.zone,
            self._tenure.request(owner),
            self._ledger.runner,
            self._now(),
        )
        self._send(owner.name, register)

    def _renew(self) -> None:
        self._send_owner(
            scheduling.Renew(
                self._tenure.epoch, self._now(), self._ledger.runner
            )
        )

    def _send_owner(self, message: t.NamedTuple) -> None:
        self._send(self._tenure.owner.name, message)

    def _spawn(self, work: t.Coroutine[t.Any, t.Any, t.Any]) -> None:
        task = asyncio.create_task(work)
        self._calls.add(task)
        task.add_done_callback(self._end_call)

    def _end_call(self, task: asyncio.Task) -> None:
        self._calls.discard(task)
        if not task.cancelled() and task.exception() is not None:
            eliot.log_message("side:call-failed", reason=repr(task.exception()))
