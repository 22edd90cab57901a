"""Messages of resource-sized jobs: between fronts, the owner and sides.

A front accepts jobs from callers. The owner is the front that leads the
replicated log; it places every task. A side process runs beside one runner
and is the only process that connects to it.
"""

from __future__ import annotations

import enum
import typing as t

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

    @property
    def was_sent(self) -> bool:
        """Whether a previous owner may have started tasks of the job."""
        return self.previous_term > 0


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


class Reply(t.NamedTuple):
    """Answers a front's request.

    Attributes:
        request: The front's number for the request.
        verdict: The result.
        detail: The reason, for a log line.
        retry_after_ms: When the caller should retry, in milliseconds; 0 if
            unknown.
        count: The waiting jobs that were counted.
        content: The configuration that was read, encoded.
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


class Runner(t.NamedTuple):
    """A runner's identity and capacity, as it reports them.

    Attributes:
        id: Its name.
        born_ms: When its current incarnation started, in Unix milliseconds.
        upstream: The upstream whose tasks it runs.
        cpu: Its capacity, in thousandths of a core.
        memory_mb: Its memory, in MB.
        gpu: Its accelerators.
        labels: Labels for its type and its rack.
        draining: Whether it accepts no new tasks.
    """

    id: str
    born_ms: int
    upstream: str
    cpu: int
    memory_mb: int
    gpu: int
    labels: tuple[str, ...]
    draining: bool


class Register(t.NamedTuple):
    """Asks the owner for a lease on behalf of a side process.

    Attributes:
        side: The side process's name.
        zone: Its availability zone.
        epoch: The fencing token of the lease; larger than any before on the
            same runner.
        runner: Its runner; None until the runner has reported.
        sent_at: The side process's clock, in seconds.
    """

    side: str
    zone: str
    epoch: int
    runner: Runner | None
    sent_at: float


class Grant(t.NamedTuple):
    """Grants a side process a lease.

    Attributes:
        epoch: The fencing token of all orders under the lease.
        sent_at: `sent_at` of the request, from which the lease is counted.
    """

    epoch: int
    sent_at: float


class Run(t.NamedTuple):
    """A task that runs on a runner.

    Attributes:
        task: The task's name.
        run: The number of the run.
        cpu: Thousandths of a core that it takes; -1 if unknown.
        memory_mb: Memory that it takes, in MB.
        gpu: Accelerators that it takes.
    """

    task: str
    run: int
    cpu: int
    memory_mb: int
    gpu: int


class Ending(enum.StrEnum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


class End(t.NamedTuple):
    """The end of a run.

    Attributes:
        number: Rises with each end during one incarnation of a runner.
        task: The task's name.
        run: The number of the run.
        ending: How it ended.
    """

    number: int
    task: str
    run: int
    ending: Ending


class Report(t.NamedTuple):
    """Everything that a runner runs, once it refuses all earlier epochs.

    Attributes:
        epoch: The lease that it is sent under.
        running: The runs in progress.
        ends: The ends that the owner has not acknowledged.
    """

    epoch: int
    running: tuple[Run, ...]
    ends: tuple[End, ...]


class Renew(t.NamedTuple):
    """Asks the owner to renew a lease.

    Attributes:
        epoch: The lease.
        sent_at: The side process's clock, in seconds.
        runner: Its runner, as it last reported.
    """

    epoch: int
    sent_at: float
    runner: Runner | None


class Renewed(t.NamedTuple):
    """Renews a lease, counted from `sent_at` of the request."""

    epoch: int
    sent_at: float


class Unregistered(t.NamedTuple):
    """Reports an unknown or outdated lease.

    The side process has to register again, and then to report its runs.
    """

    epoch: int


class Start(t.NamedTuple):
    """Orders the start of a task.

    Attributes:
        epoch: The lease.
        task: The task's name.
        run: The number of the run.
        spec: What the task runs.
        cpu: Thousandths of a core that it takes.
        memory_mb: Memory that it takes, in MB.
        gpu: Accelerators that it takes.
    """

    epoch: int
    task: str
    run: int
    spec: str
    cpu: int
    memory_mb: int
    gpu: int


@codec.sent_as("Keep")
class Adopt(t.NamedTuple):
    """Adopts a run that was ordered under a previous lease.

    A run that no owner adopts is stopped when the previous lease expires,
    since the previous owner may then start the task elsewhere.
    """

    epoch: int
    task: str
    run: int


class Stop(t.NamedTuple):
    """Orders a side process to stop a run."""

    epoch: int
    task: str
    run: int


class NotStarted(t.NamedTuple):
    """Reports that an ordered run has not started and never will.

    Attributes:
        epoch: The lease.
        task: The task's name.
        run: The number of the run.
        reason: The reason, for a log line.
    """

    epoch: int
    task: str
    run: int
    reason: str


class Ended(t.NamedTuple):
    """Reports runs that ended."""

    epoch: int
    ends: tuple[End, ...]


@codec.sent_as("Noted")
class EndsAcknowledged(t.NamedTuple):
    """Acknowledges all ends up to a number."""

    epoch: int
    number: int


@codec.sent_as("RunnerSilent")
class RunnerUnresponsive(t.NamedTuple):
    """Reports that a runner has become unresponsive, or answers again.

    Attributes:
        epoch: The lease.
        is_unresponsive: Whether it does not answer; its runs may continue.
    """

    epoch: int
    is_unresponsive: bool


UNANSWERED = "unanswered"
"""The reason of `NotStarted` for a run whose start got no answer and whose
runner was lost."""


class RunnerLost(t.NamedTuple):
    """Reports an unresponsive runner all of whose runs have expired.

    Attributes:
        epoch: The lease.
        runs: The runs that are known to have started there. A start that got
            no answer is not among them, and is answered by itself.
    """

    epoch: int
    runs: tuple[Run, ...] = ()


SideReport = Report | Ended | NotStarted | RunnerUnresponsive | RunnerLost
"""What a side process tells its owner of its runner and of the runs there."""

LogMessage = PutConfiguration | ReadConfiguration
FrontMessage = Submit | Abandon | JobRequest | LogMessage | Reply
SideMessage = (
    Register
    | Grant
    | Renew
    | Renewed
    | Unregistered
    | Start
    | Adopt
    | Stop
    | EndsAcknowledged
    | SideReport
)
