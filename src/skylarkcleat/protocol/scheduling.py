"""Messages of resource-sized jobs, between the fronts.

A front accepts jobs from callers and configurations from operators. The owner
is the front that places every task; another may lead the replicated log.
"""

from __future__ import annotations

import enum
import typing as t

from skylarkcleat.configuration import content
from skylarkcleat.configuration import evacuations
from skylarkcleat.wire import codec


class Step(t.NamedTuple):
    """A group of tasks of one job that have the same requirements.

    Attributes:
        task_count: How many tasks there are.
        cpu: Thousandths of a core that each task takes.
        memory_mb: Memory that each takes, in MB.
        gpu: Accelerators that each takes.
        estimate_ms: A rough estimate of a task's duration, in milliseconds.
        depends_on: Numbers of earlier steps that must be done before it.
        requirement: A label that the runner must have; empty for none.
        data_rack: The rack that holds the tasks' data; empty for none.
        max_per_runner: The most tasks of the step on one runner; 0 for any.
    """

    task_count: int
    cpu: int = 0
    memory_mb: int = 0
    gpu: int = 0
    estimate_ms: int = 0
    depends_on: tuple[int, ...] = ()
    requirement: str = ""
    data_rack: str = ""
    max_per_runner: int = 0


class Job(t.NamedTuple):
    """A job as a caller submits it.

    Attributes:
        id: Sixteen hexadecimal digits that the caller chose.
        spec: What the tasks run.
        steps: The tasks.
        unsupported: A property that the job asks for and that this version
            does not serve; empty if there is none.
    """

    id: str
    spec: str
    steps: tuple[Step, ...]
    unsupported: str = ""


class Verdict(enum.StrEnum):
    """The result of a request that a front sent to the owner."""

    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"
    QUEUED = "queued"
    RUNNING = "running"
    COUNTED = "counted"
    ACCEPTED = "accepted"
    INVALID = "invalid"
    UNKNOWN_QUEUE = "unknown-queue"
    UNKNOWN_JOB = "unknown-job"
    NOT_RUN = "not-run"
    UNCERTAIN = "uncertain"
    NOT_OWNER = "not-owner"


class Submit(t.NamedTuple):
    """Submits a job to the owner on behalf of a caller.

    Attributes:
        request: The front's number for the request.
        host: The caller's host.
        path: The path up to the job's id.
        job: The job.
        waited_ms: How long ago the caller sent it, in milliseconds.
        max_wait_ms: How long the caller waits for an answer, in milliseconds.
        term: The term of the owner that it is meant for.
        previous_term: The term of the owner that may have started tasks of
            the job; 0 if the job was sent to no owner before.
        previous_expires_in_ms: Time until none of that owner's tasks can run
            any more, in milliseconds.
        earlier_expires_in_ms: The same for all owners that the job was sent
            to before that one.
        queue: The queue to which it was first sent, if it was sent before: it
            stays in that queue if the configuration has lost it since.
        heartbeat_at: `sent_at` of the owner's last heartbeat that the front
            had handled; 0 if it had handled none.
        since_heartbeat_ms: How long ago it had, in milliseconds.
    """

    request: int
    host: str
    path: str
    job: Job
    waited_ms: int
    max_wait_ms: int
    term: int
    previous_term: int = 0
    previous_expires_in_ms: int = 0
    earlier_expires_in_ms: int = 0
    queue: content.Queue | None = None
    heartbeat_at: float = 0.0
    since_heartbeat_ms: int = 0

    @property
    def was_sent(self) -> bool:
        """Whether a previous owner may have started tasks of the job."""
        return self.previous_term > 0

    def find_transit_s(self, now: float) -> float:
        """Returns how long ago the front sent it at most, in seconds.

        It was sent after the owner's own heartbeat, by the time that the front
        had had it: no two clocks are compared, and what has waited in sockets
        and queues counts.

        Args:
            now: The owner's clock, in seconds.
        """
        if not self.heartbeat_at:
            return 0.0
        sent_at = self.heartbeat_at + self.since_heartbeat_ms / 1000
        return max(0.0, now - sent_at)


class Abandon(t.NamedTuple):
    """Reports that the caller of a submission has disconnected."""

    request: int


@codec.sent_as("Ask")
class JobRequest(t.NamedTuple):
    """Queries a queue or a job, or cancels a job.

    Attributes:
        request: The front's number for the request.
        host: The caller's host.
        path: The path up to the job's id.
        job: The job's id; empty to count the queue's waiting jobs.
        cancel: Whether to cancel the job.
        term: The term of the owner that it is meant for.
    """

    request: int
    host: str
    path: str
    job: str
    cancel: bool
    term: int


class PutConfiguration(t.NamedTuple):
    """Submits a validated configuration to the log's leader.

    Attributes:
        request: The front's number for the request.
        version: The configuration's version.
        content: The configuration, encoded.
    """

    request: int
    version: int
    content: bytes


class ReadConfiguration(t.NamedTuple):
    """Asks the log's leader for the newest configuration."""

    request: int


class ReadEvacuations(t.NamedTuple):
    """Asks the log's leader for the evacuations."""

    request: int


class PutEvacuation(t.NamedTuple):
    """Submits an operator's order for a zone to the log's leader.

    Attributes:
        request: The front's number for the request.
        order: The order.
    """

    request: int
    order: evacuations.Order


class Reply(t.NamedTuple):
    """Answers a front's request.

    Attributes:
        request: The front's number for the request.
        verdict: The result.
        detail: The reason, for a log line.
        retry_after_ms: When the caller should retry, in milliseconds; 0 if
            unknown.
        count: The waiting jobs that were counted.
        content: The configuration or the evacuations that were read, encoded.
        version: The version of the configuration that decided it; 0 if none
            did.
    """

    request: int
    verdict: Verdict
    detail: str = ""
    retry_after_ms: int = 0
    count: int = 0
    content: bytes = b""
    version: int = 0


LogMessage = (
    PutConfiguration | ReadConfiguration | ReadEvacuations | PutEvacuation
)
FrontMessage = Submit | Abandon | JobRequest | LogMessage | Reply
