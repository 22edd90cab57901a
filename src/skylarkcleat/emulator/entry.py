"""A simulated entry: the real dispatcher with simulated messages."""

from __future__ import annotations

import random
import typing as t

from skylarkcleat.dispatch import dispatcher as dispatcher_lib
from skylarkcleat.dispatch import placement as placement_lib
from skylarkcleat.dispatch import work as work_lib
from skylarkcleat.emulator import agent as agent_lib
from skylarkcleat.emulator import event_queue
from skylarkcleat.emulator import network as network_lib
from skylarkcleat.emulator import workload
from skylarkcleat.model import cause as cause_lib
from skylarkcleat.model import failure as failure_lib
from skylarkcleat.protocol import dispatching

_EPOCH = 1


class Entry:
    """Submits jobs, sends placements and collects answers.

    Attributes:
        name: The entry's name.
        alive: Whether it accepts jobs and messages.
        dispatcher: The dispatcher.
        responses: The response time of each answered job, in seconds.
        refused: The jobs refused before any start.
        failed: The jobs that failed.
        cancelled: The jobs that callers cancelled.
    """

    def __init__(
        self,
        name: str,
        dispatcher: dispatcher_lib.Dispatcher,
        fleet: t.Mapping[str, agent_lib.Agent],
        events: event_queue.EventQueue,
        network: network_lib.Network,
    ):
        self.name = name
        self.alive = True
        self.dispatcher = dispatcher
        self.responses: dict[str, float] = {}
        self.refused: set[str] = set()
        self.failed: set[str] = set()
        self.cancelled: set[str] = set()
        self._fleet = fleet
        self._events = events
        self._network = network
        self._jobs: dict[str, workload.JobSpec] = {}
        self._tasks_left: dict[str, int] = {}
        self._wakeup: float | None = None

    def submit(self, job: workload.JobSpec) -> None:
        """Handles a job from a caller."""
        now = self._events.now
        work = work_lib.Work(
            job.name,
            job.profile,
            len(job.runs_ms),
            job.sizes_ms,
            now + job.profile.deadline_ms / 1000,
        )
        if self.dispatcher.submit(work, now) is not None:
            self.refused.add(job.name)
            return
        self._jobs[job.name] = job
        self._tasks_left[job.name] = len(job.runs_ms)
        self._events.schedule(work.deadline_at, self._expire, job.name)
        self._place()

    def receive(self, agent: str, message: t.Any) -> None:
        """Handles a message from an agent."""
        if not self.alive:
            return
        now = self._events.now
        if isinstance(message, dispatching.Answer):
            self.dispatcher.on_answer(agent, message, now)
            self._complete(message.attempt.job)
        elif isinstance(message, dispatching.Refusal):
            decision = self.dispatcher.on_refusal(agent, message, now)
            self._handle_decision(message.attempt.job, decision)
        elif isinstance(message, dispatching.AttemptFailure):
            decision = self.dispatcher.on_attempt_failure(agent, message, now)
            self._handle_decision(message.attempt.job, decision)
        else:
            self.dispatcher.on_revoked(agent, message, now)
        self._place()

    def handle_agent_loss(self, agent: str) -> None:
        """Handles the loss of an agent: ends or retries its attempts."""
        if not self.alive:
            return
        now = self._events.now
        failure = failure_lib.Failure(
            failure_lib.Outcome.UNKNOWN,
            cause_lib.Cause.AGENT_LOST,
            "run",
            agent,
            "the agent died with the task",
        )
        load = dispatching.Load(0, 0, 0)
        for placement in self.dispatcher.remove_agent(agent, now):
            report = dispatching.AttemptFailure(
                _create_attempt(placement), failure, 0.0, load
            )
            decision = self.dispatcher.on_attempt_failure(agent, report, now)
            self._handle_decision(placement.job, decision)
        self._place()

    def stop(self) -> None:
        """Stops the entry permanently."""
        self.alive = False

    def cancel_fraction(self, fraction: float, rng: random.Random) -> None:
        """Cancels a random fraction of the active jobs, as callers would."""
        if not self.alive:
            return
        for name in sorted(self._jobs):
            if rng.random() < fraction:
                self.cancelled.add(name)
                self._end(name)
        self._place()

    def _complete(self, job: str) -> None:
        if job not in self._tasks_left:
            return
        self._tasks_left[job] -= 1
        if not self._tasks_left[job]:
            self.responses[job] = self._events.now - self._jobs[job].at
            self.dispatcher.remove_job(job)
            self._drop(job)

    def _expire(self, job: str) -> None:
        """Fails an active job whose deadline has passed."""
        if self.alive and job in self._jobs:
            self.failed.add(job)
            self._end(job)

    def _handle_decision(self, job: str, decision: t.Any) -> None:
        if isinstance(decision, failure_lib.Failure) and job in self._jobs:
            self.failed.add(job)
            self._end(job)

    def _end(self, job: str) -> None:
        """Cancels a job and revokes its attempts that have not started."""
        now = self._events.now
        for cancellation in self.dispatcher.cancel(job, now):
            agent = self._fleet[cancellation.agent]
            revoke = dispatching.Revoke(job, _EPOCH, cancellation.tasks)
            self._network.send("revoke", agent.handle_revoke, revoke, self)
        self.dispatcher.remove_job(job)
        self._drop(job)

    def _drop(self, job: str) -> None:
        del self._jobs[job]
        del self._tasks_left[job]

    def _place(self) -> None:
        now = self._events.now
        for placement in self.dispatcher.place(now):
            self._send(placement, now)
        wakeup = self.dispatcher.next_wakeup(now)
        if wakeup is not None and self._wakeup is None:
            self._wakeup = wakeup
            self._events.schedule(wakeup, self._wake)

    def _wake(self) -> None:
        self._wakeup = None
        if self.alive:
            self._place()

    def _send(self, placement: placement_lib.Placement, now: float) -> None:
        job = self._jobs[placement.job]
        deadline_at = job.at + job.profile.deadline_ms / 1000
        dispatch = dispatching.Dispatch(
            _create_attempt(placement),
            placement.incarnation,
            job.profile.name,
            job.profile.version,
            round(1000 * (deadline_at - now)),
            placement.size_ms,
            b"",
            precedence_ms=placement.precedence_ms,
        )
        agent = self._fleet[placement.agent]
        run_ms = job.runs_ms[placement.task]
        self._network.send(
            "dispatch",
            agent.handle_dispatch,
            dispatch,
            job.profile,
            run_ms,
            self,
        )


def _create_attempt(placement: placement_lib.Placement) -> dispatching.Attempt:
    return dispatching.Attempt(
        placement.job, placement.task, _EPOCH, placement.number
    )
