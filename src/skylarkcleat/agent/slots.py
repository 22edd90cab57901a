"""The agent's slots: the attempts queued for its runner or running on it."""

from __future__ import annotations

import asyncio
import typing as t

from skylarkcleat import clock as clock_lib
from skylarkcleat import network as network_lib
from skylarkcleat.agent import journal as journal_lib
from skylarkcleat.agent import runner as runner_lib
from skylarkcleat.directory import subscription as subscription_lib
from skylarkcleat.dispatch import scheduler as scheduler_lib
from skylarkcleat.jobs import ledger as ledger_lib
from skylarkcleat.model import cause as cause_lib
from skylarkcleat.model import failure as failure_lib
from skylarkcleat.model import member as member_lib
from skylarkcleat.protocol import claiming
from skylarkcleat.protocol import dispatching

_STEP = "queue"
_MS_PER_S = 1000
_Cause = cause_lib.Cause


class RunEnded(t.NamedTuple):
    """Message that a run on the runner has ended.

    Attributes:
        dispatch: The dispatch, with the budget that was left at the start.
        result: The answer or the failure.
        wait_ms: The time in the queue, in milliseconds.
    """

    dispatch: dispatching.Dispatch
    result: runner_lib.Completed | runner_lib.RunFailure
    wait_ms: float


