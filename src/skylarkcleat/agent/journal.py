"""Records attempts on an agent as events, metrics and log actions."""

from __future__ import annotations

import typing as t

import eliot

from skylarkcleat import clock as clock_lib
from skylarkcleat import logs
from skylarkcleat.metrics import metrics as metrics_lib
from skylarkcleat.model import failure as failure_lib
from skylarkcleat.protocol import claiming
from skylarkcleat.protocol import dispatching
from skylarkcleat.protocol import fencing
from skylarkcleat.timeline import account as account_lib
from skylarkcleat.timeline import kind as kind_lib

_Kind = kind_lib.Kind


class AgentJournal:
    """Records the events of attempts and counts their results."""

    def __init__(
        self,
        account: account_lib.Account,
        metrics: metrics_lib.Metrics,
        log: logs.Log,
    ) -> None:
        """Initializes the journal.

        Args:
            account: The agent's recorded events and incidents.
            metrics: The agent's metrics.
            log: The agent's log.
        """
        self.account = account
        self._log = log
        self._actions: dict[dispatching.Attempt, eliot.Action] = {}
        self._metrics = metrics

    def record_queued(
        self,
        entry: claiming.MemberRef,
        dispatch: dispatching.Dispatch,
        ahead: int,
        subject: str,
    ) -> None:
        """Records that an attempt was queued.

        Args:
            entry: The sender.
            dispatch: The attempt.
            ahead: The number of tasks queued before it.
            subject: The profile with the longest queue; empty if none.
        """
        self._record(
            _Kind.QUEUED,
            dispatch.attempt,
            peer=entry.name,
            profile=dispatch.profile,
            profile_version=dispatch.profile_version,
            count=ahead,
            subject=subject,
        )

    def record_start(
        self, dispatch: dispatching.Dispatch, wait_ms: float
    ) -> None:
        """Records that an attempt started, and opens its log action."""
        action = self._log.continue_job(dispatch.action, dispatch.attempt.job)
        if action is not None:
            self._actions[dispatch.attempt] = action
        self._record(
            _Kind.STARTED,
            dispatch.attempt,
            profile=dispatch.profile,
            profile_version=dispatch.profile_version,
            duration_ms=wait_ms,
        )

    def record_answer(
        self, dispatch: dispatching.Dispatch, run_ms: float
    ) -> None:
        """Records a runner's answer."""
        self._finish_action(dispatch.attempt, "answered")
        self._metrics.count_attempt(dispatch.profile, None)
        self._record(_Kind.ANSWERED, dispatch.attempt, duration_ms=run_ms)

    def record_failure(
        self,
        dispatch: dispatching.Dispatch,
        failure: failure_lib.Failure,
        run_ms: float,
    ) -> None:
        """Records that a started attempt ended without an answer."""
        self._finish_action(dispatch.attempt, failure.cause.value)
        self._metrics.count_attempt(dispatch.profile, failure.cause)
        self._record(
            _Kind.BROKEN,
            dispatch.attempt,
            cause=failure.cause,
            duration_ms=run_ms,
        )

    def record_refusal(
        self, attempt: dispatching.Attempt, failure: failure_lib.Failure
    ) -> None:
        """Records that an attempt was refused and will never start."""
        self._finish_action(attempt, failure.cause.value)
        self._record(_Kind.REFUSED, attempt, cause=failure.cause)

    def record_revoked(self, attempts: t.Iterable[dispatching.Attempt]) -> None:
        """Records attempts that were revoked while queued."""
        for attempt in attempts:
            self._record(_Kind.REVOKED, attempt)

    def record_fenced(
        self, entry: claiming.MemberRef, fence: fencing.Fence
    ) -> None:
        """Records that another entry took over a job."""
        self.account.recorder.record(
            _Kind.FENCED,
            clock_lib.read_wall_ms(),
            fence.job,
            epoch=fence.epoch,
            peer=entry.name,
        )

    def record_lost_jobs(self, entry: str, jobs: t.Iterable[str]) -> None:
        """Records jobs that were unfinished when their entry departed."""
        for job in jobs:
            self.account.close_lost(
                job,
                entry,
                clock_lib.read_wall_ms(),
                clock_lib.read_monotonic(),
            )

    def _finish_action(self, attempt: dispatching.Attempt, result: str) -> None:
        action = self._actions.pop(attempt, None)
        if action is not None:
            action.add_success_fields(task=attempt.task, result=result)
            action.finish()

    def _record(
        self,
        kind: kind_lib.Kind,
        attempt: dispatching.Attempt,
        **details: t.Any,
    ) -> None:
        self.account.recorder.record(
            kind,
            clock_lib.read_wall_ms(),
            attempt.job,
            task=attempt.task,
            attempt=attempt.number,
            epoch=attempt.epoch,
            **details,
        )
