"""What the parts of a side process share."""

from __future__ import annotations

import asyncio
import typing as t

import eliot

from skylarkcleat import clock as clock_lib
from skylarkcleat import supervision
from skylarkcleat.platform import settings as settings_lib
from skylarkcleat.scheduling import lease as lease_lib
from skylarkcleat.scheduling import run_table as run_table_lib
from skylarkcleat.scheduling import runner_life
from skylarkcleat.scheduling import side_lease as side_lease_lib
from skylarkcleat.side import runner_clock
from skylarkcleat.wire import hub as hub_lib

MAX_LATE_MS = 10_000
"""How old an order may be that is carried out late, in milliseconds. A runner
that started longer ago gets none that was meant for an earlier life."""

CLOCK_AHEAD_MS = 250
"""An estimate of the runner's clock that is ahead of a reading by more is
logged; an answer takes less within one VM."""


class SideState:
    """The lease, the runs and the runner's clock of one side process.

    Args:
        settings: The settings of the process.
        hub: Carries its messages.

    Attributes:
        hold_s: How far ahead a hold may extend the runner's deadline, in
            seconds.
        lease: The lease from an owner.
        run_table: The runs on the runner.
        clock: The runner's clock.
        lives: Which life of the runner is the present one.
        extended_at: When the runner's deadline may have been extended last, in
            seconds.
        is_unresponsive: Whether the runner does not answer.
        wake: Set when the next probe should not wait any longer.
        stops_changed: Set when a run may have to be stopped earlier.
    """

    def __init__(
        self, settings: settings_lib.Settings, hub: hub_lib.Hub
    ) -> None:
        self.hold_s = settings.bounds.max_hold_ms / 1000
        self.lease = side_lease_lib.SideLease(
            clock_lib.read_wall_ms(), self.now()
        )
        self.run_table = run_table_lib.RunTable()
        self.clock = runner_clock.RunnerClock()
        self.lives = runner_life.RunnerLives()
        self.extended_at = 0.0
        self.is_unresponsive = False
        self.wake = asyncio.Event()
        self.stops_changed = asyncio.Event()
        self._hub = hub
        self._port = settings.port_range[0]
        self._calls = supervision.BackgroundTasks("call the runner")

    @property
    def runner_id(self) -> str:
        """The id of the runner; empty before it is known."""
        runner = self.run_table.runner
        return runner.id if runner else ""

    def now(self) -> float:
        """Returns the time, in seconds."""
        return clock_lib.read_monotonic()

    def find_deadline(self) -> int | None:
        """Returns the deadline for all runs, on the runner's clock."""
        now = self.now()
        hold_s = min(self.hold_s, self.lease.find_remaining_s(now))
        limit = self.run_table.find_hold_limit()
        if limit is not None:
            hold_s = min(hold_s, limit - now)
        return self.clock.find_time(now, max(hold_s, 0.0))

    def counts_former_orders(self) -> bool:
        """Returns whether the owner waits for what other lives were sent.

        An order may be carried out seconds after it was sent, by another life
        than it was meant for, which then holds its tasks for the longest time.
        """
        if not self.lives.is_exposed:
            return True
        fenced_at = self.lives.fenced_at
        if fenced_at is None:
            return False
        held_until = lease_lib.find_hold_expiry(fenced_at, self.hold_s)
        return self.lease.find_counted_until() >= held_until

    def record_clock(self, clock_ms: int, asked_at: float) -> None:
        """Records a reading of the clock in an answer that has just arrived.

        Args:
            clock_ms: The reading, of the runner's present life.
            asked_at: When the call was sent, in seconds.
        """
        now = self.now()
        estimated_ms = self.clock.find_time(now, 0.0)
        self.clock.record(clock_ms, asked_at, now)
        if estimated_ms is None or estimated_ms - clock_ms <= CLOCK_AHEAD_MS:
            return
        eliot.log_message(
            "side:clock-ahead",
            clock_ms=clock_ms,
            estimated_ms=estimated_ms,
            kept_ms=self.clock.find_time(now, 0.0),
        )

    def begin_life(
        self, born_ms: int, shown_by: str, keeps_id: bool = True
    ) -> None:
        """Forgets the runner's former life, and gives the lease up.

        Under the next lease the owner is told what runs there, so that it
        learns which runs were lost. The first life that this process sees
        replaces none.

        Args:
            born_ms: When the life began, in Unix milliseconds; 0 if unknown.
            shown_by: What has shown it, for the log.
            keeps_id: Whether it may have the id of the life before.
        """
        former_ms = self.lives.born_ms
        is_recent = clock_lib.read_wall_ms() - born_ms < MAX_LATE_MS
        self.lives.begin(born_ms, self.now(), keeps_id, is_recent)
        if not former_ms:
            return
        eliot.log_message(
            "side:runner-life",
            born_ms=born_ms,
            former_ms=former_ms,
            shown_by=shown_by,
            epoch=self.lease.epoch,
            runs=len(self.run_table.runs),
        )
        self.run_table.begin_life()
        self.clock.reset()
        self.lease.drop()

    def send(self, name: str, message: t.NamedTuple) -> None:
        """Sends a message to a front."""
        self._hub.send_any(name, f"tcp://{name}:{self._port}", message)

    def send_owner(self, message: t.NamedTuple) -> None:
        """Sends a message to the owner that granted the lease."""
        self.send(self.lease.owner.name, message)

    def disconnect(self, name: str) -> None:
        """Closes the connection to a front."""
        self._hub.disconnect(name)

    def disconnect_others(self, name: str) -> None:
        """Closes the connections to all fronts but one."""
        self._hub.disconnect_others(name)

    def spawn(self, work: t.Coroutine[t.Any, t.Any, t.Any]) -> None:
        """Runs a call of the runner beside everything else."""
        self._calls.spawn(work)

    def cancel_calls(self) -> None:
        """Cancels the calls that were spawned."""
        self._calls.cancel()
