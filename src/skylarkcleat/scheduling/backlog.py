"""The order in which waiting jobs get capacity.

Keeps bursts of long jobs from delaying short ones: jobs that can still end in
time go first, by their latest start time; the others get what is left, the
oldest first. Where the policy shares a capacity that is far too short, not to
make every job late, only those go first that their queue's share of it can
serve in time; of the others the latest arrivals come first, since those can
still be of use.
"""

from __future__ import annotations

import math
import typing as t

import sortedcontainers

from skylarkcleat import containment as containment_lib
from skylarkcleat.scheduling import active_job
from skylarkcleat.scheduling import job_forecast
from skylarkcleat.scheduling import placement_pass
from skylarkcleat.scheduling import policy as policy_lib
from skylarkcleat.scheduling import queue_line as queue_line_lib
from skylarkcleat.scheduling import shortage as shortage_lib

HELD_S = 1.0
"""A job that can't end in time is refused only while this much work, at the
rate of all runners, waits beside it: no runner is idle within a second because
of a refusal."""

SHORTAGE_S = queue_line_lib.DEMAND_WINDOW_S
"""How long a shortage lasts at least, since the demand is averaged over it."""

HELD_BRIEFLY_S = 0.1
"""The same for a job that is useless before the shortage can end, and would be
refused later. At 0.7 of the capacity, usual after an overload, the runners are
busy for 0.3 s with what is kept."""


class _Entry(t.NamedTuple):
    rank: float
    number: int
    job: active_job.ActiveJob
    line: queue_line_lib.QueueLine
    core_s: float


