"""Records what one agent incarnation has started, refused and answered.

Each start is recorded before it happens. Each refusal leaves a record, so that
a delayed copy of the same dispatch is refused too. Records are dropped only by
the time in the job's identifier, oldest first. A job from a time whose records
were dropped is neither started nor reported as not run.
"""

from __future__ import annotations

from skylarkcleat.jobs import fence_report
from skylarkcleat.jobs import id_check
from skylarkcleat.jobs import ledger_record
from skylarkcleat.jobs import record_store
from skylarkcleat.jobs import revocation
from skylarkcleat.model import cause as cause_lib
from skylarkcleat.model import failure as failure_lib
from skylarkcleat.protocol import claiming
from skylarkcleat.protocol import dispatching
from skylarkcleat.protocol import fencing

FENCE_STEP = "fence"
DEFAULT_MAX_RECORDS = 120_000
DEFAULT_MAX_BYTES = 16 << 20

_State = ledger_record.TaskState
_Outcome = failure_lib.Outcome
_Cause = cause_lib.Cause


class Ledger:
    """The records of one agent incarnation.

    Attributes:
        agent: The incarnation.
        store: The records.
    """

    def __init__(
        self,
        agent: claiming.MemberRef,
        max_records: int = DEFAULT_MAX_RECORDS,
        max_bytes: int = DEFAULT_MAX_BYTES,
    ):
        """Creates an empty ledger.

        Args:
            agent: The incarnation.
            max_records: The most jobs and tasks to record.
            max_bytes: The size of the answers to keep, in bytes.
        """
        self.agent = agent
        self.store = record_store.RecordStore(max_records, max_bytes)
        self._ids = id_check.IdCheck(agent.name, self.store)

    def admit(
        self,
        dispatch: dispatching.Dispatch,
        entry: claiming.MemberRef,
        now_ms: int,
    ) -> ledger_record.Admitted | ledger_record.Duplicate | failure_lib.Failure:
        """Decides whether an attempt may be queued.

        Args:
            dispatch: The entry's message.
            entry: The entry that sent it and gets the replies.
            now_ms: The wall clock, in milliseconds since the Unix
                epoch.

        Returns:
            `Admitted` if the attempt is to be queued now; `Duplicate` if it
            is already queued or started; a failure otherwise, with outcome
            `NOT_RUN` only if no copy of the attempt can ever start.
        """
        attempt = dispatch.attempt
        if dispatch.incarnation != self.agent.incarnation:
            return self._create_failure(
                _Outcome.UNKNOWN,
                _Cause.AGENT_LOST,
                "the dispatch is for incarnation "
                f"{dispatch.incarnation} of {self.agent.name}",
            )
        self._ids.advance_clock(now_ms)
        failure = self._ids.find_failure(attempt.job)
        if failure is not None:
            return failure
        record = self.store.find_task(attempt.job, attempt.task)
        if record is not None and not record.may_be_followed_by(dispatch):
            return self._handle_duplicate(record, attempt, entry)
        job = self.store.find_job(attempt.job)
        if job is not None and attempt.epoch < job.fence:
            return self._create_failure(
                _Outcome.NOT_RUN,
                _Cause.ENTRY_LOST,
                f"job {attempt.job} was taken over at epoch {job.fence}",
                FENCE_STEP,
            )
        return self._queue(attempt, entry)

    def start(self, attempt: dispatching.Attempt) -> failure_lib.Failure | None:
        """Records the start of a queued attempt.

        Returns:
            None if it is to be started now; otherwise why it must not be.
        """
        record = self.store.find_task(attempt.job, attempt.task)
        if record is not None and record.is_queued_as(attempt):
            record.state = _State.RUNNING
            return None
        is_proved = record is not None and record.progress is None
        return self._create_failure(
            _Outcome.NOT_RUN if is_proved else _Outcome.UNKNOWN,
            _Cause.CANCELLED,
            f"task {attempt.task} of job {attempt.job} is no longer queued",
        )

    def find_entry(
        self, attempt: dispatching.Attempt
    ) -> claiming.MemberRef | None:
        """Returns the entry that gets the replies to an attempt, if known."""
        job = self.store.find_job(attempt.job)
        return job.entry if job is not None else None

    def record_answer(
        self, answer: dispatching.Answer
    ) -> claiming.MemberRef | None:
        """Records and keeps the answer of a running attempt.

        Returns:
            The entry to send it to; None if the record was dropped.
        """
        entry = self._record_end(answer.attempt, _State.ANSWERED, answer)
        if entry is not None:
            self.store.keep_answer(answer)
        return entry

    def record_attempt_failure(
        self, attempt_failure: dispatching.AttemptFailure
    ) -> claiming.MemberRef | None:
        """Records that a running attempt ended without an answer.

        Returns:
            The entry to send it to; None if the record was dropped.
        """
        return self._record_end(
            attempt_failure.attempt, _State.BROKEN, attempt_failure
        )

    def refuse(
        self, attempt: dispatching.Attempt, failure: failure_lib.Failure
    ) -> claiming.MemberRef | None:
        """Refuses a queued attempt permanently.

        Args:
            attempt: The attempt; the caller removes it from its queue.
            failure: The reason, with outcome `NOT_RUN`.

        Returns:
            The entry to send the refusal to; None if the attempt was not
            recorded as queued and must not be reported as refused.
        """
        return self._refuse_in_state(attempt, _State.QUEUED, failure)

    def record_unreached(
        self, attempt: dispatching.Attempt, failure: failure_lib.Failure
    ) -> claiming.MemberRef | None:
        """Refuses permanently an attempt that never reached the runner.

        Args:
            attempt: A running attempt for which no connection was opened.
            failure: The reason, with outcome `NOT_RUN`.

        Returns:
            The entry to send the refusal to; None if the record was dropped.
        """
        return self._refuse_in_state(attempt, _State.RUNNING, failure)

    def revoke(
        self, revoke: dispatching.Revoke, now_ms: int
    ) -> tuple[dispatching.Attempt, ...]:
        """Refuses permanently the named tasks that have not started.

        Tasks that have not arrived yet are refused too, since the message may
        overtake their dispatch.

        Args:
            revoke: The owner's message; an empty list of tasks means all
                recorded tasks of the job.
            now_ms: The wall clock, in milliseconds since the Unix
                epoch.

        Returns:
            The attempts refused now or earlier, to be named in the reply and
            removed from the queue.
        """
        self._ids.advance_clock(now_ms)
        if self._ids.find_failure(revoke.job) is not None:
            return ()
        revoked = revocation.revoke(self.store, revoke, self.agent.name)
        self.store.trim()
        return revoked

    def list_open_jobs(self, entry: claiming.MemberRef) -> list[str]:
        """Returns the jobs of an entry with queued or running tasks."""
        return [
            job
            for job, record in self.store.list_jobs()
            if record.entry == entry and record.has_open_tasks
        ]

    def revoke_queued_by(
        self, entry: claiming.MemberRef
    ) -> tuple[dispatching.Attempt, ...]:
        """Refuses permanently, and returns, the queue of a departed entry."""
        return revocation.revoke_queued_by(self.store, entry, self.agent.name)

    def fence(
        self,
        fence: fencing.Fence,
        entry: claiming.MemberRef,
        now_ms: int,
    ) -> ledger_record.Fenced | None:
        """Refuses a job's lower epochs and reports its started tasks.

        Args:
            fence: The new owner's message.
            entry: The new owner, which gets all replies from now on.
            now_ms: The wall clock, in milliseconds since the Unix
                epoch.

        Returns:
            The report, the kept answers and the revoked attempts; None if the
            fence is for another incarnation.
        """
        if fence.incarnation != self.agent.incarnation:
            return None
        self._ids.advance_clock(now_ms)
        if self._ids.find_failure(fence.job) is not None:
            return fence_report.create_forgotten(fence, self.agent)
        job = self.store.get_or_create_job(fence.job, entry)
        fenced = fence_report.fence_job(job, fence, entry, self.agent)
        self.store.trim()
        return fenced

    def expire(self, now_ms: int) -> None:
        """Drops the records of jobs whose identifiers have expired."""
        self.store.expire(self._ids.advance_clock(now_ms))

    def _create_failure(
        self,
        outcome: failure_lib.Outcome,
        cause: cause_lib.Cause,
        detail: str,
        step: str = "dispatch",
    ) -> failure_lib.Failure:
        return failure_lib.Failure(
            outcome, cause, step, self.agent.name, detail
        )

    def _handle_duplicate(
        self,
        record: ledger_record.TaskRecord,
        attempt: dispatching.Attempt,
        entry: claiming.MemberRef,
    ) -> ledger_record.Duplicate | failure_lib.Failure:
        if record.state is _State.REFUSED:
            return record.reply
        job = self.store.find_job(attempt.job)
        if attempt.epoch >= job.fence:
            job.entry = entry
        return ledger_record.Duplicate(attempt, record.state, record.reply)

    def _queue(
        self, attempt: dispatching.Attempt, entry: claiming.MemberRef
    ) -> ledger_record.Admitted | failure_lib.Failure:
        self.store.put_task(attempt, entry)
        self.store.trim()
        failure = self._ids.find_failure(attempt.job)
        return failure or ledger_record.Admitted(attempt)

    def _find_in_state(
        self, attempt: dispatching.Attempt, state: ledger_record.TaskState
    ) -> ledger_record.TaskRecord | None:
        record = self.store.find_task(attempt.job, attempt.task)
        is_found = record is not None and record.attempt == attempt
        return record if is_found and record.state is state else None

    def _refuse_in_state(
        self,
        attempt: dispatching.Attempt,
        state: ledger_record.TaskState,
        failure: failure_lib.Failure,
    ) -> claiming.MemberRef | None:
        record = self._find_in_state(attempt, state)
        if record is None:
            return None
        record.refuse(attempt, failure)
        return self.find_entry(attempt)

    def _record_end(
        self,
        attempt: dispatching.Attempt,
        state: ledger_record.TaskState,
        reply: dispatching.Answer | dispatching.AttemptFailure,
    ) -> claiming.MemberRef | None:
        record = self._find_in_state(attempt, _State.RUNNING)
        if record is None:
            return None
        record.state = state
        record.reply = reply
        return self.find_entry(attempt)
