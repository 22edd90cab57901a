"""Runs a replica on sockets, files and the monotonic clock.

One task feeds messages, proposals and ticks to the replica, sends its
messages and applies committed entries. Another makes its writes durable, in
batches and on a thread, and sends the messages that wait for them.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import typing as t

import eliot

from skylarkcleat import clock as clock_lib
from skylarkcleat.consensus import context as context_lib
from skylarkcleat.consensus import counts as counts_lib
from skylarkcleat.consensus import entry as entry_lib
from skylarkcleat.consensus import event as event_lib
from skylarkcleat.consensus import folder
from skylarkcleat.consensus import links as links_lib
from skylarkcleat.consensus import log as log_lib
from skylarkcleat.consensus import message as message_lib
from skylarkcleat.consensus import pending_calls as pending_calls_lib
from skylarkcleat.consensus import proposal as proposal_lib
from skylarkcleat.consensus import replica as replica_lib
from skylarkcleat.consensus import settings as settings_lib
from skylarkcleat.consensus import state_machine as state_machine_lib
from skylarkcleat.consensus import status as status_lib
from skylarkcleat.consensus import status_log as status_log_lib
from skylarkcleat.consensus import transfer as transfer_lib
from skylarkcleat.consensus import writer as writer_lib

_Answer = log_lib.Applied | log_lib.NotLeader | log_lib.Uncertain

# The interval at which the replica checks its timeouts.
_TICK_S = 0.02
# Messages from other replicas are dropped while this many events are queued.
_INBOX_MESSAGES = 10_000


class LogDriver(log_lib.ReplicatedLog):
    """A replicated log that runs while its async context is entered.

    A failed write stops the replica, since its disk can no longer be relied
    on. `wait` then raises the error, and pending proposals end as
    `Uncertain`.
    """

    def __init__(
        self,
        settings: settings_lib.Settings,
        state_machine: state_machine_lib.StateMachine,
        generator: random.Random,
    ) -> None:
        self._settings = settings
        self._state_machine = state_machine
        self._random = generator
        self._inbox: asyncio.Queue[event_lib.Event] = asyncio.Queue()
        self._pending_calls = pending_calls_lib.PendingCalls()
        self._tasks: list[asyncio.Task[None]] = []
        self._transfer = transfer_lib.LeadershipTransfer(
            settings.name, lambda: self.leader, self._ask_successor
        )

    async def __aenter__(self) -> LogDriver:
        self._failed = asyncio.get_running_loop().create_future()
        async with contextlib.AsyncExitStack() as stack:
            await self._open(stack)
            self._stack = stack.pop_all()
        self._tasks = [
            *self._links.tasks,
            asyncio.create_task(self._run()),
            asyncio.create_task(self._tick()),
            asyncio.create_task(self._writer.run()),
        ]
        for task in self._tasks:
            task.add_done_callback(self._handle_task_end)
        return self

    async def __aexit__(self, *exception: object) -> None:
        if not self._failed.done():
            await self._transfer.run()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._pending_calls.close()
        await self._stack.aclose()

    @property
    def leader(self) -> str:
        """The name of the replica that leads; empty if none is known."""
        return "" if self._failed.done() else self._replica.leader

    @property
    def is_repaired(self) -> bool:
        """Whether this replica votes and no voter's lost disk is unreplaced."""
        return not self._failed.done() and self.status.is_repaired

    @property
    def status(self) -> status_lib.Status:
        """The state of this replica and its view of the cluster."""
        return status_lib.create_status(self._replica.context)

    @property
    def counts(self) -> counts_lib.Counts:
        """Counts of messages and writes since this replica started."""
        return counts_lib.create_counts(self._links, self._storage)

    @property
    def is_empty(self) -> bool:
        """Whether this replica has never been in a cluster."""
        return self._replica.context.snapshot is None

    @property
    def may_found(self) -> bool:
        """Whether this replica may still take part in founding a cluster.

        It is in none, or in one whose majority never relied on it, and its
        disk has not taken the place of a damaged one.
        """
        may_leave = self._replica.context.may_leave_cluster
        return self._storage.may_bootstrap and (self.is_empty or may_leave)

    @property
    def member_names(self) -> tuple[str, ...]:
        """The names of all replicas in the membership that is stored here."""
        members = self._replica.context.membership.replicas
        return tuple(member.name for member in members)

    @property
    def is_leading(self) -> bool:
        """Whether this replica leads, and no other replica can lead yet."""
        now = clock_lib.read_monotonic()
        return not self._failed.done() and self._replica.is_leading(now)

    def add_peer(self, name: str, address: str) -> None:
        """Adds a replica that was discovered while this one runs.

        Args:
            name: The name of the replica.
            address: The `tcp://ip:port` on which it receives.
        """
        self._links.add_peer(name, address)
        self._replica.add_peer(name)

    def allow_bootstrap(self, initial_names: t.Iterable[str]) -> None:
        """Allows this empty replica to bootstrap a cluster with empty peers.

        Args:
            initial_names: The names of the replicas of the new cluster.
        """
        self._replica.allow_bootstrap(initial_names)

    async def propose(self, command: bytes) -> _Answer:
        """Proposes a command and waits until it is committed and applied."""
        future = asyncio.get_running_loop().create_future()
        self._inbox.put_nowait(event_lib.Command(command, future))
        return await self._wait_applied(future)

    async def admit(self, name: str) -> _Answer:
        """Makes a learner that has caught up a voter; only the leader can."""
        return await self._change(lambda now: self._replica.admit(name, now))

    async def expel(self, name: str) -> _Answer:
        """Removes a replica from the cluster; only the leader can."""
        return await self._change(lambda now: self._replica.expel(name, now))

    async def confirm(self) -> log_lib.Freshness | log_lib.NotLeader:
        """Waits until this replica has confirmed how recent its state is."""
        future = asyncio.get_running_loop().create_future()
        self._inbox.put_nowait(event_lib.Read(future))
        timeout = self._settings.confirm_timeout_s
        try:
            return await asyncio.wait_for(future, timeout)
        except TimeoutError:
            return log_lib.NotLeader(
                self.leader, f"no majority answered within {timeout} s"
            )

    async def leave(self) -> None:
        """Gives up this replica's vote and leadership, before it stops."""
        if self._failed.done():
            return
        begun = clock_lib.read_monotonic()
        await self._transfer.run()
        waited_s = clock_lib.read_monotonic() - begun
        eliot.log_message(
            "consensus:left",
            leader=self.leader,
            waited_ms=round(waited_s * 1000),
        )

    async def wait(self) -> None:
        """Waits until the replica fails, and raises the error."""
        await asyncio.shield(self._failed)

    async def _change(
        self, start: t.Callable[[float], proposal_lib.ProposalResult]
    ) -> _Answer:
        future = asyncio.get_running_loop().create_future()
        self._inbox.put_nowait(event_lib.Change(start, future))
        return await self._wait_applied(future)

    async def _wait_applied(self, future: asyncio.Future[_Answer]) -> _Answer:
        timeout = self._settings.propose_timeout_s
        try:
            return await asyncio.wait_for(future, timeout)
        except TimeoutError:
            return log_lib.Uncertain(
                f"the commit was not confirmed within {timeout} s"
            )

    async def _open(self, stack: contextlib.AsyncExitStack) -> None:
        settings = self._settings
        now = clock_lib.read_monotonic()
        self._storage = stack.enter_context(folder.open_folder(settings))
        self._writer = stack.enter_context(
            writer_lib.Writer(self._storage, self._deliver)
        )
        self._replica = replica_lib.Replica(
            self._storage.stored,
            {settings.name, *settings.peers},
            settings.founding and self._storage.may_bootstrap,
            settings.limits,
            self._random,
            now,
        )
        self._links = links_lib.Links(
            settings.name, settings.bind, settings.peers, self._receive
        )
        self._status_log = status_log_lib.StatusLog(
            settings.name, self._replica, lambda: self._links.names, now
        )
        if settings.peers or settings.is_open:
            await stack.enter_async_context(self._links)

    async def _ask_successor(self) -> bool:
        """Asks another voter to lead; returns whether there is one."""
        future = asyncio.get_running_loop().create_future()
        self._inbox.put_nowait(event_lib.Resign(future))
        return await future

    def _handle_task_end(self, task: asyncio.Task[None]) -> None:
        if task.cancelled() or self._failed.done():
            return
        error = task.exception()
        eliot.log_message("consensus:failed", reason=repr(error))
        self._failed.set_exception(error)
        for other in self._tasks:
            other.cancel()
        self._pending_calls.close()

    def _receive(self, envelope: message_lib.Envelope) -> None:
        if self._inbox.qsize() < _INBOX_MESSAGES:
            self._inbox.put_nowait(envelope)

    async def _tick(self) -> None:
        while True:
            self._inbox.put_nowait(event_lib.Tick())
            await asyncio.sleep(_TICK_S)

    async def _run(self) -> None:
        self._process_ready()
        while True:
            self._handle(await self._inbox.get())
            while not self._inbox.empty():
                self._handle(self._inbox.get_nowait())
            self._process_ready()

    def _deliver(self, envelope: message_lib.Envelope) -> None:
        if envelope.receiver == self._replica.context.identity:
            self._inbox.put_nowait(envelope)
        else:
            self._links.send(envelope)

    def _handle(self, event: event_lib.Event) -> None:
        now = clock_lib.read_monotonic()
        if isinstance(event, message_lib.Envelope):
            self._replica.receive(event, now)
        elif isinstance(event, event_lib.Tick):
            self._replica.tick(now)
            self._status_log.record_cluster(now)
        elif isinstance(event, event_lib.Command):
            result = self._replica.propose(event.command, now)
            self._pending_calls.add_proposal(result, self.leader, event.future)
        elif isinstance(event, event_lib.Change):
            result = event.start(now)
            self._pending_calls.add_proposal(result, self.leader, event.future)
        elif isinstance(event, event_lib.Read):
            self._pending_calls.add_read(
                self._replica.confirm(now), event.future
            )
        else:
            may_be_led = self._replica.leave(now)
            if not event.future.done():
                event.future.set_result(may_be_led)

    def _process_ready(self) -> None:
        ready = self._replica.take_ready()
        self._status_log.record_leader()
        for envelope in ready.immediate:
            self._links.send(envelope)
        if ready.writes or ready.after_sync:
            self._writer.add(event_lib.Batch(ready.writes, ready.after_sync))
        self._apply(ready)
        if self._replica.is_snapshot_due:
            index = self._replica.context.applied
            self._replica.compact(index, self._state_machine.capture())

    def _apply(self, ready: context_lib.Ready) -> None:
        if ready.restored is not None and ready.restored.index > 0:
            self._state_machine.restore(ready.restored.data)
            self._pending_calls.resolve_skipped(ready.restored.index)
        for entry in ready.committed:
            result = b""
            if entry.kind is entry_lib.EntryKind.COMMAND:
                result = self._state_machine.apply(entry.index, entry.data)
            self._pending_calls.resolve(entry, result, self.leader)
        for read in ready.reads:
            self._pending_calls.resolve_read(read)


def create_replicated_log(
    settings: settings_lib.Settings,
    state_machine: state_machine_lib.StateMachine,
    generator: random.Random,
) -> LogDriver:
    """Creates a replicated log, to be entered with `async with`.

    Args:
        settings: The replica's settings. Without peers it runs alone.
        state_machine: The state machine that applies committed commands.
        generator: The source of election timeouts.

    Returns:
        The log. Entering it opens the data folder. If the folder is damaged,
        its files are moved away and the replica starts empty and gets the log
        from its peers; without peers, entering raises `DamagedError`.
    """
    return LogDriver(settings, state_machine, generator)