class Backlog:
    """The jobs that have tasks to start.

    Args:
        policy: Whether a capacity that is far too short is shared.
        containment: Contains the errors of single steps.

    Attributes:
        failed: The jobs that an error keeps from being served.
        is_full: Whether the last pass ended since so many jobs did not fit.
        is_shared: Whether a capacity that is far too short is shared.
    """

    def __init__(
        self,
        policy: policy_lib.Policy = policy_lib.DEFAULT,
        containment: containment_lib.Containment | None = None,
    ) -> None:
        self.is_shared = policy.shares_capacity
        self.failed: list[active_job.ActiveJob] = []
        self._containment = containment or containment_lib.Containment()
        self._timely: sortedcontainers.SortedList[_Entry]
        self._timely = sortedcontainers.SortedList()
        self._late: sortedcontainers.SortedList[_Entry]
        self._late = sortedcontainers.SortedList()
        self._entries: dict[str, _Entry] = {}
        self._added: dict[str, active_job.ActiveJob] = {}
        self._lines: dict[str, queue_line_lib.QueueLine] = {}
        self._number = 0
        self._shortages: dict[str, shortage_lib.Shortage] = {}
        self._short: dict[str, float] = {}
        self.is_full = False

    def __len__(self) -> int:
        """Returns how many jobs there are."""
        return len(self._entries) + len(self._added)

    def add(self, job: active_job.ActiveJob) -> None:
        """Adds a job, unless it is there."""
        if job.job.id not in self._entries:
            self._added[job.job.id] = job

    def remove(self, job: active_job.ActiveJob) -> None:
        """Removes a job, if it is there."""
        self._added.pop(job.job.id, None)
        entry = self._entries.pop(job.job.id, None)
        if entry is None:
            return
        if entry in self._timely:
            self._timely.remove(entry)
            entry.line.ahead_core_s -= entry.core_s
        else:
            self._late.discard(entry)

    def place(self, now: float, place: placement_pass.Placer) -> None:
        """Offers capacity to each job in turn.

        Args:
            now: The time, in seconds.
            place: Starts a job's tasks; a job that is placed leaves the
                backlog.
        """
        self._sort_in(now)
        offers = placement_pass.PlacementPass(now, place, self._short)
        for entry in self._timely:
            if not offers.offer(entry.job, is_timely=True):
                break
        for entry in self._iterate_late():
            if not offers.offer(entry.job, is_timely=False):
                break
        self.is_full = offers.is_over
        for job in offers.placed:
            self.remove(job)

    def review(self, now: float, capacities: t.Mapping[str, float]) -> None:
        """Divides the capacity among the queues, if it is shared.

        Args:
            now: The time, in seconds.
            capacities: The work that the runners of each upstream can do, in
                core-seconds a second; unknown for those that are left out.
        """
        self._sort_in(now)
        if not self.is_shared:
            return
        by_upstream: dict[str, list[queue_line_lib.QueueLine]] = {}
        for line in self._lines.values():
            line.update_demand(now)
            by_upstream.setdefault(line.upstream, []).append(line)
        self._short.clear()
        for upstream, lines in by_upstream.items():
            capacity = capacities.get(upstream, math.inf)
            queue_line_lib.divide_capacity(lines, capacity)
            shortage = self._shortages.setdefault(
                upstream, shortage_lib.Shortage()
            )
            shortage.record(sum(line.demand for line in lines), capacity)
            if shortage.is_deep:
                self._short[upstream] = capacity

    def stop_sharing(self) -> None:
        """Serves jobs as where the capacity isn't shared, until a review."""
        self._short.clear()
        for line in self._lines.values():
            line.rate = math.inf

    def find_retry_s(self, job: active_job.ActiveJob) -> float:
        """Returns when a job like this one would be accepted, from now on."""
        line = self._find_line(job)
        slack_s = job.objective_s - job.expected_s
        limit_s = queue_line_lib.find_wait_limit_s(slack_s)
        wait_s = line.find_wait_s()
        return max(wait_s - limit_s, 0.0) if math.isfinite(wait_s) else 0.0

    def list_surplus(self, now: float) -> list[active_job.ActiveJob]:
        """Returns the jobs to refuse since others can use the capacity better.

        Those that can no longer end in time, the oldest first, of upstreams
        whose queues ask for far more than the runners can do. Enough work is
        kept that no runner is idle soon after a refusal.
        """
        if not self._short:
            return []
        waiting = dict.fromkeys(self._short, 0.0)
        for line in self._lines.values():
            if line.upstream in waiting:
                waiting[line.upstream] += line.ahead_core_s
        surplus = []
        for entry in self._late:
            upstream, job = entry.line.upstream, entry.job
            if upstream not in waiting:
                continue
            if not job.started and job.latest_start < now:
                held_s = _find_held_s(job, now)
                if waiting[upstream] >= held_s * self._short[upstream]:
                    surplus.append(job)
                    continue
            waiting[upstream] += entry.core_s
        return surplus

    def forecast(
        self, now: float, cores: float
    ) -> t.Iterator[tuple[active_job.ActiveJob, float]]:
        """Yields each job, in order, with its expected start time.

        Assumes that the work ahead of a job is done at the rate of all cores
        together. During a lasting overload, jobs that can't start in time are
        thus found long before their time is over.

        Args:
            now: The time, in seconds.
            cores: The cores of all open runners; if 0, work ahead counts as
                no delay.
        """
        self._sort_in(now)
        ahead = 0.0
        for entries in (self._timely, self._iterate_late()):
            for entry in entries:
                try:
                    core_s = entry.job.find_waiting_core_s()
                except Exception as error:
                    self._fail(entry.job, "measure a job", error, now)
                    continue
                yield entry.job, now + (ahead / cores if cores else 0.0)
                ahead += core_s

    def _sort_in(self, now: float) -> None:
        while self._timely and self._timely[0].rank < now:
            entry = self._timely.pop(0)
            entry.line.ahead_core_s -= entry.core_s
            self._defer(entry.job, entry.line, entry.core_s)
        added, self._added = self._added, {}
        for job in added.values():
            try:
                self._admit(job, now)
            except Exception as error:
                self.remove(job)
                self._fail(job, "order a job", error, now)

    def _fail(
        self, job: active_job.ActiveJob, step: str, error: Exception, now: float
    ) -> None:
        self._containment.record(step, error, now)
        self.failed.append(job)

    def _admit(self, job: active_job.ActiveJob, now: float) -> None:
        line = self._find_line(job)
        core_s = job.find_waiting_core_s()
        if self.is_shared and not job.started:
            line.record_arrival(core_s)
        is_accepted = job.latest_start > now and (
            job.started
            or line.upstream not in self._short
            or line.accepts(job, now)
        )
        if job.forecast is None:
            with self._containment.contain("forecast a wait", now):
                job.forecast = _create_forecast(line, is_accepted)
        if not is_accepted:
            self._defer(job, line, core_s)
            return
        self._number += 1
        entry = _Entry(job.latest_start, self._number, job, line, core_s)
        line.ahead_core_s += core_s
        self._entries[job.job.id] = entry
        self._timely.add(entry)

    def _defer(
        self,
        job: active_job.ActiveJob,
        line: queue_line_lib.QueueLine,
        core_s: float,
    ) -> None:
        self._number += 1
        entry = _Entry(-job.submitted_at, self._number, job, line, core_s)
        self._entries[job.job.id] = entry
        self._late.add(entry)

    def _iterate_late(self) -> t.Iterator[_Entry]:
        return iter(self._late) if self._short else reversed(self._late)

    def _find_line(self, job: active_job.ActiveJob) -> queue_line_lib.QueueLine:
        queue = job.queue
        line = self._lines.get(queue.name)
        if line is None or line.upstream != queue.upstream:
            line = queue_line_lib.QueueLine(queue.upstream, queue.priority)
            self._lines[queue.name] = line
        return line


def _create_forecast(
    line: queue_line_lib.QueueLine, is_accepted: bool
) -> job_forecast.JobForecast:
    admission = job_forecast.Admission.DEFERRED
    if is_accepted:
        admission = job_forecast.Admission.ACCEPTED
    wait_s = line.find_wait_s() if math.isfinite(line.rate) else math.inf
    return job_forecast.JobForecast(admission, wait_s, line.rate)


def _find_held_s(job: active_job.ActiveJob, now: float) -> float:
    """Returns how much other work keeps a late job, in s of all runners."""
    useful_s = job.useless_at - job.expected_s - now
    return HELD_S if useful_s > SHORTAGE_S else HELD_BRIEFLY_S
