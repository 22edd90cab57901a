"""An entry's estimate of one agent's load, speed and health."""

from __future__ import annotations

import math
import random
import typing as t

from skylarkcleat.dispatch import health as health_lib
from skylarkcleat.dispatch import job_table
from skylarkcleat.dispatch import run_time
from skylarkcleat.model import member as member_lib
from skylarkcleat.protocol import dispatching

# The weight of an agent's load report falls from 1 to 0 over this time.
_LOAD_REPORT_TTL_S = 2.0

# An attempt is overdue once it has taken this multiple of its expected run
# time and the grace period on top.
_OVERDUE_FACTOR = 3.0
_OVERDUE_GRACE_S = 0.2

# With fewer overdue attempts the speed estimate stays as it is.
_MIN_OVERDUE = 3


class SentAttempt(t.NamedTuple):
    """An attempt that was sent and has no outcome yet.

    Attributes:
        number: The attempt's number.
        profile: The profile's name.
        size_ms: The declared run time on a runner of speed 1, in
            milliseconds; 0 if unknown.
        work_ms: The expected run time on a runner of speed 1, in
            milliseconds.
        sent_at: When it was sent, in seconds of the monotonic clock.
    """

    number: int
    profile: str
    size_ms: int
    work_ms: float
    sent_at: float


class AgentView:
    """One agent's state as known to an entry.

    It is delayed and incomplete: load reports arrive late, and of other
    entries' tasks only the number is known.

    Attributes:
        member: The agent's latest announcement.
        health: Whether it may be sent work.
        sent: This entry's attempts without outcome.
        speed: The estimated speed, relative to a runner of speed 1.
    """

    def __init__(
        self, member: member_lib.Member, rng: random.Random, log_speed: float
    ):
        self.member = member
        self.health = health_lib.Health(rng)
        self.sent: dict[job_table.TaskKey, SentAttempt] = {}
        self._reserved: dict[str, int] = {}
        self._reserved_total = 0
        self.speed = math.exp(log_speed)
        self._speed = run_time.SpeedEstimate(log_speed)
        self._by_profile: dict[str, int] = {}
        self._overdue_after: dict[job_table.TaskKey, float] = {}
        self._other_tasks = 0
        self._excess_weight = 0
        self._reported_at = 0.0

    @property
    def log_speed(self) -> float:
        """The logarithm of the estimated speed."""
        return self._speed.value

    def add(self, key: job_table.TaskKey, sent: SentAttempt) -> None:
        """Adds an attempt that is being sent."""
        self.sent[key] = sent
        count = self._by_profile.get(sent.profile, 0)
        self._by_profile[sent.profile] = count + 1

    def remove(
        self, key: job_table.TaskKey, number: int | None = None
    ) -> SentAttempt | None:
        """Removes and returns an attempt, or returns None if there is none.

        Args:
            key: The task.
            number: The attempt's number; any number matches if None.
        """
        sent = self.sent.get(key)
        if sent is None or number not in (None, sent.number):
            return None
        del self.sent[key]
        self._overdue_after.pop(key, None)
        left = self._by_profile[sent.profile] - 1
        if left:
            self._by_profile[sent.profile] = left
        else:
            del self._by_profile[sent.profile]
        return sent

    def count_own(self, profile: str) -> int:
        """Returns how many of a profile's tasks are sent or reserved."""
        sent = self._by_profile.get(profile, 0)
        return sent + self._reserved.get(profile, 0)

    def reserve(self, profile: str, tasks: int) -> None:
        """Counts tasks that wait at the entry for a slot of this agent.

        Args:
            profile: The tasks' profile.
            tasks: The change in their number; may be negative.
        """
        reserved = self._reserved.get(profile, 0) + tasks
        if reserved:
            self._reserved[profile] = reserved
        else:
            self._reserved.pop(profile, None)
        self._reserved_total += tasks

    def learn_speed(self, log_speed: float) -> None:
        """Updates the speed estimate with one sample, as a logarithm."""
        self._speed.add(log_speed)
        self.speed = math.exp(self._speed.value)

    def learn_from_overdue(self, now: float) -> None:
        """Lowers the speed estimate on account of overdue attempts.

        An attempt counts when it has taken several times as long as expected,
        and again each time that its elapsed time doubles. Nothing is learned
        while the agent queues tasks of a profile that is over its share: long
        waits are then no sign of a slow runner.

        Args:
            now: The monotonic clock in seconds.
        """
        if self.find_excess_weight(now):
            return
        late = [
            (key, sent)
            for key, sent in self.sent.items()
            if now > self._overdue_after.get(key, self._find_due(sent))
        ]
        if len(late) < _MIN_OVERDUE:
            return
        for key, sent in late:
            elapsed_s = now - sent.sent_at
            self._overdue_after[key] = sent.sent_at + 2 * elapsed_s
            self.learn_speed(math.log(sent.work_ms / 1000 / elapsed_s))

    def record_load(self, load: dispatching.Load, now: float) -> None:
        """Records a load report from the agent."""
        self._other_tasks = max(0, load.running + load.queued - load.own)
        self._excess_weight = load.excess_weight
        self._reported_at = now

    def find_excess_weight(self, now: float) -> float:
        """Returns the total weight of queued profiles over their shares.

        It counts less the older the load report is.
        """
        if not self._excess_weight:
            return 0.0
        return self._excess_weight * self._freshness(now)

    def find_occupancy(self, now: float) -> float:
        """Returns the estimated number of tasks queued and running there.

        It includes the tasks reserved for the agent, and the tasks of other
        entries, which count less the older the load report is.
        """
        own = len(self.sent) + self._reserved_total
        if not self._other_tasks:
            return own
        return own + self._other_tasks * self._freshness(now)

    def find_wait_ms(self, mean_ms: float, now: float) -> float:
        """Returns the expected wait of a new task for a slot, in milliseconds.

        Args:
            mean_ms: The mean run time of a task on a runner of speed 1.
            now: The monotonic clock in seconds.
        """
        slots = self.member.slots
        waiting = self.find_occupancy(now) - slots + 1
        if waiting <= 0:
            return 0.0
        return waiting * mean_ms / self.speed / slots

    def _find_due(self, sent: SentAttempt) -> float:
        run_s = sent.work_ms / 1000 / self.speed
        return sent.sent_at + _OVERDUE_FACTOR * run_s + _OVERDUE_GRACE_S

    def _freshness(self, now: float) -> float:
        age_s = now - self._reported_at
        return (
            1.0 - age_s / _LOAD_REPORT_TTL_S
            if age_s < _LOAD_REPORT_TTL_S
            else 0.0
        )
