"""Assignment of the entry's queued tasks to agents."""

from __future__ import annotations

import collections
import typing as t

from skylarkcleat.dispatch import agent_view
from skylarkcleat.dispatch import fleet as fleet_lib
from skylarkcleat.dispatch import health as health_lib
from skylarkcleat.dispatch import job_table
from skylarkcleat.dispatch import placement as placement_lib
from skylarkcleat.dispatch import router as router_lib
from skylarkcleat.dispatch import run_time
from skylarkcleat.dispatch import service_rate
from skylarkcleat.dispatch import task_queue

# Once this many tasks of a profile were deferred, its other tasks are skipped
# for the rest of the pass.
MAX_DEFERRED_PER_PROFILE = 6


class _DeferredTask(t.NamedTuple):
    """A task that stays queued, and the agent that it waits for, if any."""

    task: task_queue.QueuedTask
    view: agent_view.AgentView | None


class Placer:
    """Assigns queued tasks to agents that are expected to have a free slot."""

    def __init__(
        self,
        zone: str,
        queue: task_queue.TaskQueue,
        router: router_lib.Router,
        fleet: fleet_lib.Fleet,
        jobs: job_table.JobTable,
        run_times: run_time.RunTimeModel,
        service: service_rate.ServiceRate,
    ):
        self._zone = zone
        self._queue = queue
        self._router = router
        self._fleet = fleet
        self._jobs = jobs
        self._run_times = run_times
        self._service = service

    def enqueue(self, job: job_table.JobState, task: int) -> None:
        """Queues a task of an active job."""
        profile = job.work.profile
        size_ms = job.get_size_ms(task)
        cost_ms = self._run_times.estimate_ms(profile.name, size_ms)
        key = job_table.TaskKey(job.work.job, task)
        self._queue.push(
            task_queue.QueuedTask(
                key, profile, job.order, cost_ms, job.ranks[task]
            )
        )

    def place(self, now: float) -> list[placement_lib.Placement]:
        """Assigns the tasks that can be sent now and returns their placements.

        A task for which it is better to wait for a busy agent is deferred. It
        counts as load of that agent while the tasks behind it are placed.

        Args:
            now: The monotonic clock in seconds.
        """
        placements: list[placement_lib.Placement] = []
        deferred: list[_DeferredTask] = []
        excluded = self._place_in_order(placements, deferred, now)
        for item in deferred:
            self._queue.restore(item.task)
            if item.view is not None:
                item.view.reserve(item.task.profile.name, -1)
        if excluded:
            self._place_from_tail(placements, now)
        return placements

    def _place_in_order(
        self,
        placements: list[placement_lib.Placement],
        deferred: list[_DeferredTask],
        now: float,
    ) -> frozenset[str]:
        """Places tasks in queue order; returns the profiles it had to skip."""
        excluded = task_queue.NO_PROFILES
        counts: collections.Counter[str] = collections.Counter()
        while True:
            task = self._queue.pop(excluded)
            if task is None:
                return excluded
            waited_ms = max(0.0, 1000 * (now - task.order))
            route = self._route(task, waited_ms, now)
            if route is not None and not route.defer:
                placements.append(self._commit(task, route.view, now))
                continue
            name = task.profile.name
            counts[name] += 1
            if counts[name] >= MAX_DEFERRED_PER_PROFILE:
                excluded |= {name}
            view = route.view if route else None
            if view is not None:
                view.reserve(name, 1)
            deferred.append(_DeferredTask(task, view))

    def _place_from_tail(
        self, placements: list[placement_lib.Placement], now: float
    ) -> None:
        """Places the last tasks of the queue on slots that the first don't use.

        A slow slot helps a task that would otherwise wait for all the tasks
        before it, and delays none of those.
        """
        while True:
            task = self._queue.pop_last()
            if task is None:
                return
            backlog_ms = self._service.find_drain_ms(
                self._queue.find_queued_ms(), now
            )
            route = self._route(task, backlog_ms, now)
            if route is None or route.defer:
                self._queue.restore(task)
                return
            placements.append(self._commit(task, route.view, now))

    def _route(
        self, task: task_queue.QueuedTask, backlog_ms: float, now: float
    ) -> router_lib.Route | None:
        key = t.cast(job_table.TaskKey, task.key)
        views = self._fleet.list_usable(task.profile, now)
        job = self._jobs.get(key.job)
        chosen = job.work.agents
        if chosen:
            views = [v for v in views if v.member.name in chosen] or views
        avoid = job.tasks[key.task].avoid
        if avoid:
            elsewhere = [v for v in views if v.member.name not in avoid]
            views = elsewhere or views
        if not views:
            return None
        request = router_lib.Request(
            task.profile,
            task.cost_ms,
            self._run_times.get_mean_ms(),
            self._zone,
            backlog_ms,
        )
        return self._router.choose(request, views, now)

    def _commit(
        self,
        task: task_queue.QueuedTask,
        view: agent_view.AgentView,
        now: float,
    ) -> placement_lib.Placement:
        key = t.cast(job_table.TaskKey, task.key)
        size_ms = self._jobs.get_size_ms(key)
        state = self._jobs.find_task(key)
        state.number += 1
        state.agent = view.member.name
        sent = agent_view.SentAttempt(
            state.number, task.profile.name, size_ms, task.cost_ms, now
        )
        view.add(key, sent)
        if view.health.find_state(now) is not health_lib.HealthState.HEALTHY:
            self._fleet.invalidate_pool(view)
        return placement_lib.Placement(
            key.job,
            key.task,
            state.number,
            view.member.name,
            view.member.incarnation,
            size_ms,
            round(1000 * (now - task.order)),
        )
