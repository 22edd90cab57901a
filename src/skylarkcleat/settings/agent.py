"""Settings of an agent."""

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

DEFAULT_SLOTS = 8
DEFAULT_CONNECTIONS = 64
DEFAULT_CONNECT_TIMEOUT_MS = 500
DEFAULT_SILENCE_TIMEOUT_MS = 30_000


class RunnerSettings(t.NamedTuple):
    """The runner beside an agent.

    Attributes:
        upstream: The upstream's name, which profiles refer to.
        url: Where a task is posted to.
        slots: How many tasks the runner runs at once.
        connections: The most connections that are open to the runner.
        connect_timeout_ms: How long a connection may take to open, in
            milliseconds.
        silence_timeout_ms: How long a started task may go without any byte
            of an answer, in milliseconds.
    """

    upstream: str
    url: str
    slots: int = DEFAULT_SLOTS
    connections: int = DEFAULT_CONNECTIONS
    connect_timeout_ms: int = DEFAULT_CONNECT_TIMEOUT_MS
    silence_timeout_ms: int = DEFAULT_SILENCE_TIMEOUT_MS


class AgentSettings(t.NamedTuple):
    """What an agent learns from its settings file.

    Attributes:
        name: The process's name, the same over restarts.
        zone: The availability zone.
        control: The `tcp://ip:port` of each control replica.
        http: Where it answers liveness, readiness and metrics.
        peer: Where the other members reach it.
        runner: The runner beside it.
        log: Where the log goes.
        drain: How a planned stop goes.
    """

    name: str
    zone: str
    control: tuple[str, ...]
    http: sections.HttpSettings
    peer: sections.PeerSettings
    runner: RunnerSettings
    log: sections.LogSettings
    drain: sections.DrainSettings


@pydantic.with_config(_values.STRICT)
class RunnerTable(te.TypedDict):
    """The `[runner]` table."""

    upstream: _values.Name
    url: _values.Url
    slots: te.NotRequired[t.Annotated[int, pydantic.Field(ge=1, le=1024)]]
    connections: te.NotRequired[t.Annotated[int, pydantic.Field(ge=1, le=4096)]]
    connect_timeout_ms: te.NotRequired[_values.TimeoutMs]
    silence_timeout_ms: te.NotRequired[_values.TimeoutMs]


@pydantic.with_config(_values.STRICT)
class AgentTable(te.TypedDict):
    """An agent's settings file."""

    role: t.Literal["agent"]
    name: _values.Name
    zone: _values.Name
    control: sections.AddressesTable
    http: sections.HttpTable
    peer: sections.PeerTable
    runner: RunnerTable
    log: te.NotRequired[sections.LogTable]
    drain: te.NotRequired[sections.DrainTable]


_ADAPTER = pydantic.TypeAdapter(AgentTable)


def load_agent_settings(path: str) -> AgentSettings:
    """Returns the settings of an agent.

    Raises:
        SettingsError: Names every fault of the file.
    """
    raw = _reading.read_table(path)
    problems = find_agent_problems(path, raw)
    if problems:
        raise problem_lib.SettingsError(problems)
    return _convert(_ADAPTER.validate_python(raw))


def find_agent_problems(
    path: str, raw: _reading.Raw
) -> list[problem_lib.Problem]:
    """Returns every fault of an agent's tables."""
    checks = (
        _clashes.check_ports,
        _clashes.check_addresses,
        _clashes.check_log_file,
        _check_connections,
    )
    return _reading.find_problems(path, raw, _ADAPTER, checks)


def _check_connections(
    raw: _reading.Raw,
) -> collections.abc.Iterator[_reading.Clash]:
    runner = _reading.find_value(raw, "runner", dict) or {}
    slots = runner.get("slots", DEFAULT_SLOTS)
    connections = runner.get("connections", DEFAULT_CONNECTIONS)
    if not isinstance(slots, int) or not isinstance(connections, int):
        return
    if connections < slots:
        yield (
            "runner.connections",
            f"must be at least runner.slots, {slots}, is {connections}",
        )


def _convert(table: AgentTable) -> AgentSettings:
    return AgentSettings(
        name=table["name"],
        zone=table["zone"],
        control=tuple(table["control"]["addresses"]),
        http=sections.HttpSettings(**table["http"]),
        peer=sections.PeerSettings(**table["peer"]),
        runner=RunnerSettings(**table["runner"]),
        log=sections.LogSettings(**table.get("log", {})),
        drain=sections.DrainSettings(**table.get("drain", {})),
    )
