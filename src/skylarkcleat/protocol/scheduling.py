"""Messages of resource-sized jobs: between fronts, the owner and sides.

A front takes jobs from callers. The owner is the front that leads the
replicated log; it places every task. A side process stands beside a runner
and is the only one that talks to it.
"""

from __future__ import annotations

import enum
import typing as t

from skylarkcleat.wire import codec


class Step(t.NamedTuple):
    """Tasks of one job that are alike.

    Attributes:
        task_count: How many tasks there are.
        cpu: Thousandths of a core that each task takes.
        memory_mb: Memory that each takes, in MB.
        gpu: Accelerators that each takes.
        estimate_ms: A rough estimate of a task's duration, in milliseconds.
        depends_on: Numbers of earlier steps that must be done first.
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
    """What a caller submits.

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
    """What became of a request that a front passed to the owner."""

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
    """A front hands in a job.

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
    """The caller of a submission has gone."""

    request: int


@codec.sent_as("Ask")
class JobRequest(t.NamedTuple):
    """A front asks about a queue or a job, or cancels a job.

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
    """A front hands in a checked configuration.

    Attributes:
        request: The front's number for the request.
        version: The configuration's version.
        content: The configuration, encoded.
    """

    request: int
    version: int
    content: bytes


class ReadConfiguration(t.NamedTuple):
    """A front asks for the newest configuration."""

    request: int


class Reply(t.NamedTuple):
    """Answers a front's request.

    Attributes:
        request: The front's number for the request.
        verdict: What became of it.
        detail: Why, for a log line.
        retry_after_ms: When the caller had better come back; 0 if unknown.
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
    """What a runner says of itself.

    Attributes:
        id: Its name.
        born_ms: When this life of it began, in Unix milliseconds.
        upstream: The upstream whose tasks it runs.
        cpu: Its capacity, in thousandths of a core.
        memory_mb: Its memory, in MB.
        gpu: Its accelerators.
        labels: Its kind and its rack.
        draining: Whether it takes no new tasks.
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
    """A side process asks the owner for a lease.

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
    """The owner gives a side process a lease.

    Attributes:
        epoch: The fencing token of all orders under the lease.
        sent_at: The clock of the request; the lease counts from then on.
    """

    epoch: int
    sent_at: float


class Run(t.NamedTuple):
    """A task that runs on a runner.

    Attributes:
        task: The task's name.
        run: The number of the run.
        cpu: Thousandths of a core that it takes; -1 if that is not known.
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
        number: Rises with each end on one life of a runner.
        task: The task's name.
        run: The number of the run.
        ending: How it ended.
    """

    number: int
    task: str
    run: int
    ending: Ending


class Report(t.NamedTuple):
    """All that a runner runs, after it refuses every older epoch.

    Attributes:
        epoch: The lease that it is sent under.
        running: What runs.
        ends: What ended and was not noted yet.
    """

    epoch: int
    running: tuple[Run, ...]
    ends: tuple[End, ...]


class Renew(t.NamedTuple):
    """A side process asks to keep its lease.

    Attributes:
        epoch: The lease.
        sent_at: The side process's clock, in seconds.
        runner: Its runner, as it last reported.
    """

    epoch: int
    sent_at: float
    runner: Runner | None


class Renewed(t.NamedTuple):
    """The owner prolongs a lease from `sent_at` on."""

    epoch: int
    sent_at: float


class Unregistered(t.NamedTuple):
    """The owner knows no such lease: the side process must register."""

    epoch: int


class Start(t.NamedTuple):
    """The owner orders a task's start.

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
    """The owner takes over a run that was ordered under a former lease.

    Without it the run is stopped when the former lease ends, since its former
    owner may then start the task elsewhere.
    """

    epoch: int
    task: str
    run: int


class Stop(t.NamedTuple):
    """The owner orders the end of a run."""

    epoch: int
    task: str
    run: int


class NotStarted(t.NamedTuple):
    """A run that was ordered has not started and never will.

    Attributes:
        epoch: The lease.
        task: The task's name.
        run: The number of the run.
        reason: Why, for a log line.
    """

    epoch: int
    task: str
    run: int
    reason: str


class Ended(t.NamedTuple):
    """Runs that ended."""

    epoch: int
    ends: tuple[End, ...]


@codec.sent_as("Noted")
class EndsAcknowledged(t.NamedTuple):
    """The owner has taken note of all ends up to a number."""

    epoch: int
    number: int


@codec.sent_as("RunnerSilent")
class RunnerUnresponsive(t.NamedTuple):
    """The runner has stopped answering, or answers again.

    Attributes:
        epoch: The lease.
        is_unresponsive: Whether it does not answer; what runs there may go on.
    """

    epoch: int
    is_unresponsive: bool


class RunnerLost(t.NamedTuple):
    """The runner does not answer, and whatever ran on it has lapsed."""

    epoch: int


LogMessage = PutConfiguration | ReadConfiguration
FrontMessage = Submit | Abandon | JobRequest | LogMessage | Reply
SideMessage = (
    Register
    | Grant
    | Report
    | Renew
    | Renewed
    | Unregistered
    | Start
    | Adopt
    | Stop
    | NotStarted
    | Ended
    | EndsAcknowledged
    | RunnerUnresponsive
    | RunnerLost
)
