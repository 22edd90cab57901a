"""What an entry holds of one agent: its load, speed and health."""

from __future__ import annotations

import math
import random
import typing as t

from skylarkcleat.dispatch import health as health_lib
from skylarkcleat.dispatch import job_table
from skylarkcleat.dispatch import run_time
from skylarkcleat.model import member as member_lib
from skylarkcleat.protocol import dispatching

_LOAD_REPORT_TTL_S = 2.0
_OVERDUE_FACTOR = 3.0
_OVERDUE_GRACE_S = 0.2
_MIN_OVERDUE = 3


class SentAttempt(t.NamedTuple):
    """An attempt that has no outcome yet.

    Attributes:
        number: The attempt's number.
        profile: The profile's name.
        size_ms: The declared run time in milliseconds; 0 if unknown.
        work_ms: The run time expected on a runner of speed 1.
        sent_at: When it was sent, in seconds of the monotonic clock.
    """

    number: int
    profile: str
    size_ms: int
    work_ms: float
    sent_at: float


class AgentView:
    """One agent as an entry sees it, which is late and partial.

    Attributes:
        member: The agent's latest announcement.
        health: Whether it takes work.
        sent: The entry's own attempts without outcome.
        speed: The speed learned, relative to a runner of speed 1.
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
        """The logarithm of the speed."""
        return self._speed.value

    def add(self, key: job_table.TaskKey, sent: SentAttempt) -> None:
        """Counts an attempt that is being sent."""
        self.sent[key] = sent
        count = self._by_profile.get(sent.profile, 0)
        self._by_profile[sent.profile] = count + 1

    def remove(
        self, key: job_table.TaskKey, number: int | None = None
    ) -> SentAttempt | None:
        """Stops counting an attempt; returns it, or None if not counted.

        Args:
            key: The task.
            number: The attempt's number; whichever is counted if None.
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
        """Returns how many of a profile's tasks are sent or held for it."""
        sent = self._by_profile.get(profile, 0)
        return sent + self._reserved.get(profile, 0)

    def reserve(self, profile: str, tasks: int) -> None:
        """Counts tasks held at the entry for a slot of this agent.

        Args:
            profile: The tasks' profile.
            tasks: How many more, or fewer if negative.
        """
        reserved = self._reserved.get(profile, 0) + tasks
        if reserved:
            self._reserved[profile] = reserved
        else:
            self._reserved.pop(profile, None)
        self._reserved_total += tasks

    def learn_speed(self, log_speed: float) -> None:
        """Takes in what one run tells of the speed, as a logarithm."""
        self._speed.add(log_speed)
        self.speed = math.exp(self._speed.value)

    def learn_from_overdue(self, now: float) -> None:
        """Takes in what attempts that are long overdue tell of the speed.

        An attempt counts when it has taken several times as long as expected,
        and again each time that this doubles. While the agent has a profile
        over its share in its queue, long waits say nothing of the speed.

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
        """Takes in what the agent tells of itself."""
        self._other_tasks = max(0, load.running + load.queued - load.own)
        self._excess_weight = load.excess_weight
        self._reported_at = now

    def find_excess_weight(self, now: float) -> float:
        """Returns the weights of queued profiles that exceed their shares."""
        if not self._excess_weight:
            return 0.0
        return self._excess_weight * self._freshness(now)

    def find_occupancy(self, now: float) -> float:
        """Returns how many tasks it is held to have, queued and running."""
        own = len(self.sent) + self._reserved_total
        if not self._other_tasks:
            return own
        return own + self._other_tasks * self._freshness(now)

    def find_wait_ms(self, mean_ms: float, now: float) -> float:
        """Returns the wait expected before a new task starts.

        Args:
            mean_ms: The typical run time on a runner of speed 1.
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
