"""A process's connection to the directory: polls one control replica."""

from __future__ import annotations

import asyncio
import contextlib
import types
import typing as t

import xxhash
import zmq
import zmq.asyncio

from skylarkcleat import clock as clock_lib
from skylarkcleat.directory import _tasks
from skylarkcleat.directory import freshness as freshness_lib
from skylarkcleat.directory import subscriber as subscriber_lib
from skylarkcleat.directory import view as view_lib
from skylarkcleat.model import member as member_lib
from skylarkcleat.protocol import subscribing
from skylarkcleat.protocol import tagged
from skylarkcleat.wire import dealer

POLL_INTERVAL_S = 0.5
# A copy older than URGENT_AGE_S is polled for more often, so that its lease is
# renewed in time after the election of a new leader. Once the lease has
# expired, polling returns to the usual interval.
URGENT_INTERVAL_S = 0.1
URGENT_AGE_S = 0.8
# Without a renewal for this long, the next address is tried; this leaves time
# for it before the lease of 2.5 s expires.
SWITCH_AFTER_S = 1.0
_QUEUE_MESSAGES = 64

_CopyReport = subscribing.ShardReady | subscribing.ShardLost
Listener = t.Callable[[tuple[subscribing.Change, ...]], None]


class Subscription:
    """Keeps a process's copy of the directory in force.

    Use it in an `async with` block; a failure of its task cancels the task
    that entered the block. The copy may be acted on while `is_in_force`.

    Attributes:
        subscriber: The copy.
        rejected: How many frames could not be decoded or were unexpected.
        switches: How often it reconnected to the next address.
    """

    def __init__(
        self,
        addresses: t.Sequence[str],
        member: member_lib.Member,
        listener: Listener,
    ):
        """Creates a subscription that is not connected yet.

        Args:
            addresses: Where control replicas accept subscribers.
            member: How to announce this process.
            listener: Called with the changes of the copy, in order.
        """
        self.subscriber = subscriber_lib.Subscriber(
            member.name, member.incarnation
        )
        self.rejected = 0
        self.switches = 0
        self._addresses = tuple(addresses)
        self._next = xxhash.xxh3_64_intdigest(member.name.encode())
        self._member = member
        self._listener = listener
        self._in_force = asyncio.Event()
        self._copy_reports: dict[int, _CopyReport] = {}
        self._is_leaving = False
        self._stack = contextlib.AsyncExitStack()

    @property
    def view(self) -> view_lib.View:
        """The copy: profiles, members and keeper shards."""
        return self.subscriber.view

    def is_in_force(self) -> bool:
        """Returns whether this process may take new work."""
        return self.subscriber.is_in_force(clock_lib.read_monotonic())

    def is_taking_part(self) -> bool:
        """Returns whether the copy is in force and lists this incarnation.

        Only then do the other members know that this process is up.
        """
        return self.is_in_force() and self.subscriber.is_listed()

    def is_fenced(self) -> bool:
        """Returns whether this incarnation has to end; see `Subscriber`."""
        return self.subscriber.is_fenced()

    async def wait_in_force(self) -> None:
        """Waits until the copy is in force and lists this incarnation."""
        await self._in_force.wait()

    def leave(self) -> None:
        """Reports to control, until confirmed, that this process is leaving."""
        self._is_leaving = True

    def report_ready(self, number: int, epoch: int) -> None:
        """Reports to control, until confirmed, that a shard is copied."""
        self._copy_reports[number] = subscribing.ShardReady(number, epoch)

    def report_lost(self, number: int, epoch: int) -> None:
        """Reports to control, until confirmed, that claims are lost."""
        self._copy_reports[number] = subscribing.ShardLost(number, epoch)

    async def __aenter__(self) -> Subscription:
        self._context = zmq.asyncio.Context()
        self._stack.callback(self._context.destroy, linger=0)
        self._socket = self._connect()
        tasks = await self._stack.enter_async_context(_tasks.TaskSet())
        tasks.start(self._run())
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        await self._stack.__aexit__(kind, error, trace)

    async def _run(self) -> None:
        renewed_at = clock_lib.read_monotonic()
        while True:
            now = clock_lib.read_monotonic()
            await self._send(self.subscriber.make_poll(now))
            for message in self._list_unconfirmed():
                await self._send(message)
            as_of = self.subscriber.freshness.as_of
            await self._receive_until(now + self._choose_interval(now))
            if self.subscriber.freshness.as_of != as_of:
                renewed_at = clock_lib.read_monotonic()
            elif clock_lib.read_monotonic() - renewed_at > SWITCH_AFTER_S:
                self._switch()
                renewed_at = clock_lib.read_monotonic()

    def _choose_interval(self, now: float) -> float:
        age_s = self.subscriber.freshness.measure_age(now)
        if (
            age_s is None
            or not URGENT_AGE_S < age_s < freshness_lib.CONFIG_LEASE_S
        ):
            return POLL_INTERVAL_S
        return URGENT_INTERVAL_S

    def _list_unconfirmed(self) -> t.Iterator[subscribing.Message]:
        """Yields the messages whose effect the copy does not show yet."""
        if self.view.revision == 0:
            return
        listed = self.view.members.get(self._member.name)
        is_listed = bool(
            listed and listed.incarnation >= self._member.incarnation
        )
        if not is_listed and not self.is_fenced():
            yield subscribing.Announce(self._member)
        if self._is_leaving and listed == self._member:
            yield subscribing.Leave(self._member.name, self._member.incarnation)
        self._drop_confirmed()
        yield from self._copy_reports.values()

    def _drop_confirmed(self) -> None:
        for report in list(self._copy_reports.values()):
            shard = self.view.shards[report.number]
            is_ready = isinstance(report, subscribing.ShardReady)
            if shard.epoch > report.epoch or (is_ready and not shard.previous):
                del self._copy_reports[report.number]

    async def _receive_until(self, deadline: float) -> None:
        while not self.subscriber.wants_more:
            left = deadline - clock_lib.read_monotonic()
            if left <= 0 or not await self._socket.poll(left * 1000):
                return
            self._handle(await self._socket.recv())

    def _handle(self, frame: bytes) -> None:
        try:
            message = subscribing.decode(frame)
        except tagged.MalformedMessageError:
            self.rejected += 1
            return
        if not isinstance(
            message, subscribing.Delta | subscribing.SnapshotChunk
        ):
            self.rejected += 1
            return
        changes = self.subscriber.receive(message)
        if changes:
            self._listener(changes)
        if self.is_taking_part():
            self._in_force.set()

    async def _send(self, message: subscribing.Message) -> None:
        # A full queue means a dead connection; the message is dropped, and
        # the connection is replaced after SWITCH_AFTER_S.
        with contextlib.suppress(zmq.Again):
            await self._socket.send(subscribing.encode(message), zmq.NOBLOCK)

    def _switch(self) -> None:
        self._socket.close()
        self._socket = self._connect()
        self.switches += 1

    def _connect(self) -> zmq.asyncio.Socket:
        address = self._addresses[self._next % len(self._addresses)]
        self._next += 1
        socket = dealer.open_dealer(self._context)
        socket.set(zmq.LINGER, 0)
        socket.set(zmq.SNDHWM, _QUEUE_MESSAGES)
        socket.set(zmq.RCVHWM, _QUEUE_MESSAGES)
        socket.set(zmq.MAXMSGSIZE, tagged.MAX_MESSAGE_BYTES)
        socket.connect(address)
        return socket


def create_subscription(
    addresses: t.Sequence[str],
    member: member_lib.Member,
    listener: Listener,
) -> Subscription:
    """Returns a subscription for use in an `async with` block.

    Args:
        addresses: Where control replicas accept subscribers.
        member: How to announce this process.
        listener: Called with the changes of the copy, in order.
    """
    return Subscription(addresses, member, listener)
