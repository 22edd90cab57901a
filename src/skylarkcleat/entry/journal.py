"""Records the events, metrics and log actions of an entry's jobs."""

from __future__ import annotations

import typing as t

from skylarkcleat import clock as clock_lib
from skylarkcleat import logs
from skylarkcleat.dispatch import placement as placement_lib
from skylarkcleat.entry import event_requests as event_requests_lib
from skylarkcleat.entry import open_job
from skylarkcleat.entry import profile_run_times
from skylarkcleat.entry import submission as submission_lib
from skylarkcleat.jobs import submission as job_submission
from skylarkcleat.metrics import metrics as metrics_lib
from skylarkcleat.model import cause as cause_lib
from skylarkcleat.model import failure as failure_lib
from skylarkcleat.protocol import claiming
from skylarkcleat.protocol import dispatching
from skylarkcleat.timeline import account as account_lib
from skylarkcleat.timeline import ending as ending_lib
from skylarkcleat.timeline import kind as kind_lib

_MS_PER_S = 1000
# When this many jobs are open, a new one replaces the oldest, whose outcome
# is then neither recorded nor counted.
_MAX_OPEN_JOBS = 20_000
_CANCELLED = failure_lib.Failure(
    failure_lib.Outcome.UNKNOWN,
    cause_lib.Cause.CANCELLED,
    "answer",
    "",
    "the caller disconnected",
)
_Kind = kind_lib.Kind


