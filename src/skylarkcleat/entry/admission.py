"""Admission: decides whether the entry runs what a caller submits."""

from __future__ import annotations

import random

from skylarkcleat.directory import subscription as subscription_lib
from skylarkcleat.dispatch import dispatcher as dispatcher_lib
from skylarkcleat.dispatch import work as work_lib
from skylarkcleat.entry import request as request_lib
from skylarkcleat.entry import submission as submission_lib
from skylarkcleat.jobs import cohort as cohort_lib
from skylarkcleat.jobs import submission as job_submission
from skylarkcleat.model import cause as cause_lib
from skylarkcleat.model import failure as failure_lib
from skylarkcleat.model import profile as profile_lib
from skylarkcleat.protocol import claiming

_STEP = "accept"
_MS_PER_S = 1000
_Cause = cause_lib.Cause


class Admission:
    """Creates job submissions and decides which of them are refused.

    A refused submission carries the failure to return to the caller.
    """

    def __init__(
        self,
        name: str,
        subscription: subscription_lib.Subscription,
        dispatcher: dispatcher_lib.Dispatcher,
        max_jobs: int,
        rng: random.Random,
    ) -> None:
        """Initializes an admission that accepts new work.

        Args:
            name: The entry's member name.
            subscription: The entry's copy of the directory.
            dispatcher: Lists the usable agents and estimates queueing time.
            max_jobs: The most jobs in flight; further ones are refused as
                overloaded.
            rng: Selects the cohort where there are more agents than it holds.
        """
        self._name = name
        self._subscription = subscription
        self._dispatcher = dispatcher
        self._max_jobs = max_jobs
        self._rng = rng
        self._is_closed = False

    @property
    def is_closed(self) -> bool:
        """Whether the entry refuses new work because it is stopping."""
        return self._is_closed

    def is_ready(self) -> bool:
        """Returns whether load balancers should route callers to this entry.

        An entry that control doesn't list yet is not ready: nobody would learn
        of its loss.
        """
        return not self._is_closed and self._subscription.is_taking_part()

    def close(self) -> None:
        """Refuses all new work from now on."""
        self._is_closed = True

    def create_submission(
        self, submit: submission_lib.Submit, jobs: int, now: float
    ) -> job_submission.Submission:
        """Returns the submission to the job protocol for a caller's work.

        Args:
            submit: The job that the caller submits.
            jobs: The number of jobs in flight.
            now: The monotonic clock, in seconds.
        """
        work = submit.work
        profile = self._subscription.view.profiles.get(work.profile)
        known = profile or profile_lib.Profile(work.profile, 0, ())
        wait_ms = work.deadline_ms or known.deadline_ms
        deadline_at = now + wait_ms / _MS_PER_S
        refusal = self._check_state(work, profile, jobs)
        if refusal is None:
            refusal = self._check_load(submit, known, deadline_at, now)
        return job_submission.Submission(
            job=submit.job.text,
            digest=submission_lib.digest_work(work),
            caller=submit.caller,
            profile=known,
            payloads=work.payloads,
            cohort=self.choose_cohort(known, len(work.payloads), now),
            deadline_at=deadline_at,
            repeatable=work.single and known.idempotent,
            traceparent=submit.traceparent,
            refusal=refusal,
            is_new=submit.is_new,
            sizes_ms=work.sizes_ms,
        )

    def choose_cohort(
        self, profile: profile_lib.Profile, tasks: int, now: float
    ) -> tuple[claiming.MemberRef, ...]:
        """Returns a cohort, the agents that a job's tasks may be sent to.

        Args:
            profile: The job's profile.
            tasks: The number of its tasks.
            now: The monotonic clock, in seconds.
        """
        agents = self._dispatcher.list_agents(profile, now)
        refs = [
            claiming.MemberRef(agent.name, agent.incarnation)
            for agent in agents
        ]
        return cohort_lib.choose_cohort(refs, tasks, self._rng)

    def _check_state(
        self,
        work: request_lib.Work,
        profile: profile_lib.Profile | None,
        jobs: int,
    ) -> failure_lib.Failure | None:
        if self._is_closed:
            return self._create_refusal(
                _Cause.DRAINING, "the entry is stopping"
            )
        if not self._subscription.is_in_force():
            return self._create_refusal(
                _Cause.CONFIGURATION_STALE,
                "the entry lost contact with a control majority for too long",
            )
        if profile is None:
            return self._create_refusal(
                _Cause.UNKNOWN_PROFILE,
                f"profile {work.profile!r} does not exist",
            )
        if jobs >= self._max_jobs:
            return self._create_refusal(
                _Cause.OVERLOADED, f"{jobs} jobs are in flight at the entry"
            )
        return None

    def _check_load(
        self,
        submit: submission_lib.Submit,
        profile: profile_lib.Profile,
        deadline_at: float,
        now: float,
    ) -> failure_lib.Failure | None:
        work = work_lib.Work(
            job=submit.job.text,
            profile=profile,
            tasks=len(submit.work.payloads),
            sizes_ms=submit.work.sizes_ms,
            deadline_at=deadline_at,
        )
        return self._dispatcher.check(work, now)

    def _create_refusal(
        self, cause: cause_lib.Cause, detail: str
    ) -> failure_lib.Failure:
        return failure_lib.Failure(
            failure_lib.Outcome.NOT_RUN, cause, _STEP, self._name, detail
        )
