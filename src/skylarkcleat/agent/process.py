"""The agent's main task, which handles every message in one event loop."""

from __future__ import annotations

import asyncio
import typing as t

from skylarkcleat import clock as clock_lib
from skylarkcleat import mailbox as mailbox_lib
from skylarkcleat import network as network_lib
from skylarkcleat import reporting as reporting_lib
from skylarkcleat.agent import deferred as deferred_lib
from skylarkcleat.agent import journal as journal_lib
from skylarkcleat.agent import runner as runner_lib
from skylarkcleat.agent import slots as slots_lib
from skylarkcleat.directory import freshness as freshness_lib
from skylarkcleat.directory import subscription as subscription_lib
from skylarkcleat.jobs import effects as effects_lib
from skylarkcleat.jobs import keeper as keeper_lib
from skylarkcleat.jobs import ledger as ledger_lib
from skylarkcleat.jobs import ledger_record
from skylarkcleat.jobs import reply as reply_lib
from skylarkcleat.model import failure as failure_lib
from skylarkcleat.model import keeper_shard
from skylarkcleat.model import member as member_lib
from skylarkcleat.protocol import claiming
from skylarkcleat.protocol import dispatching
from skylarkcleat.protocol import fencing
from skylarkcleat.protocol import subscribing
from skylarkcleat.wire import event as event_lib

_DRAIN_POLL_S = 0.05
_Kind = subscribing.ChangeKind