class EntryJournal:
    """Records jobs' events, counts outcomes and creates incidents."""

    def __init__(
        self,
        account: account_lib.Account,
        event_requests: event_requests_lib.EventRequests,
        metrics: metrics_lib.Metrics,
        log: logs.Log,
    ) -> None:
        """Initializes a journal without jobs.

        Args:
            account: The entry's events and incidents.
            event_requests: Requests agents' events before a late job's
                incident is created.
            metrics: The entry's counters.
            log: The entry's log.
        """
        self.account = account
        self.event_requests = event_requests
        self._log = log
        self._metrics = metrics
        self._open: dict[str, open_job.OpenJob] = {}
        self._run_times = profile_run_times.ProfileRunTimes()

    def record_submission(
        self,
        submission: job_submission.Submission,
        slots: int,
        now: float,
    ) -> None:
        """Records a submission; a job still open is recorded as resubmitted.

        Args:
            submission: The job.
            slots: The number of slots of the agents in its cohort.
            now: The monotonic clock, in seconds.
        """
        job = submission.job
        if job in self._open:
            self._record(_Kind.RESUBMITTED, job)
            return
        if len(self._open) >= _MAX_OPEN_JOBS:
            del self._open[next(iter(self._open))]
        deadline_ms = (submission.deadline_at - now) * _MS_PER_S
        profile = submission.profile
        tasks = len(submission.payloads)
        action = self._log.start_job(job, profile.name, tasks, now)
        self._open[job] = open_job.OpenJob(
            now, deadline_ms, profile, slots, action
        )
        self._record(
            _Kind.ACCEPTED,
            job,
            profile=profile.name,
            profile_version=profile.version,
            count=tasks,
            deadline_ms=deadline_ms,
        )

    def record_claim(
        self, local: claiming.MemberRef, claim: claiming.Claim, now: float
    ) -> None:
        """Records the owner of a job that the keepers decided on.

        Args:
            local: The reference of this entry.
            claim: The decided claim.
            now: The monotonic clock, in seconds.
        """
        if claim.owner != local:
            self._record(
                _Kind.RESUBMITTED,
                claim.job,
                peer=claim.owner.name,
                epoch=claim.epoch,
            )
            return
        kind = _Kind.CLAIMED if claim.epoch == 1 else _Kind.TAKEN_OVER
        waited_ms = self._read_age_ms(claim.job, now)
        self._record(
            kind,
            claim.job,
            epoch=claim.epoch,
            duration_ms=waited_ms,
            at_ms=waited_ms,
        )

    def record_ready(self, job: str, now: float) -> None:
        """Records that a job's tasks start to wait for agents."""
        known = self._open.get(job)
        if known is not None:
            known.ready_at = now
            known.served_before = self._run_times.copy_totals()

    def record_dispatch(
        self,
        agent: claiming.MemberRef,
        dispatch: dispatching.Dispatch,
        now: float,
    ) -> None:
        """Records that a task was sent to an agent."""
        job = self._open.get(dispatch.attempt.job)
        self._record_attempt(
            _Kind.SENT,
            dispatch.attempt,
            agent,
            now,
            wait_ms=job.read_wait_ms(now) if job else 0.0,
            expected_ms=float(dispatch.size_ms),
        )

    def record_answer(
        self,
        agent: claiming.MemberRef,
        answer: dispatching.Answer,
        now: float,
    ) -> None:
        """Records the answer to a task, and its run and wait times."""
        job = self._open.get(answer.attempt.job)
        if job is not None:
            job.add_run(agent.name, answer.run_ms)
            self._run_times.add(job.profile, answer.run_ms)
            job.last_task = answer.attempt.task
            self._metrics.observe_task(
                job.profile, answer.wait_ms, answer.run_ms
            )
        self._record_attempt(
            _Kind.RECEIVED,
            answer.attempt,
            agent,
            now,
            duration_ms=answer.run_ms,
            wait_ms=answer.wait_ms,
        )

    def record_failure(
        self,
        agent: claiming.MemberRef,
        attempt: dispatching.Attempt,
        failure: failure_lib.Failure,
        now: float,
    ) -> None:
        """Records that an attempt failed or was refused by the agent."""
        job = self._open.get(attempt.job)
        if job is not None:
            self._metrics.count_attempt(job.profile, failure.cause)
        self._record_attempt(
            _Kind.RECEIVED, attempt, agent, now, cause=failure.cause
        )

    def record_agent_lost(
        self, placement: placement_lib.Placement, now: float
    ) -> None:
        """Records an attempt lost because its agent left the directory."""
        self._record(
            _Kind.LOST,
            placement.job,
            task=placement.task,
            attempt=placement.number,
            peer=placement.agent,
            cause=cause_lib.Cause.AGENT_LOST,
            at_ms=self._read_age_ms(placement.job, now),
        )

    def get_action_id(self, job: str) -> str:
        """Returns the id with which an agent continues a job's eliot action."""
        known = self._open.get(job)
        return logs.get_task_id(known.action) if known else ""

    def record_retries(
        self, job: str, tasks: t.Iterable[int], now: float
    ) -> None:
        """Records that tasks are queued for another attempt."""
        at_ms = self._read_age_ms(job, now)
        for task in tasks:
            self._record(_Kind.RETRIED, job, task=task, at_ms=at_ms)

    def record_disconnect(self, job: str, is_awaited: bool, now: float) -> None:
        """Records that a caller disconnected; ends a job nobody waits for.

        Args:
            job: The job's identifier.
            is_awaited: Whether another caller still waits for the job.
            now: The monotonic clock, in seconds.
        """
        self._record(_Kind.CANCELLED, job, at_ms=self._read_age_ms(job, now))
        if not is_awaited:
            self.record_outcome(job, _CANCELLED, now)

    def record_refusal(
        self, submission: job_submission.Submission, now: float
    ) -> None:
        """Records a submission that was refused on arrival."""
        self.record_submission(submission, 0, now)
        self.record_outcome(submission.job, submission.refusal, now)

    def record_outcome(
        self, job: str, outcome: submission_lib.Outcome, now: float
    ) -> None:
        """Records a job's outcome, and creates its incident if it needs one."""
        known = self._open.pop(job, None)
        if known is None:
            return
        elapsed_ms = (now - known.accepted_at) * _MS_PER_S
        ending, cause = _describe(outcome)
        known.finish_action(ending, cause)
        self._record(
            _Kind.FINISHED,
            job,
            profile=known.profile,
            profile_version=known.profile_version,
            ending=ending,
            cause=cause,
            count=known.last_task + 1,
            duration_ms=elapsed_ms,
            at_ms=elapsed_ms,
            expected_ms=known.ideal_ms,
            deadline_ms=known.deadline_ms,
            subject=self._run_times.find_busiest(known),
        )
        ideal_ms = known.ideal_ms

        def count(found: cause_lib.Cause | None) -> None:
            self._metrics.count_outcome(
                known.profile,
                ending,
                found or cause or cause_lib.Cause.ON_TIME,
                elapsed_ms,
                ideal_ms,
            )

        self.event_requests.request_events(job, now, count)

    def _record_attempt(
        self,
        kind: kind_lib.Kind,
        attempt: dispatching.Attempt,
        agent: claiming.MemberRef,
        now: float,
        **details: t.Any,
    ) -> None:
        self._record(
            kind,
            attempt.job,
            task=attempt.task,
            attempt=attempt.number,
            epoch=attempt.epoch,
            peer=agent.name,
            at_ms=self._read_age_ms(attempt.job, now),
            **details,
        )

    def _read_age_ms(self, job: str, now: float) -> float:
        known = self._open.get(job)
        return (now - known.accepted_at) * _MS_PER_S if known else 0.0

    def _record(self, kind: kind_lib.Kind, job: str, **details: t.Any) -> None:
        wall_ms = clock_lib.read_wall_ms()
        self.account.recorder.record(kind, wall_ms, job, **details)


def _describe(
    outcome: submission_lib.Outcome,
) -> tuple[ending_lib.Ending, cause_lib.Cause | None]:
    if isinstance(outcome, failure_lib.Failure):
        return ending_lib.Ending(outcome.outcome), outcome.cause
    return ending_lib.Ending.ANSWERED, None
