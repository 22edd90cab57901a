"""Parses and validates the bodies of submissions."""

from __future__ import annotations

import typing as t

import msgspec

MAX_TASKS = 480
MAX_DEADLINE_MS = 600_000


class Work(t.NamedTuple):
    """The tasks that a caller submits, and their limits.

    Attributes:
        profile: The name of the profile that the tasks run under.
        payloads: One JSON text for each task.
        deadline_ms: The longest wait of the caller, in milliseconds; 0 selects
            the profile's deadline.
        single: Whether it was submitted as a single request.
        sizes_ms: The run time that the caller expects of each task on a
            runner of speed 1, in milliseconds; empty if not declared.
    """

    profile: str
    payloads: tuple[bytes, ...]
    deadline_ms: int
    single: bool
    sizes_ms: tuple[int, ...] = ()


class InvalidBodyError(ValueError):
    """A body is not a valid submission; the message names field and reason."""


_Fields = dict[str, msgspec.Raw]
_FIELDS = msgspec.json.Decoder(_Fields)
_PROFILE = msgspec.json.Decoder(str)
_TASKS = msgspec.json.Decoder(list[msgspec.Raw])
_SIZES = msgspec.json.Decoder(
    list[t.Annotated[int, msgspec.Meta(ge=0, le=MAX_DEADLINE_MS)]]
)
_DEADLINE = msgspec.json.Decoder(t.Annotated[int, msgspec.Meta(ge=1)])
_TASK = msgspec.json.Decoder(t.Any)
_COMMON_KEYS = frozenset({"profile", "deadline_ms"})


def parse_job(data: bytes) -> Work:
    """Returns the job in the body of `POST /v1/jobs`.

    The body is `{"profile", "tasks": [payload, ...], "deadline_ms"?,
    "sizes_ms"?: [integer, ...]}`.

    Raises:
        InvalidBodyError: The body is not a job.
    """
    fields = _read_fields(data, "tasks", "sizes_ms")
    tasks = _read_field(_TASKS, fields, "tasks")
    if not 1 <= len(tasks) <= MAX_TASKS:
        raise InvalidBodyError(
            f"'tasks' holds {len(tasks)} tasks; a job has 1 to {MAX_TASKS}"
        )
    payloads = tuple(bytes(task) for task in tasks)
    work = _create_work(fields, payloads, single=False)
    return work._replace(sizes_ms=_read_sizes(fields, len(tasks)))


def parse_request(data: bytes) -> Work:
    """Returns the single request in the body of `POST /v1/requests`.

    The body is `{"profile", "task": payload, "deadline_ms"?}`.

    Raises:
        InvalidBodyError: The body is not a single request.
    """
    fields = _read_fields(data, "task")
    _read_field(_TASK, fields, "task")
    return _create_work(fields, (bytes(fields["task"]),), single=True)


def _read_sizes(fields: _Fields, tasks: int) -> tuple[int, ...]:
    if "sizes_ms" not in fields:
        return ()
    sizes_ms = _read_field(_SIZES, fields, "sizes_ms")
    if len(sizes_ms) != tasks:
        raise InvalidBodyError(
            f"'sizes_ms' holds {len(sizes_ms)} sizes for {tasks} tasks"
        )
    return tuple(sizes_ms)


def _read_fields(data: bytes, *work_keys: str) -> _Fields:
    try:
        fields = _FIELDS.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise InvalidBodyError(
            f"the body is not a JSON object: {error}"
        ) from None
    unknown = sorted(fields.keys() - _COMMON_KEYS - set(work_keys))
    if unknown:
        raise InvalidBodyError(f"the body has unknown keys {unknown}")
    return fields


def _read_field(
    decoder: msgspec.json.Decoder, fields: _Fields, key: str
) -> t.Any:
    if key not in fields:
        raise InvalidBodyError(f"the body has no {key!r}")
    try:
        return decoder.decode(fields[key])
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise InvalidBodyError(f"{key!r} is malformed: {error}") from None


def _create_work(
    fields: _Fields, payloads: tuple[bytes, ...], single: bool
) -> Work:
    deadline_ms = 0
    if "deadline_ms" in fields:
        deadline_ms = _read_field(_DEADLINE, fields, "deadline_ms")
    if deadline_ms > MAX_DEADLINE_MS:
        raise InvalidBodyError(
            f"'deadline_ms' is {deadline_ms} ms, over the limit of "
            f"{MAX_DEADLINE_MS} ms"
        )
    profile = _read_field(_PROFILE, fields, "profile")
    return Work(profile, payloads, deadline_ms, single)
