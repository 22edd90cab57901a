"""The side process: its lease, its runner's reports and the runs there."""

from __future__ import annotations

import random
import typing as t

import eliot

from skylarkcleat import clock as clock_lib
from skylarkcleat import supervision
from skylarkcleat.platform import runner_body
from skylarkcleat.platform import runner_reports
from skylarkcleat.platform import seed_watch
from skylarkcleat.platform import settings as settings_lib
from skylarkcleat.protocol import leasing
from skylarkcleat.protocol import locating
from skylarkcleat.protocol import owning
from skylarkcleat.scheduling import runner_life
from skylarkcleat.side import channels as channels_lib
from skylarkcleat.side import orders as orders_lib
from skylarkcleat.side import probes as probes_lib
from skylarkcleat.side import registration as registration_lib
from skylarkcleat.side import state as state_lib
from skylarkcleat.wire import event as event_lib
from skylarkcleat.wire import hub as hub_lib

MAX_CLOCK_AHEAD_MS = 60_000
"""How far ahead a runner's time of day may be."""

MAX_LATE_HEARTBEATS = 1_000
"""A heartbeat whose number is further behind the last one is not late: the last
one was not the runner's."""


class SideProcess(runner_reports.RunnerListener, seed_watch.SeedListener):
    """Everything that a side process does except for its HTTP server.

    Args:
        settings: The settings of the process.
        hub: Its connections to the other processes.
        channels: Carry the calls of its runner.
        generator: Picks the fronts that it asks at random.
    """

    def __init__(
        self,
        settings: settings_lib.Settings,
        hub: hub_lib.Hub,
        channels: channels_lib.Channels,
        generator: random.Random,
    ) -> None:
        self._hub = hub
        self._state = state_lib.SideState(settings, hub)
        self._registration = registration_lib.Registration(
            self._state, settings, generator
        )
        self._probes = probes_lib.Probes(
            self._state, self._registration, channels
        )
        self._orders = orders_lib.Orders(self._state, self._probes, channels)
        self._heartbeat_sequence = 0
        self._runner_address = settings.app

    def list_tasks(self) -> list[t.Coroutine[t.Any, t.Any, None]]:
        """Returns the coroutines that run as long as the process."""
        return [
            self._receive_events(),
            supervision.keep_running("keep a lease", self._registration.run),
            supervision.keep_running("probe the runner", self._probes.run),
            supervision.keep_running("stop overdue runs", self._orders.run),
        ]

    def handle_heartbeat(self, heartbeat: runner_body.Heartbeat) -> None:
        """Handles a heartbeat of the runner."""
        state = self._state
        runner = heartbeat.runner
        reason = self._find_oddity(heartbeat)
        if reason:
            eliot.log_message(
                "side:heartbeat-ignored", runner=runner.id, reason=reason
            )
            return
        known = state.run_table.runner
        if self._begins_life(runner, known):
            keeps_id = known is None or known.id == runner.id
            state.begin_life(runner.born_ms, "heartbeat", keeps_id)
            known = None
        elif self._is_stale(heartbeat, known):
            return
        self._heartbeat_sequence = heartbeat.sequence
        runner = runner_life.keep_draining(known, runner)
        if known is None or known._replace(cold_ms=runner.cold_ms) != runner:
            eliot.log_message(
                "side:runner",
                runner=runner.id,
                born_ms=runner.born_ms,
                draining=runner.draining,
                cpu=runner.cpu,
            )
        state.run_table.runner = runner
        changed = known is None or known.draining != runner.draining
        if changed and state.lease.is_valid(state.now()):
            self._registration.renew()
        state.wake.set()

    def update_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replaces the seeds that it asks for the owner."""
        self._registration.update_seeds(seeds)

    def handle_deregistration(self, runner: str) -> None:
        """Marks the runner as draining once it deregisters."""
        known = self._state.run_table.runner
        if known is not None and known.id == runner:
            self._state.run_table.runner = known._replace(draining=True)

    async def close(self) -> None:
        """Extends the runs so that they survive a restart of this process."""
        if self._state.lease.is_valid(self._state.now()):
            await self._probes.probe(0)
        self._state.cancel_calls()

    def _find_oddity(self, heartbeat: runner_body.Heartbeat) -> str:
        """Returns why a heartbeat can't be that of the runner beside here."""
        if heartbeat.address != self._runner_address:
            return f"it is at {heartbeat.address}"
        latest_ms = clock_lib.read_wall_ms() + MAX_CLOCK_AHEAD_MS
        if heartbeat.runner.born_ms > latest_ms:
            return f"it starts at {heartbeat.runner.born_ms}, in the future"
        return ""

    def _begins_life(
        self, runner: leasing.Runner, known: leasing.Runner | None
    ) -> bool:
        """Returns whether a heartbeat shows another life of the runner."""
        origin = self._state.lives.judge_heartbeat(runner.born_ms)
        if origin is runner_life.Origin.PRESENT:
            return known is not None and known.id != runner.id
        return origin is runner_life.Origin.NEW

    def _is_stale(
        self, heartbeat: runner_body.Heartbeat, known: leasing.Runner | None
    ) -> bool:
        """Returns whether a heartbeat is of a former life, or comes late."""
        runner = heartbeat.runner
        origin = self._state.lives.judge_heartbeat(runner.born_ms)
        if origin is runner_life.Origin.FORMER:
            return True
        behind = self._heartbeat_sequence - heartbeat.sequence
        return known is not None and 0 <= behind < MAX_LATE_HEARTBEATS

    async def _receive_events(self) -> None:
        while True:
            event = await self._hub.events.get()
            if not isinstance(event, event_lib.Received):
                continue
            try:
                self._receive(event.peer.name, event.message)
            except Exception as error:
                supervision.log_unexpected(
                    "handle a message", error, event.peer.name
                )

    def _receive(self, sender: str, message: t.Any) -> None:
        held = self._state.lease
        if isinstance(message, locating.View):
            self._registration.handle_view(message)
        elif isinstance(message, locating.OwnerFound):
            self._registration.handle_found(message)
        elif isinstance(message, owning.OwnershipMoved):
            self._registration.handle_moved(sender, message)
        elif isinstance(message, leasing.Grant):
            self._handle_grant(sender, message)
        elif isinstance(message, leasing.Renewed):
            held.renew(message.epoch, message.sent_at, self._state.now())
        elif isinstance(message, leasing.Unregistered):
            self._registration.handle_unregistered(message)
        elif message.epoch == held.epoch:
            self._orders.handle(message)

    def _handle_grant(self, sender: str, grant: leasing.Grant) -> None:
        held = self._state.lease
        previous = held.owner
        if not held.grant(sender, grant.epoch, grant.sent_at):
            return
        self._state.run_table.begin_lease(
            held.previous_expires_at, self._state.now()
        )
        self._state.stops_changed.set()
        eliot.log_message(
            "side:lease",
            epoch=grant.epoch,
            owner=sender,
            term=held.owner.term,
            former=previous.name,
        )
        self._probes.begin_lease()