class AgentProcess:
    """Routes messages between the network, the ledger, slots and the keeper.

    The ledger records each attempt that was started, refused or answered. The
    keeper stores a replica of the claims of entries on jobs.
    """

    def __init__(
        self,
        member: member_lib.Member,
        mailbox: asyncio.Queue,
        network: network_lib.Network,
        runner: runner_lib.Runner,
        subscription: subscription_lib.Subscription,
        journal: journal_lib.AgentJournal,
        reporting: reporting_lib.Reporting,
    ) -> None:
        """Initializes the agent.

        Args:
            member: The agent's entry in the directory.
            mailbox: The queue of the agent's incoming messages.
            network: Sends to other members.
            runner: An open runner client.
            subscription: An open subscription whose changes go to `mailbox`.
            journal: Records the events of attempts.
            reporting: Sends events and incidents to control.
        """
        self._ref = claiming.MemberRef(member.name, member.incarnation)
        self._mailbox = mailbox
        self._network = network
        self._subscription = subscription
        self._ledger = ledger_lib.Ledger(self._ref)
        self._keeper = keeper_lib.Keeper(self._ref)
        self._slots = slots_lib.Slots(
            member,
            mailbox,
            runner,
            subscription,
            self._ledger,
            network,
            journal,
        )
        self._journal = journal
        self._reporting = reporting
        self._deferred = deferred_lib.DeferredDispatches()
        self._handlers: dict[type, t.Callable[[t.Any], None]] = {
            event_lib.Received: self._handle_received,
            event_lib.Lost: self._ignore_lost,
            mailbox_lib.DirectoryChanged: self._handle_directory_changed,
            mailbox_lib.Tick: self._handle_tick,
            slots_lib.RunEnded: self._slots.finish,
        }
        self._receivers: dict[type, t.Callable[..., None]] = {
            dispatching.Dispatch: self._handle_dispatch,
            dispatching.Revoke: self._handle_revoke,
            fencing.Fence: self._handle_fence,
            **dict.fromkeys(
                t.get_args(claiming.KeeperMessage), self._handle_keeper_message
            ),
            **reporting.list_handlers(),
        }

    @property
    def slots(self) -> slots_lib.Slots:
        """The queued and running attempts."""
        return self._slots

    async def run(self) -> None:
        """Handles messages until it is cancelled."""
        while True:
            for message in await mailbox_lib.receive_batch(self._mailbox):
                self._handlers[type(message)](message)
            self._slots.start_next()

    async def drain(self, grace_s: float) -> None:
        """Refuses new work and waits until no other member needs this process.

        An entry may send dispatches until it learns of the drain, at the
        latest when the lease on its directory copy expires. The agent stays up
        until then to refuse them as not run. If it exited earlier, the entry
        could not determine whether they had run.

        Args:
            grace_s: The longest wait, in seconds, for queued and running
                attempts and for keeper shards to move to other agents.
        """
        started_at = clock_lib.read_monotonic()
        end = started_at + grace_s
        drain_known_at = min(end, started_at + freshness_lib.CONFIG_LEASE_S)
        self._subscription.leave()
        self._slots.drain()
        self._reporting.events.begin_drain()
        while clock_lib.read_monotonic() < end:
            is_drain_known = clock_lib.read_monotonic() >= drain_known_at
            if is_drain_known and not self._is_needed():
                break
            await asyncio.sleep(_DRAIN_POLL_S)
        self._slots.refuse_queued()
        self._reporting.events.end_drain()
        await self._network.wait_delivered()

    def _is_needed(self) -> bool:
        if not self._slots.is_idle():
            return True
        view = self._subscription.view
        up = {
            claiming.MemberRef(each.name, each.incarnation)
            for each in view.members.values()
            if each.role is member_lib.Role.AGENT
            and each.state is member_lib.MemberState.UP
        }
        return any(
            self._is_replaceable(shard, up) for shard in view.shards.values()
        )

    def _is_replaceable(
        self,
        shard: keeper_shard.KeeperShard,
        up: t.Collection[claiming.MemberRef],
    ) -> bool:
        """Returns whether control will move a shard away from this agent.

        With fewer agents than a shard has keepers, control does not replace a
        keeper while a majority of the shard's keepers stays up.
        """
        if self._ref not in shard.keepers + shard.previous:
            return False
        if len(up) >= keeper_shard.KEEPERS_PER_SHARD or shard.previous:
            return True
        staying = sum(keeper in up for keeper in shard.keepers)
        return 0 < 2 * staying <= len(shard.keepers)

    def _handle_received(self, event: event_lib.Received) -> None:
        receiver = self._receivers.get(type(event.message))
        if receiver is not None:
            receiver(claiming.MemberRef(*event.peer), event.message)

    def _handle_keeper_message(
        self, sender: claiming.MemberRef, message: claiming.KeeperMessage
    ) -> None:
        now = clock_lib.read_monotonic()
        now_ms = clock_lib.read_wall_ms()
        self._apply(self._keeper.handle(sender, message, now, now_ms))

    def _handle_dispatch(
        self, entry: claiming.MemberRef, dispatch: dispatching.Dispatch
    ) -> None:
        now = clock_lib.read_monotonic()
        if dispatch.revision > self._subscription.view.revision:
            self._deferred.add(entry, dispatch, now)
            return
        self._admit(entry, dispatch)

    def _admit(
        self, entry: claiming.MemberRef, dispatch: dispatching.Dispatch
    ) -> None:
        result = self._ledger.admit(dispatch, entry, clock_lib.read_wall_ms())
        if isinstance(result, ledger_record.Admitted):
            self._slots.queue(entry, dispatch)
        elif isinstance(result, failure_lib.Failure):
            load = self._slots.read_load(entry)
            answer = reply_lib.create_reply(dispatch.attempt, result, load)
            self._network.send(entry, answer)
        elif result.reply is not None:
            self._network.send(entry, result.reply)

    def _handle_revoke(
        self, entry: claiming.MemberRef, revoke: dispatching.Revoke
    ) -> None:
        attempts = self._ledger.revoke(revoke, clock_lib.read_wall_ms())
        self._slots.drop(attempts)
        tasks = tuple(attempt.task for attempt in attempts)
        load = self._slots.read_load(entry)
        revoked = dispatching.Revoked(revoke.job, revoke.epoch, tasks, load)
        self._network.send(entry, revoked)

    def _handle_fence(
        self, entry: claiming.MemberRef, fence: fencing.Fence
    ) -> None:
        fenced = self._ledger.fence(fence, entry, clock_lib.read_wall_ms())
        if fenced is None:
            return
        self._journal.record_fenced(entry, fence)
        self._slots.drop(fenced.revoked)
        self._network.send(entry, fenced.report)
        for answer in fenced.answers:
            self._network.send(entry, answer)

    def _handle_directory_changed(
        self, changed: mailbox_lib.DirectoryChanged
    ) -> None:
        self._reporting.events.take_changes(changed.changes, self._network)
        for change in changed.changes:
            if change.kind is _Kind.SHARD:
                self._apply(self._keeper.configure(change.shard))
            elif change.kind in (_Kind.MEMBER, _Kind.MEMBER_GONE):
                self._handle_member_change(change)
        revision = self._subscription.view.revision
        for each in self._deferred.pop_known(revision):
            self._admit(each.entry, each.dispatch)

    def _handle_member_change(self, change: subscribing.Change) -> None:
        departed = self._network.update_member(change.name, change.member)
        if departed is not None and departed.role is member_lib.Role.ENTRY:
            ref = claiming.MemberRef(departed.name, departed.incarnation)
            self._journal.record_lost_jobs(
                departed.name, self._ledger.list_open_jobs(ref)
            )
            self._slots.drop(self._ledger.revoke_queued_by(ref))

    def _handle_tick(self, _: mailbox_lib.Tick) -> None:
        if self._subscription.is_fenced():
            raise mailbox_lib.FencedError(self._ref.name)
        now = clock_lib.read_monotonic()
        now_ms = clock_lib.read_wall_ms()
        freshness = self._subscription.subscriber.freshness
        self._keeper.extend_lease(now + freshness.measure_remaining(now))
        self._apply(self._keeper.tick(now, now_ms))
        self._ledger.expire(now_ms)
        self._reporting.report(now, self._subscription)
        for each in self._deferred.pop_overdue(now):
            self._admit(each.entry, each.dispatch)

    def _apply(self, effects: t.Iterable[effects_lib.Effect]) -> None:
        for effect in effects:
            if isinstance(effect, effects_lib.SendTo):
                self._network.send(effect.member, effect.message)
            elif isinstance(effect, effects_lib.ShardServing):
                self._subscription.report_ready(
                    effect.shard, effect.shard_epoch
                )
            elif isinstance(effect, effects_lib.ShardLost):
                self._subscription.report_lost(effect.shard, effect.shard_epoch)

    def _ignore_lost(self, _: event_lib.Lost) -> None:
        """Ignores a lost message: the member that waits for it retries."""
