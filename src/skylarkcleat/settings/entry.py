"""Settings of an entry."""

from __future__ import annotations

import collections.abc
import typing as t

import pydantic
import typing_extensions as te

from skylarkcleat import problem as problem_lib
from skylarkcleat.settings import _clashes
from skylarkcleat.settings import _reading
from skylarkcleat.settings import _values
from skylarkcleat.settings import sections

DEFAULT_MAX_BODY_BYTES = 8 << 20
DEFAULT_MAX_JOBS = 2_000
DEFAULT_KEPT_ANSWER_BYTES = 32 << 20
DEFAULT_MAX_DEADLINE_MS = 120_000
DEFAULT_RETENTION_MS = 600_000


class EntryHttpSettings(t.NamedTuple):
    """Where callers reach an entry.

    Attributes:
        host: The IP number to listen on.
        port: The TCP port to listen on.
        max_body_bytes: The largest body of a submission, in bytes.
    """

    host: str
    port: int
    max_body_bytes: int = DEFAULT_MAX_BODY_BYTES


class LimitSettings(t.NamedTuple):
    """What an entry holds at most.

    Attributes:
        max_jobs: The most jobs in flight.
        kept_answer_bytes: The most memory for answers that wait for a
            resubmission, in bytes.
        max_deadline_ms: The longest deadline of a job, in milliseconds.
        retention_ms: How long an answer is kept, in milliseconds; at least
            the longest deadline.
    """

    max_jobs: int = DEFAULT_MAX_JOBS
    kept_answer_bytes: int = DEFAULT_KEPT_ANSWER_BYTES
    max_deadline_ms: int = DEFAULT_MAX_DEADLINE_MS
    retention_ms: int = DEFAULT_RETENTION_MS


class EntrySettings(t.NamedTuple):
    """What an entry learns from its settings file.

    Attributes:
        name: The process's name, the same over restarts.
        zone: The availability zone.
        control: The `tcp://ip:port` of each control replica.
        http: Where callers reach it.
        peer: Where the other members reach it.
        log: Where the log goes.
        limits: What it holds at most.
        drain: How a planned stop goes.
    """

    name: str
    zone: str
    control: tuple[str, ...]
    http: EntryHttpSettings
    peer: sections.PeerSettings
    log: sections.LogSettings
    limits: LimitSettings
    drain: sections.DrainSettings


@pydantic.with_config(_values.STRICT)
class EntryHttpTable(te.TypedDict):
    """The `[http]` table."""

    host: _values.Host
    port: _values.Port
    max_body_bytes: te.NotRequired[
        t.Annotated[int, pydantic.Field(ge=1 << 10, le=64 << 20)]
    ]


@pydantic.with_config(_values.STRICT)
class LimitTable(te.TypedDict, total=False):
    """The `[limits]` table."""

    max_jobs: t.Annotated[int, pydantic.Field(ge=1, le=1_000_000)]
    kept_answer_bytes: t.Annotated[int, pydantic.Field(ge=0, le=64 << 30)]
    max_deadline_ms: _values.TimeoutMs
    retention_ms: _values.TimeoutMs


@pydantic.with_config(_values.STRICT)
class EntryTable(te.TypedDict):
    """An entry's settings file."""

    role: t.Literal["entry"]
    name: _values.Name
    zone: _values.Name
    control: sections.AddressesTable
    http: EntryHttpTable
    peer: sections.PeerTable
    log: te.NotRequired[sections.LogTable]
    limits: te.NotRequired[LimitTable]
    drain: te.NotRequired[sections.DrainTable]


_ADAPTER = pydantic.TypeAdapter(EntryTable)


def load_entry_settings(path: str) -> EntrySettings:
    """Returns the settings of an entry.

    Raises:
        SettingsError: Names every fault of the file.
    """
    raw = _reading.read_table(path)
    problems = find_entry_problems(path, raw)
    if problems:
        raise problem_lib.SettingsError(problems)
    return _convert(_ADAPTER.validate_python(raw))


def find_entry_problems(
    path: str, raw: _reading.Raw
) -> list[problem_lib.Problem]:
    """Returns every fault of an entry's tables."""
    checks = (
        _clashes.check_ports,
        _clashes.check_addresses,
        _clashes.check_log_file,
        _check_retention,
    )
    return _reading.find_problems(path, raw, _ADAPTER, checks)


def _check_retention(
    raw: _reading.Raw,
) -> collections.abc.Iterator[_reading.Clash]:
    limits = _reading.find_value(raw, "limits", dict) or {}
    deadline = limits.get("max_deadline_ms", DEFAULT_MAX_DEADLINE_MS)
    retention = limits.get("retention_ms", DEFAULT_RETENTION_MS)
    if not isinstance(deadline, int) or not isinstance(retention, int):
        return
    if deadline > retention:
        yield (
            "limits.max_deadline_ms",
            f"must be at most limits.retention_ms, {retention}, is {deadline}",
        )


def _convert(table: EntryTable) -> EntrySettings:
    return EntrySettings(
        name=table["name"],
        zone=table["zone"],
        control=tuple(table["control"]["addresses"]),
        http=EntryHttpSettings(**table["http"]),
        peer=sections.PeerSettings(**table["peer"]),
        log=sections.LogSettings(**table.get("log", {})),
        limits=LimitSettings(**table.get("limits", {})),
        drain=sections.DrainSettings(**table.get("drain", {})),
    )
