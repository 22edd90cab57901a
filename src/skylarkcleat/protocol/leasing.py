"""Messages between an owner of jobs and the side processes.

A side process runs beside one runner and is the only process that connects to
it. It holds a lease from the owner, which orders it to start and stop runs.
"""

from __future__ import annotations

import enum
import typing as t

from skylarkcleat.wire import codec


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
        cold_ms: How much longer it is slow after its start, in milliseconds.
    """

    id: str
    born_ms: int
    upstream: str
    cpu: int
    memory_mb: int
    gpu: int
    labels: tuple[str, ...]
    draining: bool
    cold_ms: int = 0


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


class StartTasks(t.NamedTuple):
    """Orders the start of several tasks that differ in their names only.

    Attributes:
        epoch: The lease.
        spec: What the tasks run.
        cpu: Thousandths of a core that each takes.
        memory_mb: Memory that each takes, in MB.
        gpu: Accelerators that each takes.
        runs: The tasks' names, each with the number of the run.
    """

    epoch: int
    spec: str
    cpu: int
    memory_mb: int
    gpu: int
    runs: tuple[tuple[str, int], ...]

    def list_orders(self) -> list[Start]:
        """Returns the order of each task."""
        return [
            Start(
                self.epoch,
                task,
                run,
                self.spec,
                self.cpu,
                self.memory_mb,
                self.gpu,
            )
            for task, run in self.runs
        ]


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


@codec.sent_as("Noted")
class EndsAcknowledged(t.NamedTuple):
    """Acknowledges all ends up to a number."""

    epoch: int
    number: int


LeaseMessage = (
    Register
    | Grant
    | Renew
    | Renewed
    | Unregistered
    | Start
    | StartTasks
    | Adopt
    | Stop
    | EndsAcknowledged
)
"""What is sent about leases and under them, except for reports."""
