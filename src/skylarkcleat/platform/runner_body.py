"""Decodes a runner's heartbeats and answers."""

from __future__ import annotations

import re
import typing as t

import eliot
import msgspec

from skylarkcleat.platform import json_body
from skylarkcleat.protocol import leasing
from skylarkcleat.protocol import ranges
from skylarkcleat.scheduling import probe_result

MAX_LABELS = 64
_DRAINING = "draining"
_ID = re.compile(r"[!-~]{1,128}")
_ENDINGS = {ending.value: ending for ending in leasing.Ending}


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

    runner: leasing.Runner
    address: str
    sequence: int
    clock_ms: int


class Answer(t.NamedTuple):
    """A runner's answer to a start or a stop.

    Attributes:
        status: The HTTP status.
        reason: Why it refused; empty if not given.
    """

    status: int
    reason: str


class HoldAnswer(t.NamedTuple):
    """A runner's answer to a hold: its runs and their ends.

    Attributes:
        born_ms: The start time of the runner, which identifies its life.
        clock_ms: Its monotonic clock, in milliseconds.
        running: The name and the run number of each task that runs.
        ends: The ends that it still lists.
    """

    born_ms: int
    clock_ms: int
    running: tuple[tuple[str, int], ...]
    ends: tuple[leasing.End, ...]


class Fenced(t.NamedTuple):
    """A runner refused a call because it saw a larger fencing token."""


FENCED = Fenced()


class OtherRunner(t.NamedTuple):
    """Another runner than the expected one serves the address."""


OTHER_RUNNER = OtherRunner()


class NotSent(t.NamedTuple):
    """The connection that a call was meant for was gone before it was sent."""


NOT_SENT = NotSent()


class _Capacity(msgspec.Struct, rename="kebab"):
    cpu: json_body.Count
    mem_mb: json_body.Count
    gpu: json_body.Count


class _Heartbeat(msgspec.Struct, rename="kebab"):
    """A report with all its fields, those that are not used here included.

    One that lacks a field, or has it with another type, is not a runner's.
    """

    service: json_body.Label
    address: json_body.Label
    zone: json_body.Label
    version: json_body.Label
    slots: json_body.Count
    state: t.Literal["ready", "draining"]
    cold_remaining_ms: json_body.Number
    capacity: _Capacity
    labels: t.Annotated[
        tuple[json_body.Label, ...], msgspec.Meta(max_length=MAX_LABELS)
    ]
    clock_ms: json_body.Count
    sequence: json_body.Count
    born: json_body.Count = 0
    remaining_ms: json_body.Number = 0


class _Answer(msgspec.Struct, rename="kebab"):
    reason: str = ""


class _Running(msgspec.Struct, array_like=True):
    """A row; the platform may add to its end."""

    task: str
    run: json_body.Count


class _Ended(msgspec.Struct, array_like=True):
    """A row; the platform may add to its end."""

    number: json_body.Count
    task: str
    run: json_body.Count
    how: str


class _HoldAnswer(msgspec.Struct, rename="kebab"):
    clock_ms: json_body.Count
    born: json_body.Count = 0
    running: tuple[_Running, ...] = ()
    ended: tuple[_Ended, ...] = ()


_HEARTBEAT = msgspec.json.Decoder(_Heartbeat)
_ANSWER = msgspec.json.Decoder(_Answer)
_HOLD_ANSWER = msgspec.json.Decoder(_HoldAnswer)


def decode_heartbeat(runner: str, body: bytes) -> Heartbeat:
    """Decodes a heartbeat.

    Raises:
        RunnerError: The body is not a runner's heartbeat.
    """
    _check_id(runner)
    try:
        decoded = json_body.decode(_HEARTBEAT, body)
    except json_body.BodyError as error:
        raise RunnerError(f"no heartbeat of a runner: {error}") from error
    described = leasing.Runner(
        runner,
        decoded.born,
        decoded.service,
        min(decoded.capacity.cpu, ranges.MAX_CAPACITY),
        min(decoded.capacity.mem_mb, ranges.MAX_CAPACITY),
        min(decoded.capacity.gpu, ranges.MAX_CAPACITY),
        decoded.labels,
        decoded.state == _DRAINING,
        min(round(decoded.cold_remaining_ms), ranges.MAX_DURATION_MS),
    )
    return Heartbeat(
        described, decoded.address, decoded.sequence, decoded.clock_ms
    )


def decode_answer(status: int, body: bytes) -> Answer:
    """Decodes a runner's answer to a start or a stop."""
    try:
        decoded = json_body.decode(_ANSWER, body or b"{}")
    except json_body.BodyError as error:
        eliot.log_message(
            "side:answer-unreadable", status=status, reason=str(error)
        )
        return Answer(status, "unreadable answer")
    return Answer(status, decoded.reason)


def decode_hold_answer(body: bytes) -> HoldAnswer:
    """Decodes a runner's answer to a hold.

    Raises:
        RunnerError: The body is not such an answer.
    """
    try:
        decoded = json_body.decode(_HOLD_ANSWER, body)
    except json_body.BodyError as error:
        raise RunnerError(f"no list of runs: {error}") from error
    running = tuple((row.task, row.run) for row in decoded.running)
    ends = tuple(map(_create_end, decoded.ended))
    return HoldAnswer(decoded.born, decoded.clock_ms, running, ends)


def create_probe_result(
    held: HoldAnswer, asked_at: float, answered_at: float
) -> probe_result.ProbeResult:
    """Converts an answer to a hold for the table of runs."""
    return probe_result.ProbeResult(
        asked_at,
        answered_at,
        held.clock_ms,
        held.running,
        held.ends,
    )


def _check_id(runner: str) -> None:
    """Checks an id, which is sent back to the runner in a header."""
    if not _ID.fullmatch(runner):
        raise RunnerError("the runner's id is not a word of printable ASCII")


def _create_end(row: _Ended) -> leasing.End:
    """Returns an end; one of an unknown kind is over and was not done."""
    ending = _ENDINGS.get(row.how, leasing.Ending.LAPSED)
    return leasing.End(row.number, row.task, row.run, ending)