class Slots:
    """Queues and starts admitted attempts, and reports results to entries."""

    def __init__(
        self,
        member: member_lib.Member,
        mailbox: asyncio.Queue,
        runner: runner_lib.Runner,
        subscription: subscription_lib.Subscription,
        ledger: ledger_lib.Ledger,
        network: network_lib.Network,
        journal: journal_lib.AgentJournal,
    ) -> None:
        """Initializes empty slots.

        Args:
            member: The agent's entry in the directory.
            mailbox: The queue that each `RunEnded` is put on.
            runner: An open runner client.
            subscription: The agent's copy of the directory.
            ledger: The agent's records of attempts.
            network: Sends to other members.
            journal: Records the events of attempts.
        """
        self._member = member
        self._mailbox = mailbox
        self._runner = runner
        self._subscription = subscription
        self._ledger = ledger
        self._network = network
        self._journal = journal
        self._scheduler = scheduler_lib.create_scheduler(
            member.slots, member.connections, member.name
        )
        self._queued_at: dict[dispatching.Attempt, float] = {}
        self._tasks: set[asyncio.Task] = set()

    def is_idle(self) -> bool:
        """Returns whether no attempt is queued or running."""
        return self._scheduler.is_idle()

    def read_load(self, entry: claiming.MemberRef) -> dispatching.Load:
        """Returns the agent's load as reported to an entry."""
        return self._scheduler.load(entry.name)

    def drain(self) -> None:
        """Refuses attempts that arrive from now on."""
        self._scheduler.drain()

    def queue(
        self, entry: claiming.MemberRef, dispatch: dispatching.Dispatch
    ) -> None:
        """Queues an admitted attempt, or refuses it and notifies its entry."""
        failure = self._find_refusal(dispatch)
        now = clock_lib.read_monotonic()
        if failure is None:
            profile = self._subscription.view.profiles[dispatch.profile]
            failure = self._scheduler.offer(dispatch, profile, entry.name, now)
        if failure is not None:
            self._refuse(dispatch.attempt, failure)
            return
        self._queued_at[dispatch.attempt] = now
        ahead = len(self._queued_at) - 1
        subject = self._scheduler.find_longest_queue() if ahead else ""
        self._journal.record_queued(entry, dispatch, ahead, subject)

    def start_next(self) -> None:
        """Refuses expired attempts, then starts queued ones in free slots.

        Nothing starts under a stale configuration.
        """
        now = clock_lib.read_monotonic()
        for dispatch in self._scheduler.pop_expired(now):
            self._refuse(
                dispatch.attempt,
                self._create_failure(
                    _Cause.DEADLINE_PASSED,
                    "the deadline passed before the task could start",
                ),
            )
        while self._subscription.is_in_force():
            started = self._scheduler.start_next(now)
            if not started:
                return
            for dispatch in started:
                self._start(dispatch, now)

    def drop(self, attempts: t.Iterable[dispatching.Attempt]) -> None:
        """Removes from the queue attempts that the ledger has revoked."""
        attempts = list(attempts)
        self._journal.record_revoked(attempts)
        for attempt in attempts:
            self._queued_at.pop(attempt, None)
            self._scheduler.revoke(attempt.job, attempt.epoch, (attempt.task,))

    def refuse_queued(self) -> None:
        """Refuses permanently all attempts that have not started."""
        for attempt in self._scheduler.list_queued():
            self._scheduler.revoke(attempt.job, attempt.epoch, (attempt.task,))
            self._refuse(
                attempt,
                self._create_failure(_Cause.DRAINING, "the agent is stopping"),
            )

    def finish(self, ended: RunEnded) -> None:
        """Releases the slot of a run that ended and reports to its entry."""
        attempt = ended.dispatch.attempt
        result = ended.result
        now = clock_lib.read_monotonic()
        self._scheduler.finish(attempt, result.run_ms, now)
        if isinstance(result, runner_lib.Completed):
            self._journal.record_answer(ended.dispatch, result.run_ms)
            self._report_answer(ended, result)
        elif result.failure.outcome is failure_lib.Outcome.NOT_RUN:
            self._journal.record_refusal(attempt, result.failure)
            entry = self._ledger.record_unreached(attempt, result.failure)
            self._send_refusal(entry, attempt, result.failure)
        else:
            self._journal.record_failure(
                ended.dispatch, result.failure, result.run_ms
            )
            self._report_attempt_failure(attempt, result)

    def _report_answer(
        self, ended: RunEnded, result: runner_lib.Completed
    ) -> None:
        entry = self._ledger.find_entry(ended.dispatch.attempt)
        answer = dispatching.Answer(
            ended.dispatch.attempt,
            result.body,
            result.run_ms,
            ended.wait_ms,
            self._scheduler.load(entry.name if entry else ""),
        )
        entry = self._ledger.record_answer(answer)
        if entry is not None:
            self._network.send(entry, answer)

    def _report_attempt_failure(
        self, attempt: dispatching.Attempt, result: runner_lib.RunFailure
    ) -> None:
        entry = self._ledger.find_entry(attempt)
        load = self._scheduler.load(entry.name if entry else "")
        attempt_failure = dispatching.AttemptFailure(
            attempt, result.failure, result.run_ms, load
        )
        entry = self._ledger.record_attempt_failure(attempt_failure)
        if entry is not None:
            self._network.send(entry, attempt_failure)

    def _start(self, dispatch: dispatching.Dispatch, now: float) -> None:
        attempt = dispatch.attempt
        queued_at = self._queued_at.pop(attempt, now)
        failure = self._find_refusal(dispatch)
        if failure is not None:
            self._scheduler.release(attempt)
            self._refuse(attempt, failure)
            return
        if self._ledger.start(attempt) is not None:
            self._scheduler.release(attempt)
            return
        waited_s = now - queued_at
        remaining_ms = dispatch.budget_ms - round(waited_s * _MS_PER_S)
        current = dispatch._replace(budget_ms=max(1, remaining_ms))
        self._journal.record_start(dispatch, waited_s * _MS_PER_S)
        task = asyncio.create_task(self._run(current, waited_s * _MS_PER_S))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run(
        self, dispatch: dispatching.Dispatch, wait_ms: float
    ) -> None:
        result = await self._runner.run(dispatch)
        self._mailbox.put_nowait(RunEnded(dispatch, result, wait_ms))

    def _find_refusal(
        self, dispatch: dispatching.Dispatch
    ) -> failure_lib.Failure | None:
        """Returns why an attempt may not start here now; None if it may."""
        if not self._subscription.is_in_force():
            return self._create_failure(
                _Cause.CONFIGURATION_STALE,
                "no control majority has confirmed the configuration recently",
            )
        profile = self._subscription.view.profiles.get(dispatch.profile)
        if profile is None:
            return self._create_failure(
                _Cause.UNKNOWN_PROFILE,
                f"profile {dispatch.profile!r} does not exist",
            )
        if self._member.upstream not in profile.upstreams:
            return self._create_failure(
                _Cause.NO_UPSTREAM,
                f"profile {dispatch.profile!r} does not use upstream "
                f"{self._member.upstream!r}",
            )
        return None

    def _refuse(
        self, attempt: dispatching.Attempt, failure: failure_lib.Failure
    ) -> None:
        self._queued_at.pop(attempt, None)
        self._journal.record_refusal(attempt, failure)
        entry = self._ledger.refuse(attempt, failure)
        self._send_refusal(entry, attempt, failure)

    def _send_refusal(
        self,
        entry: claiming.MemberRef | None,
        attempt: dispatching.Attempt,
        failure: failure_lib.Failure,
    ) -> None:
        if entry is not None:
            load = self.read_load(entry)
            refusal = dispatching.Refusal(attempt, failure, load)
            self._network.send(entry, refusal)

    def _create_failure(
        self, cause: cause_lib.Cause, detail: str
    ) -> failure_lib.Failure:
        return failure_lib.Failure(
            failure_lib.Outcome.NOT_RUN,
            cause,
            _STEP,
            self._member.name,
            detail,
        )
