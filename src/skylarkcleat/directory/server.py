"""The control server: a replica's sockets, polls, pushes and duties."""

from __future__ import annotations

import asyncio
import contextlib
import time
import types

import zmq
import zmq.asyncio

from skylarkcleat import clock as clock_lib
from skylarkcleat.consensus import log as log_lib
from skylarkcleat.directory import _tasks
from skylarkcleat.directory import command as command_lib
from skylarkcleat.directory import directory as directory_lib
from skylarkcleat.directory import duties as duties_lib
from skylarkcleat.directory import liveness as liveness_lib
from skylarkcleat.directory import options as options_lib
from skylarkcleat.directory import publisher as publisher_lib
from skylarkcleat.directory import report_buffer as report_buffer_lib
from skylarkcleat.directory import reporter as reporter_lib
from skylarkcleat.protocol import subscribing
from skylarkcleat.protocol import tagged

CONFIRM_INTERVAL_S = 0.2
DUTY_INTERVAL_S = 0.25
REPORT_INTERVAL_S = 1.0
# Delays urgent reports, so that messages that arrive together, such as those
# of the members of a restarted zone, are handled as one batch.
_URGENT_GAP_S = 0.02
_PUSH_GAP_S = 0.01
_EXPIRY_INTERVAL_S = 1.0
_SEND_QUEUE_MESSAGES = 256
_MESSAGES_PER_TURN = 64
_HEARTBEAT_MS = 1_000
_HEARTBEAT_TIMEOUT_MS = 3_000


