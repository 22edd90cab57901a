"""Probes the runner for its runs, and tells the owner what changed."""

from __future__ import annotations

import asyncio
import contextlib

import eliot

from skylarkcleat.platform import runner_body
from skylarkcleat.protocol import reporting
from skylarkcleat.scheduling import lease
from skylarkcleat.scheduling import probe_result
from skylarkcleat.scheduling import runner_life
from skylarkcleat.scheduling import side_lease
from skylarkcleat.side import channels as channels_lib
from skylarkcleat.side import registration as registration_lib
from skylarkcleat.side import state as state_lib

PROBE_WAIT_MS = 200
"""How long a probe of the runner waits for a run to end, in milliseconds."""

RETRY_PAUSE_S = 0.02
UNACKNOWLEDGED_PAUSE_S = 0.1
"""How long to wait for the owner to acknowledge ends before the next probe."""

MAX_MISSED_PROBES = 2
"""After this many unanswered probes a runner counts as unresponsive."""

REPORT_ATTEMPTS = 4
REPORT_HEDGE_S = 0.05
"""How often the runner is probed for the first report under a lease, and how
long after the previous attempt: a new owner starts nothing before every side
process has reported, and an answer within one VM takes a millisecond."""

FENCED_EPOCH_STEP = 60_000
"""Epochs to skip if the runner has seen a larger fencing token: a previous
process here may have had a clock that was a minute ahead. Each further skip is
twice as long, so that any token is passed within a few seconds."""


