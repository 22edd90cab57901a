"""Processing of attempt outcomes that agents report to an entry."""

from __future__ import annotations

from skylarkcleat.dispatch import agent_view
from skylarkcleat.dispatch import fleet as fleet_lib
from skylarkcleat.dispatch import job_table
from skylarkcleat.dispatch import placement as placement_lib
from skylarkcleat.dispatch import retry
from skylarkcleat.dispatch import run_time
from skylarkcleat.dispatch import service_rate
from skylarkcleat.model import cause as cause_lib
from skylarkcleat.model import failure as failure_lib
from skylarkcleat.model import member as member_lib
from skylarkcleat.protocol import dispatching


class AttemptOutcomes:
    """Ends attempts and updates health, speed estimates and retries."""

    def __init__(
        self,
        fleet: fleet_lib.Fleet,
        jobs: job_table.JobTable,
        retries: retry.Retries,
        run_times: run_time.RunTimeModel,
        service: service_rate.ServiceRate,
    ):
        self._fleet = fleet
        self._jobs = jobs
        self._retries = retries
        self._run_times = run_times
        self._service = service

    def set_attempt_number(
        self,
        placement: placement_lib.Placement,
        attempt: dispatching.Attempt,
    ) -> None:
        """Records the attempt number that a placement was sent under."""
        view = self._fleet.find_view(placement.agent)
        key = job_table.TaskKey(placement.job, placement.task)
        sent = view.remove(key) if view else None
        if sent is not None:
            view.add(key, sent._replace(number=attempt.number))
            self._jobs.find_task(key).number = attempt.number

    def withdraw(self, placement: placement_lib.Placement) -> None:
        """Undoes a placement that will never have an outcome.

        The task then avoids the agent.
        """
        view = self._fleet.find_view(placement.agent)
        key = job_table.TaskKey(placement.job, placement.task)
        if view is not None:
            view.remove(key)
        job = self._jobs.find(placement.job)
        if job is None:
            return
        state = job.tasks[placement.task]
        state.agent = ""
        state.avoid |= {placement.agent}

    def remove_agent(self, name: str) -> list[placement_lib.Placement]:
        """Removes an agent and returns its placements without outcome."""
        view = self._fleet.remove(name)
        if view is None:
            return []
        return [
            placement_lib.Placement(
                key.job,
                key.task,
                sent.number,
                name,
                view.member.incarnation,
                sent.size_ms,
            )
            for key, sent in view.sent.items()
        ]

    def record_answer(
        self, agent: str, answer: dispatching.Answer, now: float
    ) -> None:
        """Records a runner's answer, which may be late or a duplicate."""
        view = self._fleet.record_load(agent, answer.load, now)
        _, sent = self._end_attempt(agent, answer.attempt)
        if sent is None or view is None:
            return
        view.health.record_success()
        log_speed = self._run_times.learn(
            sent.profile, sent.size_ms, answer.run_ms, view.speed
        )
        view.learn_speed(log_speed)
        self._service.add(sent.profile, sent.work_ms, now)

    def record_refusal(
        self, agent: str, refusal: dispatching.Refusal, now: float
    ) -> retry.RetryDecision | failure_lib.Failure:
        """Records a refused attempt, which never starts; decides on a retry."""
        view = self._fleet.record_load(agent, refusal.load, now)
        cause = refusal.failure.cause
        if view and cause is cause_lib.Cause.DRAINING:
            leaving = view.member._replace(state=member_lib.MemberState.LEAVING)
            self._fleet.put(leaving)
        elif view and cause is cause_lib.Cause.RUNNER_UNREACHABLE:
            self._fleet.record_failure(view, now)
        job, _ = self._end_attempt(agent, refusal.attempt)
        if job is None:
            return refusal.failure
        task = refusal.attempt.task
        return self._retries.decide(job, task, agent, refusal.failure, now)

    def record_attempt_failure(
        self, agent: str, report: dispatching.AttemptFailure, now: float
    ) -> retry.RetryDecision | failure_lib.Failure:
        """Records that a started attempt ended without an answer.

        Only a repeatable job's task is considered for a retry.
        """
        view = self._fleet.record_load(agent, report.load, now)
        if view:
            self._fleet.record_failure(view, now)
        job, _ = self._end_attempt(agent, report.attempt)
        if job is None or not job.work.repeatable:
            return report.failure
        task = report.attempt.task
        return self._retries.decide(job, task, agent, report.failure, now)

    def record_revoked(
        self, agent: str, revoked: dispatching.Revoked, now: float
    ) -> None:
        """Records attempts that an agent dropped before they started."""
        view = self._fleet.record_load(agent, revoked.load, now)
        if view is None:
            return
        for task in revoked.tasks:
            sent = view.remove(job_table.TaskKey(revoked.job, task))
            if sent is not None:
                attempt = dispatching.Attempt(
                    revoked.job, task, revoked.epoch, sent.number
                )
                self._jobs.end_attempt(attempt, agent)

    def _end_attempt(
        self, agent: str, attempt: dispatching.Attempt
    ) -> tuple[job_table.JobState | None, agent_view.SentAttempt | None]:
        """Ends an attempt; returns its job and the sent attempt, if known."""
        view = self._fleet.find_view(agent)
        key = job_table.TaskKey(attempt.job, attempt.task)
        sent = view.remove(key, attempt.number) if view else None
        return self._jobs.end_attempt(attempt, agent), sent
