"""Settings of a control replica."""

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

DEFAULT_MAX_AGE_H = 72
DEFAULT_MAX_BYTES = 1 << 30
_MAX_REPLICAS = 5


class ReplicaPeer(t.NamedTuple):
    """One of the control replicas.

    Attributes:
        name: The replica's name.
        address: The `tcp://ip:port` of its consensus traffic.
        subscribe: The `tcp://ip:port` where it takes subscribers.
        admin: The URL of its admin API, such as `http://10.0.0.1:7480`.
    """

    name: str
    address: str
    subscribe: str
    admin: str


class ReplicaSettings(t.NamedTuple):
    """The replicated log.

    Attributes:
        data_dir: The folder under which every file lives.
        peers: Every replica, this one included.
    """

    data_dir: str
    peers: tuple[ReplicaPeer, ...]


class Operator(t.NamedTuple):
    """Someone who may use the admin API.

    Attributes:
        name: The name that the history of changes shows.
        token_sha256: The SHA-256 of the bearer token, in hexadecimal.
    """

    name: str
    token_sha256: str


class IncidentSettings(t.NamedTuple):
    """How long incidents are kept.

    Attributes:
        max_age_h: The age at which one is dropped, in hours.
        max_bytes: The size of the store from which the oldest are dropped,
            in bytes.
    """

    max_age_h: int = DEFAULT_MAX_AGE_H
    max_bytes: int = DEFAULT_MAX_BYTES


class ControlSettings(t.NamedTuple):
    """What a control replica learns from its settings file.

    Attributes:
        name: The process's name, the same over restarts.
        zone: The availability zone.
        http: Where operators reach the admin API.
        peer: Where entries and agents subscribe.
        account: Where they report incidents and tell events.
        replica: The replicated log.
        operators: Who may use the admin API.
        incidents: How long incidents are kept.
        log: Where the log goes.
    """

    name: str
    zone: str
    http: sections.HttpSettings
    peer: sections.PeerSettings
    account: sections.PeerSettings
    replica: ReplicaSettings
    operators: tuple[Operator, ...]
    incidents: IncidentSettings
    log: sections.LogSettings


@pydantic.with_config(_values.STRICT)
class ReplicaPeerTable(te.TypedDict):
    """One item of `replica.peers`."""

    name: _values.Name
    address: _values.Address
    subscribe: _values.Address
    admin: _values.Url


@pydantic.with_config(_values.STRICT)
class ReplicaTable(te.TypedDict):
    """The `[replica]` table."""

    data_dir: _values.DataDir
    peers: t.Annotated[
        list[ReplicaPeerTable],
        pydantic.Field(min_length=1, max_length=_MAX_REPLICAS),
    ]


@pydantic.with_config(_values.STRICT)
class OperatorTable(te.TypedDict):
    """One item of `operators`."""

    name: _values.Name
    token_sha256: _values.Sha256


@pydantic.with_config(_values.STRICT)
class IncidentTable(te.TypedDict, total=False):
    """The `[incidents]` table."""

    max_age_h: t.Annotated[int, pydantic.Field(ge=1, le=8_760)]
    max_bytes: t.Annotated[int, pydantic.Field(ge=1 << 20, le=1 << 40)]


@pydantic.with_config(_values.STRICT)
class ControlTable(te.TypedDict):
    """A control replica's settings file."""

    role: t.Literal["control"]
    name: _values.Name
    zone: _values.Name
    http: sections.HttpTable
    peer: sections.PeerTable
    account: sections.PeerTable
    replica: ReplicaTable
    operators: te.NotRequired[list[OperatorTable]]
    incidents: te.NotRequired[IncidentTable]
    log: te.NotRequired[sections.LogTable]


_ADAPTER = pydantic.TypeAdapter(ControlTable)


def load_control_settings(path: str) -> ControlSettings:
    """Returns the settings of a control replica.

    Raises:
        SettingsError: Names every fault of the file.
    """
    raw = _reading.read_table(path)
    problems = find_control_problems(path, raw)
    if problems:
        raise problem_lib.SettingsError(problems)
    return _convert(_ADAPTER.validate_python(raw))


def find_control_problems(
    path: str, raw: _reading.Raw
) -> list[problem_lib.Problem]:
    """Returns every fault of a control replica's tables."""
    checks = (
        _clashes.check_ports,
        _clashes.check_log_file,
        _check_own_name,
        _check_replica_count,
        _check_repeated_items,
    )
    return _reading.find_problems(path, raw, _ADAPTER, checks)


def _check_own_name(
    raw: _reading.Raw,
) -> collections.abc.Iterator[_reading.Clash]:
    name = _reading.find_value(raw, "name", str)
    peers = _reading.find_tables(raw, "replica.peers")
    if name and peers and all(peer.get("name") != name for _, peer in peers):
        yield "replica.peers", f"must list this replica's own name, {name!r}"


def _check_replica_count(
    raw: _reading.Raw,
) -> collections.abc.Iterator[_reading.Clash]:
    peers = _reading.find_value(raw, "replica.peers", list)
    if peers and len(peers) % 2 == 0:
        yield "replica.peers", f"must have 1, 3 or 5 items, has {len(peers)}"


def _check_repeated_items(
    raw: _reading.Raw,
) -> collections.abc.Iterator[_reading.Clash]:
    yield from _find_repeated(raw, "replica.peers", "name")
    yield from _find_repeated(raw, "replica.peers", "address")
    yield from _find_repeated(raw, "replica.peers", "subscribe")
    yield from _find_repeated(raw, "replica.peers", "admin")
    yield from _find_repeated(raw, "operators", "name")
    yield from _find_repeated(raw, "operators", "token_sha256")


def _find_repeated(
    raw: _reading.Raw, key: str, column: str
) -> collections.abc.Iterator[_reading.Clash]:
    first: dict[str, int] = {}
    for i, item in _reading.find_tables(raw, key):
        value = item.get(column)
        if not isinstance(value, str):
            continue
        if value in first:
            other = f"{key}[{first[value]}].{column}"
            yield f"{key}[{i}].{column}", f"must differ from {other}"
        first.setdefault(value, i)


def _convert(table: ControlTable) -> ControlSettings:
    replica = table["replica"]
    return ControlSettings(
        name=table["name"],
        zone=table["zone"],
        http=sections.HttpSettings(**table["http"]),
        peer=sections.PeerSettings(**table["peer"]),
        account=sections.PeerSettings(**table["account"]),
        replica=ReplicaSettings(
            replica["data_dir"],
            tuple(ReplicaPeer(**peer) for peer in replica["peers"]),
        ),
        operators=tuple(Operator(**row) for row in table.get("operators", [])),
        incidents=IncidentSettings(**table.get("incidents", {})),
        log=sections.LogSettings(**table.get("log", {})),
    )
