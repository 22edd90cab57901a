"""Carries out the owner's orders: starts and stops of tasks."""

from __future__ import annotations

import asyncio
import contextlib
import typing as t

import eliot

from skylarkcleat import containment as containment_lib
from skylarkcleat.platform import runner_body
from skylarkcleat.platform import runner_client
from skylarkcleat.protocol import leasing
from skylarkcleat.protocol import reporting
from skylarkcleat.scheduling import lease
from skylarkcleat.scheduling import local_run
from skylarkcleat.side import channels as channels_lib
from skylarkcleat.side import probes as probes_lib
from skylarkcleat.side import state as state_lib

MIN_HOLD_S = 0.1
"""A task is refused if its run could be extended for less than this."""

MAX_SENDS = 2
"""How often a start is sent whose connection is gone before it goes out."""

_SILENT = "silent"
_HELD = "held"
_UNKNOWN = runner_body.Answer(runner_client.UNANSWERED, "")
_UNSENT = runner_body.Answer(runner_client.NOT_SENT, _SILENT)


class Orders:
    """Starts and stops tasks on the runner.

    Args:
        state: What it shares with the side process's other parts.
        probes: Shows whether a start without an answer took effect.
        channels: Carry the calls of the runner.
    """

    def __init__(
        self,
        state: state_lib.SideState,
        probes: probes_lib.Probes,
        channels: channels_lib.Channels,
    ) -> None:
        self._state = state
        self._probes = probes
        self._channels = channels
        self._containment = containment_lib.Containment()

    async def run(self) -> None:
        """Stops overdue runs, repeatedly until the stop is certain."""
        state = self._state
        while True:
            stop_at = state.run_table.find_next_stop()
            wait_s = None if stop_at is None else stop_at - state.now()
            if wait_s is None or wait_s > 0:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(state.stops_changed.wait(), wait_s)
                state.stops_changed.clear()
                continue
            for known in state.run_table.list_overdue(state.now()):
                epoch = state.lease.epoch
                stop = leasing.Stop(epoch, known.task, known.run)
                state.spawn(self._stop(stop))
            await asyncio.sleep(lease.STOP_LEAD_S / 2)

    def handle(self, message: t.Any) -> None:
        """Handles an order under the present lease."""
        run_table = self._state.run_table
        if isinstance(message, leasing.Start):
            self._try_start(message)
        elif isinstance(message, leasing.StartTasks):
            for order in message.list_orders():
                self._try_start(order)
        elif isinstance(message, leasing.Adopt):
            run_table.adopt(message.task, message.run)
        elif isinstance(message, leasing.Stop):
            self._handle_stop(message)
        elif isinstance(message, leasing.EndsAcknowledged):
            run_table.record_acknowledged(message.number)
            self._state.wake.set()

    def _try_start(self, order: leasing.Start) -> None:
        """Handles an order; one that an error prevents is refused."""
        try:
            self._handle_start(order)
        except Exception as error:
            now = self._state.now()
            self._containment.record("admit a task", error, now)
            self._state.run_table.record_refused(order.task, order.run)
            self._refuse(order, "error")

    def _handle_start(self, order: leasing.Start) -> None:
        if not self._state.lease.is_valid(self._state.now()):
            return
        reason = self._find_refusal() or self._state.run_table.admit(order)
        if reason:
            self._refuse(order, reason)
        else:
            self._state.spawn(self._start(order))

    def _find_refusal(self) -> str:
        """Returns why no task can start now; empty if one can."""
        if self._state.is_unresponsive:
            return _SILENT
        if not self._state.counts_former_orders():
            return _HELD
        limit = self._state.run_table.find_hold_limit()
        if limit is not None and limit - self._state.now() < MIN_HOLD_S:
            return _HELD
        return ""

    def _refuse(self, order: leasing.Start, reason: str) -> None:
        eliot.log_message(
            "side:refused", task=order.task, run=order.run, reason=reason
        )
        epoch = self._state.lease.epoch
        if epoch:
            self._state.send_owner(
                reporting.NotStarted(epoch, order.task, order.run, reason)
            )

    async def _start(self, order: leasing.Start) -> None:
        state = self._state
        try:
            answer = await self._send_start(order)
        except Exception as error:
            self._containment.record("start a task", error, state.now())
            answer = _UNKNOWN
        if answer.status == 200:
            state.run_table.record_started(order.task, order.run, state.now())
        elif answer.status == runner_client.UNANSWERED:
            expires_at = lease.find_hold_expiry(state.extended_at, state.hold_s)
            state.run_table.record_unanswered(order.task, order.run, expires_at)
            await self._resolve(order)
        else:
            state.run_table.record_refused(order.task, order.run)
            reason = answer.reason or f"status-{answer.status}"
            self._refuse(order, reason)

    async def _send_start(self, order: leasing.Start) -> runner_body.Answer:
        """Sends a start to the present life of the runner, or not at all."""
        try:
            async with self._channels.lend(
                runner_client.ORDER_TIMEOUT_S
            ) as channel:
                return await self._send_over(channel, order)
        except TimeoutError:
            return _UNSENT

    async def _send_over(
        self, channel: channels_lib.Channel, order: leasing.Start
    ) -> runner_body.Answer:
        state = self._state
        for _ in range(MAX_SENDS):
            if not channel.reaches(state.lives.born_ms):
                async with asyncio.timeout(runner_client.ORDER_TIMEOUT_S):
                    await self._probes.identify_life(channel, is_hedge=True)
            if order.epoch != state.lease.epoch:
                return runner_body.Answer(runner_client.NOT_SENT, _HELD)
            if not channel.reaches(state.lives.born_ms):
                return _UNSENT
            deadline = state.find_deadline()
            if deadline is None:
                return runner_body.Answer(runner_client.NOT_SENT, "no-clock")
            state.extended_at = state.now()
            client = channel.client
            answer = await client.start(
                order, deadline, state.runner_id, client.connection
            )
            if answer.status != runner_client.NOT_SENT:
                return answer
            channel.record_gone()
        return _UNSENT

    async def _resolve(self, order: leasing.Start) -> None:
        """Stops a task whose start got no answer, unless it is running."""
        eliot.log_message(
            "side:start-unanswered", task=order.task, run=order.run
        )
        await self._probes.probe(0)
        known = self._state.run_table.runs.get(order.task)
        if known is None or known.run != order.run:
            return
        if known.state is local_run.RunState.UNKNOWN:
            stop = leasing.Stop(order.epoch, order.task, order.run)
            await self._stop(stop)
            await self._probes.probe(0)

    def _handle_stop(self, order: leasing.Stop) -> None:
        state = self._state
        if state.run_table.request_stop(order.task, order.run, state.now()):
            state.stops_changed.set()
        else:
            state.spawn(self._stop(order))

    async def _stop(self, order: leasing.Stop) -> None:
        state = self._state
        try:
            async with self._channels.lend(
                runner_client.ORDER_TIMEOUT_S
            ) as channel:
                answer = await channel.client.stop(order, state.runner_id)
        except TimeoutError:
            return
        if answer.status == 200:
            state.run_table.record_stopped(order.task, order.run, state.now())
