"""Stores a ledger's records within bounds of their count and size."""

from __future__ import annotations

import collections
import typing as t

from skylarkcleat.jobs import expiry
from skylarkcleat.jobs import interning
from skylarkcleat.jobs import ledger_record
from skylarkcleat.jobs import retention
from skylarkcleat.protocol import claiming
from skylarkcleat.protocol import dispatching

ANSWER_OVERHEAD_BYTES = 400


class RecordStore:
    """Records of jobs and tasks, indexed by job identifier.

    Attributes:
        forgotten_until_ms: Records of identifiers up to this time, in
            milliseconds since the Unix epoch, may have been dropped.
        record_count: How many jobs and tasks are recorded.
        answer_bytes: The size of the kept answers, with their overhead.
    """

    def __init__(self, max_records: int, max_bytes: int):
        """Creates an empty store.

        Args:
            max_records: The most jobs and tasks to record; the records with
                the oldest identifiers are dropped first.
            max_bytes: The size of the answers to keep, in bytes; the oldest
                are dropped first.
        """
        self.forgotten_until_ms = 0
        self.record_count = 0
        self.answer_bytes = 0
        self._max_records = max_records
        self._max_bytes = max_bytes
        self._jobs: dict[str, ledger_record.JobRecord] = {}
        self._expiry = expiry.ExpiryIndex()
        self._interner = interning.Interner()
        self._kept: collections.deque[dispatching.Answer] = collections.deque()

    def __iter__(self) -> t.Iterator[ledger_record.JobRecord]:
        """Yields the job records."""
        return iter(self._jobs.values())

    def list_jobs(self) -> t.Iterator[tuple[str, ledger_record.JobRecord]]:
        """Yields the jobs' identifiers and records."""
        return iter(self._jobs.items())

    def find_job(self, job: str) -> ledger_record.JobRecord | None:
        """Returns a job's record, or None."""
        return self._jobs.get(job)

    def find_task(self, job: str, task: int) -> ledger_record.TaskRecord | None:
        """Returns a task's record, or None."""
        record = self._jobs.get(job)
        return record.tasks.get(task) if record is not None else None

    def get_or_create_job(
        self, job: str, entry: claiming.MemberRef | None
    ) -> ledger_record.JobRecord:
        """Returns a job's record, creating it if there is none."""
        record = self._jobs.get(job)
        if record is None:
            record = self._jobs[job] = ledger_record.JobRecord(entry)
            self._expiry.add(job)
            self.record_count += 1
        return record

    def put_task(
        self,
        attempt: dispatching.Attempt,
        entry: claiming.MemberRef | None,
    ) -> ledger_record.TaskRecord:
        """Records a new attempt at a task, replacing any earlier one."""
        job = self.get_or_create_job(attempt.job, entry)
        if entry is not None:
            job.entry = self._interner.intern(entry)
        if attempt.task not in job.tasks:
            self.record_count += 1
        record = ledger_record.TaskRecord(attempt)
        job.tasks[attempt.task] = record
        return record

    def may_have_forgotten(self, job: str) -> bool:
        """Returns whether a job's record may have been dropped."""
        return retention.read_time_ms(job) <= self.forgotten_until_ms

    def keep_answer(self, answer: dispatching.Answer) -> None:
        """Counts a recorded answer, and drops the oldest beyond the bound."""
        self._kept.append(answer)
        self.answer_bytes += _size_of(answer)
        while self.answer_bytes > self._max_bytes:
            self._drop(self._kept.popleft())

    def trim(self) -> None:
        """Drops the oldest records until the others are within the bound."""
        while self.record_count > self._max_records:
            self.forgotten_until_ms, jobs = self._expiry.pop_oldest()
            for job in jobs:
                self._forget(job)

    def expire(self, now_ms: int) -> None:
        """Drops the records of jobs whose identifiers have expired."""
        for job in self._expiry.pop_expired(now_ms):
            self._forget(job)
        while self._kept and self._is_stale(self._kept[0]):
            self.answer_bytes -= _size_of(self._kept.popleft())

    def _is_stale(self, answer: dispatching.Answer) -> bool:
        attempt = answer.attempt
        record = self.find_task(attempt.job, attempt.task)
        return record is None or record.reply is not answer

    def _drop(self, answer: dispatching.Answer) -> None:
        self.answer_bytes -= _size_of(answer)
        if self._is_stale(answer):
            return
        record = self.find_task(answer.attempt.job, answer.attempt.task)
        record.state = ledger_record.TaskState.DROPPED
        record.reply = None

    def _forget(self, job: str) -> None:
        record = self._jobs.pop(job)
        self.record_count -= 1 + len(record.tasks)


def _size_of(answer: dispatching.Answer) -> int:
    return ANSWER_OVERHEAD_BYTES + len(answer.body)
