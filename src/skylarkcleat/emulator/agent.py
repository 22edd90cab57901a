"""A simulated agent: the real scheduler with a simulated runner."""

from __future__ import annotations

import typing as t

from skylarkcleat.dispatch import scheduler as scheduler_lib
from skylarkcleat.dispatch import task_queue
from skylarkcleat.emulator import event_queue
from skylarkcleat.emulator import network as network_lib
from skylarkcleat.emulator import runner as runner_lib
from skylarkcleat.model import cause as cause_lib
from skylarkcleat.model import failure as failure_lib
from skylarkcleat.model import member as member_lib
from skylarkcleat.model import profile as profile_lib
from skylarkcleat.protocol import dispatching

# How long a run takes on a runner that fails every task.
_FAIL_FAST_S = 0.001


class Listener(t.Protocol):
    """The entry that an agent sends its messages to."""

    name: str

    def receive(self, agent: str, message: t.Any) -> None:
        """Handles a message from an agent."""


class _PendingAttempt(t.NamedTuple):
    """The sender, run time and arrival of a queued or running attempt."""

    listener: Listener
    run_ms: float
    arrived_at: float


class Agent:
    """Queues, runs and answers attempts under virtual time.

    Attributes:
        member: The agent's announcement.
        most_running: The most tasks that ran at the same time.
    """

    def __init__(
        self,
        member: member_lib.Member,
        runner: runner_lib.Runner,
        faults: runner_lib.Faults,
        events: event_queue.EventQueue,
        network: network_lib.Network,
        queue: task_queue.TaskQueue,
    ):
        self.member = member
        self.most_running = 0
        self._runner = runner
        self._faults = faults
        self._events = events
        self._network = network
        self._pending: dict[dispatching.Attempt, _PendingAttempt] = {}
        self._scheduler = scheduler_lib.create_scheduler(
            member.slots, member.connections, member.name, queue
        )

    def is_alive(self) -> bool:
        """Returns whether the agent and its runner are alive."""
        return not self._runner.has_crashed(self._faults, self._events.now)

    def count_held(self) -> int:
        """Returns how many attempts are queued or running."""
        load = self._scheduler.load()
        return load.running + load.queued

    def handle_dispatch(
        self,
        dispatch: dispatching.Dispatch,
        profile: profile_lib.Profile,
        run_ms: float,
        listener: Listener,
    ) -> None:
        """Handles a dispatch message.

        Args:
            dispatch: The message.
            profile: The profile that it names.
            run_ms: The task's true run time on a runner of speed 1.
            listener: The entry that sent it.
        """
        if not self.is_alive():
            return
        now = self._events.now
        failure = self._scheduler.offer(dispatch, profile, listener.name, now)
        if failure is not None:
            self._refuse(dispatch.attempt, failure, listener)
            return
        pending = _PendingAttempt(listener, run_ms, now)
        self._pending[dispatch.attempt] = pending
        self._start()
        wakeup = self._scheduler.next_wakeup()
        if wakeup is not None:
            self._events.schedule(wakeup, self._start)

    def handle_revoke(
        self, revoke: dispatching.Revoke, listener: Listener
    ) -> None:
        """Handles a revoke message."""
        if not self.is_alive():
            return
        tasks = self._scheduler.revoke(revoke.job, revoke.epoch, revoke.tasks)
        load = self._scheduler.load(listener.name)
        message = dispatching.Revoked(revoke.job, revoke.epoch, tasks, load)
        self._network.send(
            "revoked", listener.receive, self.member.name, message
        )

    def _start(self) -> None:
        if not self.is_alive():
            return
        now = self._events.now
        for dispatch in self._scheduler.start_next(now):
            self._run(dispatch)
        for dispatch in self._scheduler.pop_expired(now):
            pending = self._pending.pop(dispatch.attempt)
            failure = failure_lib.Failure(
                failure_lib.Outcome.NOT_RUN,
                cause_lib.Cause.DEADLINE_PASSED,
                "queue",
                self.member.name,
                "the deadline passed in the agent's queue",
            )
            self._refuse(dispatch.attempt, failure, pending.listener)
        running = self._scheduler.load().running
        self.most_running = max(self.most_running, running)

    def _run(self, dispatch: dispatching.Dispatch) -> None:
        now = self._events.now
        if self._runner.fails(self._faults, now):
            end = now + _FAIL_FAST_S
            self._events.schedule(end, self._fail, dispatch, now)
            return
        speed = self._runner.find_speed(self._faults, now)
        run_s = self._pending[dispatch.attempt].run_ms / 1000 / speed
        self._events.schedule(now + run_s, self._answer, dispatch, now)

    def _answer(
        self, dispatch: dispatching.Dispatch, started_at: float
    ) -> None:
        if not self.is_alive():
            return
        pending, run_ms = self._finish(dispatch, started_at)
        wait_ms = 1000 * (started_at - pending.arrived_at)
        self._start()
        load = self._scheduler.load(pending.listener.name)
        message = dispatching.Answer(
            dispatch.attempt, b"", run_ms, wait_ms, load
        )
        self._network.send(
            "answer", pending.listener.receive, self.member.name, message
        )

    def _fail(self, dispatch: dispatching.Dispatch, started_at: float) -> None:
        if not self.is_alive():
            return
        pending, run_ms = self._finish(dispatch, started_at)
        self._start()
        failure = failure_lib.Failure(
            failure_lib.Outcome.FAILED,
            cause_lib.Cause.RUNNER_ERROR,
            "run",
            self.member.name,
            "the runner answered 500",
        )
        load = self._scheduler.load(pending.listener.name)
        message = dispatching.AttemptFailure(
            dispatch.attempt, failure, run_ms, load
        )
        self._network.send(
            "breakdown", pending.listener.receive, self.member.name, message
        )

    def _finish(
        self, dispatch: dispatching.Dispatch, started_at: float
    ) -> tuple[_PendingAttempt, float]:
        now = self._events.now
        run_ms = 1000 * (now - started_at)
        self._scheduler.finish(dispatch.attempt, run_ms, now)
        return self._pending.pop(dispatch.attempt), run_ms

    def _refuse(
        self,
        attempt: dispatching.Attempt,
        failure: failure_lib.Failure,
        listener: Listener,
    ) -> None:
        load = self._scheduler.load(listener.name)
        message = dispatching.Refusal(attempt, failure, load)
        self._network.send(
            "refusal", listener.receive, self.member.name, message
        )