class ControlServer:
    """Serves subscribers, and proposes changes while its replica leads.

    A replica that follows reports to the leader what it received.

    Use it in an `async with` block; a failure of one of its tasks cancels
    the task that entered the block.

    Attributes:
        rejected: How many frames could not be decoded.
    """

    def __init__(
        self,
        options: options_lib.ControlOptions,
        log: log_lib.ReplicatedLog,
        directory: directory_lib.Directory,
    ):
        """Creates a server that does not listen yet.

        Args:
            options: The options from the settings.
            log: The replicated log whose commands the directory applies.
            directory: This replica's state.
        """
        self.rejected = 0
        self._options = options
        self._log = log
        self._directory = directory
        self._publisher = publisher_lib.Publisher(directory)
        self._report_buffer = report_buffer_lib.ReportBuffer()
        self._duties = duties_lib.Duties(
            directory, liveness_lib.MemberLiveness()
        )
        self._as_of: float | None = None
        self._changed = asyncio.Event()
        self._urgent = asyncio.Event()
        self._stack = contextlib.AsyncExitStack()
        directory.add_listener(self._changed.set)

    @property
    def address(self) -> str:
        """Where subscribers connect to, with the port that was bound."""
        return self._socket.get(zmq.LAST_ENDPOINT).decode()

    @property
    def subscriber_count(self) -> int:
        """How many subscribers polled recently."""
        return self._publisher.subscriber_count

    @property
    def is_leader(self) -> bool:
        """Whether this replica leads, according to its own log."""
        return self._log.leader == self._options.name

    def measure_age(self) -> float | None:
        """Returns how old this replica's state may be, in seconds.

        None until a majority has confirmed it once.
        """
        if self._as_of is None:
            return None
        return max(0.0, clock_lib.read_monotonic() - self._as_of)

    async def __aenter__(self) -> ControlServer:
        context = zmq.asyncio.Context()
        self._stack.callback(context.destroy, linger=0)
        self._socket = _bind(context, self._options.address)
        self._sync_socket = zmq.Socket.shadow(self._socket)
        self._reporter = self._stack.enter_context(
            reporter_lib.Reporter(context, self._options.peers)
        )
        tasks = await self._stack.enter_async_context(_tasks.TaskSet())
        tasks.start(self._receive())
        tasks.start(self._confirm())
        tasks.start(self._push())
        tasks.start(self._run_duties())
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        await self._stack.__aexit__(kind, error, trace)

    async def _receive(self) -> None:
        while True:
            peer, *frames = await self._socket.recv_multipart()
            self._handle(peer, frames)
            self._receive_pending()
            await asyncio.sleep(0)

    def _receive_pending(self) -> None:
        """Handles messages that have arrived, without a future for each.

        This consumes the socket's readiness event; nothing is missed, as the
        receiving task checks for further messages before it waits.
        """
        for _ in range(_MESSAGES_PER_TURN):
            try:
                peer, *frames = self._sync_socket.recv_multipart(zmq.NOBLOCK)
            except zmq.Again:
                return
            self._handle(peer, frames)

    def _handle(self, peer: bytes, frames: list[bytes]) -> None:
        try:
            message = subscribing.decode(b"".join(frames))
        except tagged.MalformedMessageError:
            self.rejected += 1
            return
        self._report_buffer.add(message)
        if isinstance(message, subscribing.Poll):
            self._answer_poll(peer, message)
        elif self._report_buffer.is_urgent:
            self._urgent.set()

    def _answer_poll(self, peer: bytes, poll: subscribing.Poll) -> None:
        age = self.measure_age()
        answer = self._publisher.answer(
            peer,
            poll,
            clock_lib.read_monotonic(),
            None if age is None else age * 1000,
        )
        # If the queue is full, the answer is dropped; the next poll gets one.
        with contextlib.suppress(zmq.Again):
            self._sync_socket.send_multipart(
                [peer, subscribing.encode(answer)], zmq.NOBLOCK
            )

    async def _confirm(self) -> None:
        while True:
            started_at = clock_lib.read_monotonic()
            log_started_at = time.monotonic()
            fresh = await self._log.confirm()
            if isinstance(fresh, log_lib.Freshness):
                # The log's clock stops while the machine is suspended, so only
                # its difference is used.
                lag = max(0.0, log_started_at - fresh.as_of)
                self._as_of = started_at - lag
            await asyncio.sleep(CONFIRM_INTERVAL_S)

    async def _push(self) -> None:
        expire_at = 0.0
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_EXPIRY_INTERVAL_S):
                    await self._changed.wait()
            self._changed.clear()
            await self._push_changes()
            if clock_lib.read_monotonic() > expire_at:
                self._publisher.drop_unresponsive(clock_lib.read_monotonic())
                expire_at = clock_lib.read_monotonic() + _EXPIRY_INTERVAL_S
            await asyncio.sleep(_PUSH_GAP_S)

    async def _push_changes(self) -> None:
        for push in self._publisher.push():
            frame = subscribing.encode(push.delta)
            *others, last = push.peers
            for peer in others:
                with contextlib.suppress(zmq.Again):
                    self._sync_socket.send_multipart([peer, frame], zmq.NOBLOCK)
            # Yields, so that the receiving task handles what arrived.
            await self._socket.send_multipart([last, frame])

    async def _run_duties(self) -> None:
        led = False
        report_at = 0.0
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(DUTY_INTERVAL_S):
                    await self._urgent.wait()
            await asyncio.sleep(_URGENT_GAP_S)
            self._urgent.clear()
            now = clock_lib.read_monotonic()
            if self.is_leader:
                if not led:
                    self._duties.start_leading(now)
                await self._propose_planned(now)
            elif self._report_buffer.is_urgent or now >= report_at:
                await self._report()
                report_at = now + REPORT_INTERVAL_S
            led = self.is_leader

    async def _propose_planned(self, now: float) -> None:
        commands = self._duties.plan(
            self._report_buffer.pop_report(), now, clock_lib.read_wall_ms()
        )
        for command in commands:
            await self._log.propose(command_lib.encode(command))

    async def _report(self) -> None:
        if self._log.leader:
            await self._reporter.send(
                self._log.leader, self._report_buffer.pop_report()
            )


def create_control_server(
    options: options_lib.ControlOptions,
    log: log_lib.ReplicatedLog,
    directory: directory_lib.Directory,
) -> ControlServer:
    """Returns a control server for use in an `async with` block.

    Args:
        options: The options from the settings.
        log: The replicated log whose commands the directory applies.
        directory: This replica's state.
    """
    return ControlServer(options, log, directory)


def _bind(context: zmq.asyncio.Context, address: str) -> zmq.asyncio.Socket:
    socket = context.socket(zmq.ROUTER)
    socket.set(zmq.LINGER, 0)
    socket.set(zmq.SNDHWM, _SEND_QUEUE_MESSAGES)
    socket.set(zmq.MAXMSGSIZE, tagged.MAX_MESSAGE_BYTES)
    socket.set(zmq.HEARTBEAT_IVL, _HEARTBEAT_MS)
    socket.set(zmq.HEARTBEAT_TIMEOUT, _HEARTBEAT_TIMEOUT_MS)
    socket.bind(address)
    return socket
