"""A stand-in entry: the real dispatcher, driven by virtual messages."""

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
    """Submits jobs, sends placements and gathers answers.

    Attributes:
        name: Its name.
        alive: Whether it takes jobs and messages.
        dispatcher: The decisions.
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
        self._left: dict[str, int] = {}
        self._wakeup: float | None = None

    def submit(self, job: workload.JobSpec) -> None:
        """Receives a caller's job."""
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
        self._left[job.name] = len(job.runs_ms)
        self._events.schedule(work.deadline_at, self._expire, job.name)
        self._place()

    def receive(self, agent: str, message: t.Any) -> None:
        """Receives a message from an agent."""
        if not self.alive:
            return
        now = self._events.now
        if isinstance(message, dispatching.Answer):
            self.dispatcher.on_answer(agent, message, now)
            self._complete(message.attempt.job)
        elif isinstance(message, dispatching.Refusal):
            decision = self.dispatcher.on_refusal(agent, message, now)
            self._judge(message.attempt.job, decision)
        elif isinstance(message, dispatching.AttemptFailure):
            decision = self.dispatcher.on_breakdown(agent, message, now)
            self._judge(message.attempt.job, decision)
        else:
            self.dispatcher.on_revoked(agent, message, now)
        self._place()

    def lose_agent(self, agent: str) -> None:
        """Learns that an agent has died."""
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
            breakdown = dispatching.AttemptFailure(
                _name_attempt(placement), failure, 0.0, load
            )
            decision = self.dispatcher.on_breakdown(agent, breakdown, now)
            self._judge(placement.job, decision)
        self._place()

    def die(self) -> None:
        """Stops for good."""
        self.alive = False

    def cancel_share(self, share: float, rng: random.Random) -> None:
        """Has callers cancel a share of the jobs under way."""
        if not self.alive:
            return
        for name in sorted(self._jobs):
            if rng.random() < share:
                self.cancelled.add(name)
                self._end(name)
        self._place()

    def _complete(self, job: str) -> None:
        if job not in self._left:
            return
        self._left[job] -= 1
        if not self._left[job]:
            self.responses[job] = self._events.now - self._jobs[job].at
            self.dispatcher.remove_job(job)
            self._drop(job)

    def _expire(self, job: str) -> None:
        """Ends a job whose deadline has passed."""
        if self.alive and job in self._jobs:
            self.failed.add(job)
            self._end(job)

    def _judge(self, job: str, decision: t.Any) -> None:
        if isinstance(decision, failure_lib.Failure) and job in self._jobs:
            self.failed.add(job)
            self._end(job)

    def _end(self, job: str) -> None:
        """Cancels a job and revokes what has not started."""
        now = self._events.now
        for cancellation in self.dispatcher.cancel(job, now):
            agent = self._fleet[cancellation.agent]
            revoke = dispatching.Revoke(job, _EPOCH, cancellation.tasks)
            self._network.send("revoke", agent.revoke, revoke, self)
        self.dispatcher.remove_job(job)
        self._drop(job)

    def _drop(self, job: str) -> None:
        del self._jobs[job]
        del self._left[job]

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
            _name_attempt(placement),
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
            "dispatch", agent.take, dispatch, job.profile, run_ms, self
        )


def _name_attempt(placement: placement_lib.Placement) -> dispatching.Attempt:
    return dispatching.Attempt(
        placement.job, placement.task, _EPOCH, placement.number
    )
