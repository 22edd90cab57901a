"""Decodes a runner's heartbeats and answers."""

from __future__ import annotations

import typing as t

import msgspec

from skylarkcleat.protocol import scheduling
from skylarkcleat.scheduling import run_table

_DRAINING = "draining"


class RunnerError(ValueError):
    """The body is not a runner's heartbeat or answer."""


class Heartbeat(t.NamedTuple):
    """One heartbeat of a runner.

    Attributes:
        runner: The runner's description of itself.
        address: The address that it serves, as `ip:port`.
        sequence: Increases with each heartbeat until a restart.
        clock_ms: Its monotonic clock, in milliseconds.
    """

    runner: scheduling.Runner
    address: str
    sequence: int
    clock_ms: int


class Answer(t.NamedTuple):
    """A runner's answer to a start or a stop.

    Attributes:
        status: The HTTP status.
        reason: Why it refused; empty if not given.
        clock_ms: Its monotonic clock, in milliseconds; None if not given.
    """

    status: int
    reason: str
    clock_ms: int | None


class HoldAnswer(t.NamedTuple):
    """A runner's answer to a hold: its runs and their ends."""

    born_ms: int
    clock_ms: int
    running: tuple[tuple[str, int], ...]
    ends: tuple[scheduling.End, ...]


class Fenced(t.NamedTuple):
    """A runner refused a call because it saw a larger fencing token."""


FENCED = Fenced()


class _Capacity(msgspec.Struct, rename="kebab"):
    cpu: int
    mem_mb: int
    gpu: int = 0


class _Heartbeat(msgspec.Struct, rename="kebab"):
    service: str
    address: str
    zone: str
    state: t.Literal["ready", "draining"]
    capacity: _Capacity
    sequence: int
    born: int = 0
    labels: tuple[str, ...] = ()
    clock_ms: int = 0


class _Answer(msgspec.Struct, rename="kebab"):
    reason: str = ""
    clock_ms: int | None = None


class _HoldAnswer(msgspec.Struct, rename="kebab"):
    clock_ms: int
    born: int = 0
    running: tuple[tuple[t.Any, ...], ...] = ()
    ended: tuple[tuple[int, str, int, scheduling.Ending, t.Any], ...] = ()


_HEARTBEAT = msgspec.json.Decoder(_Heartbeat)
_ANSWER = msgspec.json.Decoder(_Answer)
_HOLD_ANSWER = msgspec.json.Decoder(_HoldAnswer)


def decode_heartbeat(runner: str, body: bytes) -> Heartbeat:
    """Decodes a heartbeat.

    Raises:
        RunnerError: The body is not a runner's heartbeat.
    """
    try:
        decoded = _HEARTBEAT.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise RunnerError(f"no heartbeat of a runner: {error}") from error
    described = scheduling.Runner(
        runner,
        decoded.born,
        decoded.service,
        decoded.capacity.cpu,
        decoded.capacity.mem_mb,
        decoded.capacity.gpu,
        decoded.labels,
        decoded.state == _DRAINING,
    )
    return Heartbeat(
        described, decoded.address, decoded.sequence, decoded.clock_ms
    )


def decode_answer(status: int, body: bytes) -> Answer:
    """Decodes a runner's answer to a start or a stop."""
    try:
        decoded = _ANSWER.decode(body or b"{}")
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return Answer(status, "unreadable answer", None)
    return Answer(status, decoded.reason, decoded.clock_ms)


def decode_hold_answer(body: bytes) -> HoldAnswer:
    """Decodes a runner's answer to a hold.

    Raises:
        RunnerError: The body is not such an answer.
    """
    try:
        decoded = _HOLD_ANSWER.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise RunnerError(f"no list of runs: {error}") from error
    running = tuple((str(row[0]), int(row[1])) for row in decoded.running)
    ends = tuple(scheduling.End(*row[:4]) for row in decoded.ended)
    return HoldAnswer(decoded.born, decoded.clock_ms, running, ends)


def create_probe_result(
    held: HoldAnswer, asked_at: float, answered_at: float
) -> run_table.ProbeResult:
    """Converts an answer to a hold for the table of runs."""
    return run_table.ProbeResult(
        asked_at,
        answered_at,
        held.clock_ms,
        held.born_ms,
        held.running,
        held.ends,
    )