class Probes:
    """Holds the runs on the runner while the lease is valid.

    Args:
        state: What it shares with the side process's other parts.
        registration: Registers anew if the runner refuses the epoch.
        channels: Carry the calls of the runner.
    """

    def __init__(
        self,
        state: state_lib.SideState,
        registration: registration_lib.Registration,
        channels: channels_lib.Channels,
    ) -> None:
        self._state = state
        self._registration = registration
        self._channels = channels
        self._reported_epoch = 0
        self._missed_probes = 0
        self._has_given_up = False
        self._epoch_step = FENCED_EPOCH_STEP

    async def run(self) -> None:
        """Probes the runner while there is a lease."""
        state = self._state
        while True:
            state.wake.clear()
            if not state.lease.is_valid(state.now()):
                await asyncio.sleep(RETRY_PAUSE_S)
                continue
            changes = await self.probe(
                0 if self._missed_probes else PROBE_WAIT_MS
            )
            if changes is None:
                await asyncio.sleep(RETRY_PAUSE_S)
                self._give_up_expired_runs()
            elif state.run_table.has_unacknowledged_ends:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(
                        state.wake.wait(), UNACKNOWLEDGED_PAUSE_S
                    )

    def begin_lease(self) -> None:
        """Reports the runs under a lease that was just granted."""
        # A previous process may have extended its runs until just now.
        self._state.extended_at = self._state.now()
        self._has_given_up = False
        self._state.spawn(self._report_lease(self._state.lease.epoch))

    async def _report_lease(self, epoch: int) -> None:
        """Probes the runner until its runs are reported under a lease."""
        for _ in range(REPORT_ATTEMPTS):
            self._state.spawn(self.probe(0, is_hedge=True))
            await asyncio.sleep(REPORT_HEDGE_S)
            if self._reported_epoch == epoch:
                return
            if self._state.lease.epoch != epoch:
                return

    async def probe(
        self, wait_ms: int, is_hedge: bool = False
    ) -> probe_result.RunChanges | None:
        """Probes the runner for its runs and reports changes to the owner.

        The runs are held for longer only on a channel on which the present
        life of the runner has answered.

        Args:
            wait_ms: How long the runner waits for a run to end.
            is_hedge: Whether another probe is under way, so that a missing
                answer to this one says nothing of the runner.

        Returns:
            The changes; None if there was no answer under the present lease.
        """
        state = self._state
        async with self._channels.lend() as channel:
            if state.is_unresponsive:
                return await self._hold(channel, None, wait_ms, is_hedge)
            if not channel.reaches(state.lives.born_ms):
                changes = await self.identify_life(channel, is_hedge)
                if changes is None:
                    return None
            deadline = state.find_deadline()
            return await self._hold(channel, deadline, wait_ms, is_hedge)

    async def identify_life(
        self, channel: channels_lib.Channel, is_hedge: bool
    ) -> probe_result.RunChanges | None:
        """Learns which life of the runner answers on a channel.

        It extends no run: a deadline is a time on the clock of one life.

        Args:
            channel: The channel, which nobody else uses meanwhile.
            is_hedge: Whether a missing answer says nothing of the runner.

        Returns:
            The changes; None if there was no answer under the present lease,
            and if another life has answered, since that ends the lease.
        """
        return await self._hold(channel, None, 0, is_hedge)

    async def _hold(
        self,
        channel: channels_lib.Channel,
        deadline: int | None,
        wait_ms: int,
        is_hedge: bool,
    ) -> probe_result.RunChanges | None:
        state = self._state
        epoch = state.lease.epoch
        expected = state.runner_id
        asked_at = state.now()
        connection = None
        if deadline is not None:
            state.extended_at = asked_at
            connection = channel.client.connection
        answer = await channel.client.hold(
            epoch,
            state.run_table.last_acknowledged,
            deadline,
            wait_ms,
            expected,
            connection,
        )
        if isinstance(answer, runner_body.HoldAnswer):
            channel.record_answer(answer.born_ms)
        elif isinstance(answer, runner_body.NotSent):
            channel.record_gone()
        if epoch != state.lease.epoch:
            return None
        if isinstance(answer, runner_body.HoldAnswer):
            return self._handle_answer(epoch, answer, asked_at)
        if isinstance(answer, runner_body.NotSent):
            return await self.identify_life(channel, is_hedge)
        if isinstance(answer, runner_body.Fenced):
            self._handle_fenced()
        elif isinstance(answer, runner_body.OtherRunner):
            self._handle_other_runner(expected)
        elif not is_hedge:
            self._record_missed_probe()
        return None

    def _handle_answer(
        self, epoch: int, answer: runner_body.HoldAnswer, asked_at: float
    ) -> probe_result.RunChanges | None:
        """Handles an answer; returns None unless the lease is still held."""
        state = self._state
        origin = state.lives.judge_answer(answer.born_ms, asked_at)
        if origin is runner_life.Origin.FORMER:
            return None
        self._record_answered_probe()
        if origin is runner_life.Origin.NEW:
            state.begin_life(answer.born_ms, "answer")
        state.record_clock(answer.clock_ms, asked_at)
        if epoch != state.lease.epoch:
            self._registration.register_with_known_owner()
            return None
        if state.lives.record_fence(state.now()) and state.lives.is_exposed:
            delay_s = lease.find_start_delay_s(state.hold_s)
            state.spawn(self._registration.renew_after(delay_s))
        changes = state.run_table.apply_probe(
            runner_body.create_probe_result(answer, asked_at, state.now())
        )
        state.stops_changed.set()
        self._report_changes(epoch, changes)
        return changes

    def _handle_other_runner(self, expected: str) -> None:
        """Handles that another runner serves the address of the known one."""
        if expected == self._state.runner_id:
            self._state.begin_life(0, "other-runner", keeps_id=False)
            self._registration.register_with_known_owner()

    def _handle_fenced(self) -> None:
        eliot.log_message("side:fenced", epoch=self._state.lease.epoch)
        self._state.lease.skip_epochs(self._epoch_step)
        self._epoch_step = min(2 * self._epoch_step, side_lease.MAX_EPOCH)
        self._registration.register_with_known_owner()

    def _report_changes(
        self, epoch: int, changes: probe_result.RunChanges
    ) -> None:
        send_owner = self._state.send_owner
        if self._reported_epoch != epoch:
            self._reported_epoch = epoch
            running = self._state.run_table.list_running()
            send_owner(reporting.Report(epoch, running, changes.ends))
            return
        if changes.ends:
            send_owner(reporting.Ended(epoch, changes.ends))
        for known in changes.missing:
            send_owner(
                reporting.NotStarted(epoch, known.task, known.run, "gone")
            )

    def _record_missed_probe(self) -> None:
        """Records that a probe got no answer.

        The runs of an unresponsive runner are not extended any more, so that
        they have certainly ended some time later.
        """
        self._missed_probes += 1
        if (
            self._missed_probes >= MAX_MISSED_PROBES
            and not self._state.is_unresponsive
        ):
            self._state.is_unresponsive = True
            self._report_responsiveness()

    def _record_answered_probe(self) -> None:
        self._missed_probes = 0
        self._has_given_up = False
        self._epoch_step = FENCED_EPOCH_STEP
        if self._state.is_unresponsive:
            self._state.is_unresponsive = False
            self._report_responsiveness()

    def _report_responsiveness(self) -> None:
        epoch = self._state.lease.epoch
        is_unresponsive = self._state.is_unresponsive
        eliot.log_message(
            "side:runner-silent", epoch=epoch, is_silent=is_unresponsive
        )
        self._state.send_owner(
            reporting.RunnerUnresponsive(epoch, is_unresponsive)
        )

    def _give_up_expired_runs(self) -> None:
        """Gives up an unresponsive runner's runs once they have expired.

        The owner is told even if no run is known: it starts no task anywhere
        before it has heard each side process of its predecessor.
        """
        state = self._state
        epoch = state.lease.epoch
        if not epoch or not state.is_unresponsive or self._has_given_up:
            return
        if self._reported_epoch == epoch and not state.run_table.runs:
            return
        if state.now() < lease.find_expiry(state.extended_at):
            return
        lost = state.run_table.give_up()
        eliot.log_message(
            "side:runner-lost",
            epoch=epoch,
            runs=len(lost.started),
            unanswered=len(lost.unanswered),
        )
        self._has_given_up = True
        self._reported_epoch = epoch
        for run in lost.unanswered:
            state.send_owner(
                reporting.NotStarted(
                    epoch, run.task, run.run, reporting.UNANSWERED
                )
            )
        state.send_owner(reporting.RunnerLost(epoch, lost.started))
