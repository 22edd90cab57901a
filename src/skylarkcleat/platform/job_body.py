"""Decodes the body of a submitted job."""

from __future__ import annotations

import msgspec

from skylarkcleat.platform import json_body
from skylarkcleat.protocol import ranges
from skylarkcleat.protocol import scheduling

MAX_SPEC_BYTES = 4000
MAX_TASKS = 100_000
_UNSUPPORTED = (
    "gang",
    "same_rack",
    "speculative",
    "long_running",
    "fills",
)


class JobError(ValueError):
    """The body is not a valid job; the message names the reason."""


class _Step(msgspec.Struct, rename="kebab"):
    task_count: json_body.Count
    cpu: json_body.Count = 0
    mem_mb: json_body.Count = 0
    gpu: json_body.Count = 0
    estimated_ms: json_body.Number = 0
    depends_on: tuple[json_body.Count, ...] = ()
    requirements: str = ""
    data_rack: str = ""
    max_per_server: json_body.Count = 0
    gang: bool = False
    same_rack: bool = False
    speculative: bool = False
    long_running: bool = False
    fills: bool = False


class _Body(msgspec.Struct, rename="kebab"):
    spec: str
    steps: tuple[_Step, ...]
    best_effort: bool = False
    long_running: bool = False
    run_count: json_body.Count = 0


_DECODER = msgspec.json.Decoder(_Body, strict=False)


def decode_job(job: str, body: bytes) -> scheduling.Job:
    """Decodes and validates the job in a request body.

    Args:
        job: The job's id.
        body: The body of the request.

    Raises:
        JobError: The body is not a valid job.
    """
    try:
        decoded = json_body.decode(_DECODER, body)
    except json_body.BodyError as error:
        raise JobError(f"the job can't be read: {error}") from error
    _check(decoded)
    steps = tuple(
        scheduling.Step(
            step.task_count,
            min(step.cpu, ranges.OVERSIZE),
            min(step.mem_mb, ranges.OVERSIZE),
            min(step.gpu, ranges.OVERSIZE),
            min(round(step.estimated_ms), ranges.MAX_DURATION_MS),
            step.depends_on,
            step.requirements,
            step.data_rack,
            step.max_per_server,
        )
        for step in decoded.steps
    )
    return scheduling.Job(job, decoded.spec, steps, _find_unsupported(decoded))


def _check(body: _Body) -> None:
    if len(body.spec.encode()) > MAX_SPEC_BYTES:
        raise JobError(f"the spec is longer than {MAX_SPEC_BYTES} bytes")
    if not body.steps:
        raise JobError("the job has no steps")
    if sum(max(step.task_count, 0) for step in body.steps) > MAX_TASKS:
        raise JobError(f"the job has more than {MAX_TASKS} tasks")
    for number, step in enumerate(body.steps):
        if step.task_count < 1:
            raise JobError(f"step {number} has no tasks")
        if any(not 0 <= each < number for each in step.depends_on):
            raise JobError(f"step {number} depends on a step not before it")


def _find_unsupported(body: _Body) -> str:
    if not body.best_effort:
        return "durable"
    if body.long_running:
        return "long-running"
    if body.run_count:
        return "recurring"
    for step in body.steps:
        for name in _UNSUPPORTED:
            if getattr(step, name):
                return name
    return ""
