"""The agent's scheduler: queues attempts and starts them in free slots."""

from __future__ import annotations

import typing as t

from skylarkcleat.dispatch import fair_queue
from skylarkcleat.dispatch import held_attempts
from skylarkcleat.dispatch import run_time
from skylarkcleat.dispatch import share_meter
from skylarkcleat.dispatch import task_queue
from skylarkcleat.model import cause as cause_lib
from skylarkcleat.model import failure as failure_lib
from skylarkcleat.model import profile as profile_lib
from skylarkcleat.protocol import dispatching

# The last free slots, at most this many, are kept for profiles that are not
# well over their share.
RESERVED_SLOTS = 3
_STEP = "offer"


class Scheduler:
    """Manages the slots of one runner and the queue for them.

    It never runs more attempts than there are slots or connections, however
    many entries send them.
    """

    def __init__(
        self, limit: int, queue: task_queue.TaskQueue, name: str = "agent"
    ):
        self._limit = limit
        self._reserved_slots = min(RESERVED_SLOTS, limit - 1)
        self._queue = queue
        self._name = name
        self._held = held_attempts.HeldAttempts()
        self._expired: list[dispatching.Dispatch] = []
        self._run_times = run_time.RunTimeModel()
        self._meter = share_meter.ShareMeter()
        self._over_share: frozenset[str] = frozenset()
        self._draining = False

    def offer(
        self,
        dispatch: dispatching.Dispatch,
        profile: profile_lib.Profile,
        entry: str,
        now: float,
    ) -> failure_lib.Failure | None:
        """Queues an attempt, or returns why it is refused.

        An attempt that is already queued or running is left unchanged.

        Args:
            dispatch: The attempt.
            profile: The profile version that it runs under.
            entry: The name of the entry that sent it.
            now: The monotonic clock in seconds.
        """
        attempt = dispatch.attempt
        if self._held.holds(attempt):
            return None
        refusal = self._refuse(dispatch, profile)
        if refusal is not None:
            return refusal
        self._enqueue(dispatch, profile, entry, now)
        return None

    def start_next(self, now: float) -> list[dispatching.Dispatch]:
        """Fills the free slots and returns the attempts to start.

        Attempts past their deadline are not started; `pop_expired` returns
        them.

        Args:
            now: The monotonic clock in seconds.
        """
        self._expire(now)
        self._over_share = self._meter.find_over_share(now)
        started = []
        while self._held.count_running() < self._limit:
            task = self._queue.pop(self._find_excluded())
            if task is None:
                break
            held = self._held.start(t.cast(dispatching.Attempt, task.key))
            profile = task.profile
            self._meter.add(profile.name, profile.weight, task.cost_ms, now)
            started.append(held.dispatch)
        return started

    def pop_expired(self, now: float) -> list[dispatching.Dispatch]:
        """Returns the attempts whose deadline passed before they started.

        Each is returned once and will not start.

        Args:
            now: The monotonic clock in seconds.
        """
        self._expire(now)
        expired, self._expired = self._expired, []
        return expired

    def next_wakeup(self) -> float | None:
        """Returns when the next queued attempt expires, or None."""
        return self._held.next_deadline()

    def finish(
        self, attempt: dispatching.Attempt, run_ms: float, now: float
    ) -> None:
        """Frees the slot of an attempt that ended, however it ended.

        Args:
            attempt: The attempt; ignored if it is not running.
            run_ms: How long it ran, in milliseconds.
            now: The monotonic clock in seconds.
        """
        del now
        held = self._held.finish(attempt)
        if held is None:
            return
        dispatch = held.dispatch
        self._queue.adjust_charge(dispatch.profile, held.cost_ms, run_ms)
        self._run_times.learn(dispatch.profile, dispatch.size_ms, run_ms, 1.0)

    def release(self, attempt: dispatching.Attempt) -> None:
        """Frees the slot of an attempt whose start was abandoned."""
        held = self._held.finish(attempt)
        if held is not None:
            self._queue.adjust_charge(held.dispatch.profile, held.cost_ms, 0.0)

    def find_longest_queue(self) -> str:
        """Returns the profile with the most queued tasks; empty if none."""
        return self._held.find_longest_queue()

    def list_queued(self) -> list[dispatching.Attempt]:
        """Returns the queued attempts."""
        return self._held.list_queued()

    def revoke(
        self, job: str, epoch: int, tasks: tuple[int, ...] = ()
    ) -> tuple[int, ...]:
        """Drops queued attempts of a job, in time linear in their number.

        Args:
            job: The job's identifier.
            epoch: The sender's epoch; attempts of higher epochs stay.
            tasks: The tasks to drop; all of the job if empty.

        Returns:
            The tasks that were dropped, in order; they will not start.
        """
        wanted = frozenset(tasks)
        dropped = [
            attempt
            for attempt in self._held.list_queued_of_job(job)
            if attempt.epoch <= epoch and (not wanted or attempt.task in wanted)
        ]
        for attempt in dropped:
            self._queue.remove(attempt)
            self._held.remove_queued(attempt)
        return tuple(sorted(attempt.task for attempt in dropped))

    def drain(self) -> None:
        """Refuses further attempts; those queued or running still complete."""
        self._draining = True

    def is_idle(self) -> bool:
        """Returns whether nothing is queued or running."""
        return self._held.is_empty()

    def load(self, entry: str = "") -> dispatching.Load:
        """Returns the agent's load report.

        Args:
            entry: The entry that the report is for; its attempts are counted
                separately.
        """
        return dispatching.Load(
            running=self._held.count_running(),
            queued=self._held.count_queued(),
            queued_ms=round(self._queue.find_queued_ms()),
            own=self._held.count_entry(entry),
            excess_weight=self._queue.find_weight(self._over_share),
        )

    def _find_excluded(self) -> frozenset[str]:
        """Returns the profiles that may not use the reserved slots now."""
        free = self._limit - self._held.count_running()
        if free > self._reserved_slots:
            return task_queue.NO_PROFILES
        return self._over_share

    def _refuse(
        self, dispatch: dispatching.Dispatch, profile: profile_lib.Profile
    ) -> failure_lib.Failure | None:
        if self._draining:
            return self._create_failure(
                cause_lib.Cause.DRAINING, "the agent is draining"
            )
        if dispatch.budget_ms <= 0:
            return self._create_failure(
                cause_lib.Cause.DEADLINE_PASSED,
                "the deadline passed before the task reached the agent",
            )
        held = self._held.count_running() + self._held.count_queued()
        if held < self._limit:
            return None
        wait_ms = self._queue.find_wait_ms(profile, self._limit)
        if wait_ms > dispatch.budget_ms:
            return self._create_failure(
                cause_lib.Cause.OVERLOADED,
                f"the expected wait of {wait_ms:.0f} ms for profile "
                f"{profile.name!r} exceeds the {dispatch.budget_ms} ms left",
                round(wait_ms),
            )
        return None

    def _enqueue(
        self,
        dispatch: dispatching.Dispatch,
        profile: profile_lib.Profile,
        entry: str,
        now: float,
    ) -> None:
        attempt = dispatch.attempt
        cost_ms = self._run_times.estimate_ms(profile.name, dispatch.size_ms)
        deadline_at = now + dispatch.budget_ms / 1000
        self._held.add(
            held_attempts.HeldAttempt(dispatch, entry, cost_ms, deadline_at)
        )
        order = now - dispatch.precedence_ms / 1000
        self._queue.push(
            task_queue.QueuedTask(attempt, profile, order, cost_ms)
        )

    def _expire(self, now: float) -> None:
        while (dispatch := self._held.pop_expired(now)) is not None:
            self._queue.remove(dispatch.attempt)
            self._expired.append(dispatch)

    def _create_failure(
        self, cause: cause_lib.Cause, detail: str, retry_after_ms: int = 0
    ) -> failure_lib.Failure:
        return failure_lib.Failure(
            failure_lib.Outcome.NOT_RUN,
            cause,
            _STEP,
            self._name,
            detail,
            retry_after_ms,
        )


def create_scheduler(
    slots: int,
    connections: int,
    name: str = "agent",
    queue: task_queue.TaskQueue | None = None,
) -> Scheduler:
    """Returns a scheduler with nothing queued.

    Args:
        slots: How many tasks the runner runs at once.
        connections: The most connections to the runner; each running task
            holds one.
        name: The agent's name, which failures report.
        queue: The order of service; fair over profiles if None.
    """
    if queue is None:
        queue = fair_queue.create_fair_queue()
    return Scheduler(min(slots, connections), queue, name)
